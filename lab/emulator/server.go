package emulator

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	AttemptReceived    EventKind = iota // the first line of an attempt arrived
	AttemptEnded                        // an attempt, or the connection that it became, was closed by either side
	HealthChecked                       // PING or STATS arrived
	ConnectionAccepted                  // a connection was accepted
	AttemptRejected                     // an attempt was answered BUSY, and not executed
)

// Event is something that happened at a server.
type Event struct {
	At        time.Time
	ArrivedAt time.Time // when its bytes arrived, before the link delayed them
	Kind      EventKind
	Server    *Server
	Node      int    // the node at the other end
	Request   string // the request's ID
	Client    string // the client's key
}

// ServerConfig has the capacity of a server.
type ServerConfig struct {
	Capacity             int           // connections at a utilization of 1
	SlowStartMinCapacity float64       // of the capacity at the server's start
	SlowStartWindow      time.Duration // in which the capacity grows to the whole
}

// Server is a stand-in that speaks the servers' side of the protocol. Its methods may be called from any goroutine; the
// handler of events is called from those that serve its connections.
type Server struct {
	ID      string
	Config  ServerConfig
	Started time.Time // zero for long ago
	handle  func(Event)

	mu                sync.Mutex
	open              map[net.Conn]bool // connections that were answered UP
	conns             map[net.Conn]bool // all connections
	listener          net.Listener
	draining          bool
	hanging           chan struct{} // closed when the server answers again; nil while it answers
	stopped           bool
	malformedFraction float64

	HangingLines     atomic.Int64 // lines that arrived while it was hanging
	MalformedAnswers atomic.Int64
}

// NewServer returns a server that accepts no connections before Open.
func NewServer(id string, config ServerConfig, started time.Time, handle func(Event)) *Server {
	return &Server{
		ID: id, Config: config, Started: started, handle: handle,
		open: map[net.Conn]bool{}, conns: map[net.Conn]bool{},
	}
}

// Open opens the address at which the nodes reach the server. Stop closes it.
func (s *Server) Open(links Links) error {
	listener, err := Listen(links)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted := c.(*conn)
			s.handle(Event{At: time.Now(), Kind: ConnectionAccepted, Server: s, Node: accepted.node})
			go s.serve(accepted)
		}
	}()
	return nil
}

// Addr returns the address at which the nodes reach the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// CapacityFraction returns the fraction of the server's capacity that it has at a time, as it warms up.
func (s *Server) CapacityFraction(now time.Time) float64 {
	if s.Started.IsZero() || s.Config.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(now.Sub(s.Started)) / float64(s.Config.SlowStartWindow)
	return s.Config.SlowStartMinCapacity + (1-s.Config.SlowStartMinCapacity)*min(max(age, 0), 1)
}

// Utilization returns the open connections over the present capacity.
func (s *Server) Utilization() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.open)) / (float64(s.Config.Capacity) * s.CapacityFraction(time.Now()))
}

// Drain makes the server send MOVE on its open connections, close them, and reject new ones.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	for c := range s.open {
		io.WriteString(c, "MOVE\r\n")
		c.Close()
	}
	s.mu.Unlock()
}

// Leaving tells whether the server drains or has stopped.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.stopped
}

// SetHanging makes the server answer nothing, or answer again.
func (s *Server) SetHanging(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.hanging == nil {
		s.hanging = make(chan struct{})
	} else if !on && s.hanging != nil {
		close(s.hanging)
		s.hanging = nil
	}
}

// Stop resets all connections and accepts no more, as the end of the server's process would.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.(*conn).Abort()
	}
	s.mu.Unlock()
	s.SetHanging(false)
}
