package emulator

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// EventKind is the type of an Event.
type EventKind int

// Kinds of events.
const (
	AttemptReceived    EventKind = iota // the first line of an attempt was received
	AttemptEnded                        // an attempt, or the connection that it became, was closed by either side
	HealthChecked                       // a line other than OPEN was received, usually PING or STATS
	ConnectionAccepted                  // a connection was accepted
	AttemptRejected                     // an attempt was answered with BUSY and not executed
)

// Event is an event at a server.
type Event struct {
	At        time.Time
	ArrivedAt time.Time // arrival of the bytes of the event, before the link delayed them
	Kind      EventKind
	Server    *Server
	Node      int    // node at the other end of the connection
	Request   string // ID of the request; empty without an attempt
	Client    string // key of the client; empty without an attempt
}

// ServerConfig configures the capacity of a server.
type ServerConfig struct {
	Capacity             int           // number of open connections at a utilization of 1
	SlowStartMinCapacity float64       // fraction of the capacity at the server's start
	SlowStartWindow      time.Duration // time from the server's start until its full capacity is available
}

// Server emulates a server: it implements the servers' side of the protocol. Its methods are safe for concurrent use.
// The event handler is called concurrently from the goroutines that serve the connections.
type Server struct {
	ID          string
	Config      ServerConfig
	Started     time.Time // zero if the server started long ago
	handleEvent func(Event)

	mu                sync.Mutex
	openConns         map[net.Conn]bool // connections that were answered with UP
	conns             map[net.Conn]bool // all connections
	listener          net.Listener
	draining          bool
	hanging           chan struct{} // closed when the server resumes answering; nil unless it hangs
	stopped           bool
	malformedFraction float64

	HangingLines     atomic.Int64 // lines received while the server was hanging
	MalformedAnswers atomic.Int64
}

// NewServer returns a server that accepts no connections before Open.
func NewServer(id string, config ServerConfig, started time.Time, handleEvent func(Event)) *Server {
	return &Server{
		ID: id, Config: config, Started: started, handleEvent: handleEvent,
		openConns: map[net.Conn]bool{}, conns: map[net.Conn]bool{},
	}
}

// Open starts listening for connections of the nodes. Stop ends it.
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
			s.handleEvent(Event{At: time.Now(), Kind: ConnectionAccepted, Server: s, Node: accepted.node})
			go s.serve(accepted)
		}
	}()
	return nil
}

// Addr returns the address at which the nodes reach the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// CapacityFraction returns the fraction of the server's capacity that is available at a time, which grows in slow
// start.
func (s *Server) CapacityFraction(now time.Time) float64 {
	if s.Started.IsZero() || s.Config.SlowStartWindow <= 0 {
		return 1
	}
	progress := float64(now.Sub(s.Started)) / float64(s.Config.SlowStartWindow)
	return s.Config.SlowStartMinCapacity + (1-s.Config.SlowStartMinCapacity)*min(max(progress, 0), 1)
}

// Utilization returns the ratio of open connections to the current capacity.
func (s *Server) Utilization() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.openConns)) / (float64(s.Config.Capacity) * s.CapacityFraction(time.Now()))
}

// Drain sends MOVE on all open connections, closes them, and makes the server reject new attempts.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	for c := range s.openConns {
		io.WriteString(c, "MOVE\r\n")
		c.Close()
	}
	s.mu.Unlock()
}

// Leaving reports whether the server is draining or has stopped.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.stopped
}

// SetHanging sets whether the server hangs, which means that it sends no answers.
func (s *Server) SetHanging(hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hanging && s.hanging == nil {
		s.hanging = make(chan struct{})
	} else if !hanging && s.hanging != nil {
		close(s.hanging)
		s.hanging = nil
	}
}

// Stop resets all connections and stops accepting new ones, like the end of the server's process.
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
