package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// What of a server's life.
type What int

const (
	Sent       What = iota // the first line of an attempt has come whole
	Ended                  // an attempt or the connection that it became has ended, on either side
	Probed                 // PING or STATS
	Accepted               // a connection has come up
	TurnedAway             // the attempt was answered BUSY: it has not run
)

// Receipt is something that a server received. Its time is the rig's one clock.
type Receipt struct {
	At      time.Time
	Entered time.Time // when it came to the link's near end: what the link held back came later
	What    What
	Server  *Server
	Node    int    // whose link it came by
	Request string // its id
	Client  string // its key
}

// ServerKind says what servers are like.
type ServerKind struct {
	Holds    int           // connections that fill one
	ColdFrom float64       // part of that which one can do at its start
	ColdFor  time.Duration // after which it can do all
}

// Server speaks the servers' side of the protocol.
type Server struct {
	ID      string
	Kind    ServerKind
	Started time.Time // the zero time for long ago
	on      func(Receipt)

	mu    sync.Mutex
	held  map[net.Conn]bool // connections that stand
	conns map[net.Conn]bool // all
	end   net.Listener
	drain bool
	hang  chan struct{} // not nil while it answers nothing
	gone  bool

	spoilt float64 // part of its answers that are none

	Hung   atomic.Int64 // lines that met it hanging
	Spoilt atomic.Int64 // answers that were none
}

// NewServer makes one that is not open yet.
func NewServer(id string, kind ServerKind, started time.Time, on func(Receipt)) *Server {
	return &Server{ID: id, Kind: kind, Started: started, on: on, held: map[net.Conn]bool{}, conns: map[net.Conn]bool{}}
}

// Open opens the address under which the nodes reach the server.
func (s *Server) Open(ways Ways) error {
	l, err := Listen(ways)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.end = l
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			node := c.(*conn).node
			s.on(Receipt{At: time.Now(), What: Accepted, Server: s, Node: node})
			go s.serve(node, c)
		}
	}()
	return nil
}

// Addr is where the nodes reach it.
func (s *Server) Addr() string { return s.end.Addr().String() }

// Share is the part of what it can do in the end that it can do now.
func (s *Server) Share(now time.Time) float64 {
	if s.Started.IsZero() || s.Kind.ColdFor <= 0 {
		return 1
	}
	age := float64(now.Sub(s.Started)) / float64(s.Kind.ColdFor)
	return s.Kind.ColdFrom + (1-s.Kind.ColdFrom)*min(max(age, 0), 1)
}

// Load is what is asked of it over what it can do now.
func (s *Server) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.held)) / (float64(s.Kind.Holds) * s.Share(time.Now()))
}

// Drain has it send all away and take nobody more.
func (s *Server) Drain() {
	s.mu.Lock()
	s.drain = true
	for c := range s.held {
		io.WriteString(c, "MOVE\r\n")
		c.Close()
	}
	s.mu.Unlock()
}

// Leaves tells whether it drains or has gone.
func (s *Server) Leaves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain || s.gone
}

// Hang has it answer nothing, or go on.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.hang == nil {
		s.hang = make(chan struct{})
	} else if !on && s.hang != nil {
		close(s.hang)
		s.hang = nil
	}
}

// Stop has its process die: connections break, and no new ones come up.
func (s *Server) Stop() {
	s.mu.Lock()
	s.gone = true
	if s.end != nil {
		s.end.Close()
	}
	for c := range s.conns {
		c.(*conn).Abort()
	}
	s.mu.Unlock()
	s.Hang(false)
}

func (s *Server) serve(node int, c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	stop := time.AfterFunc(time.Minute, func() { c.Close() }) // nobody's first line takes that long
	defer stop.Stop()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		hang, drain, gone := s.hang, s.drain, s.gone
		s.mu.Unlock()
		if gone {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		r := Receipt{At: time.Now(), Entered: c.(*conn).Entered(), What: Probed, Server: s, Node: node}
		if words[0] == "OPEN" && len(words) >= 3 {
			r.What, r.Request, r.Client = Sent, words[1], words[2]
		}
		s.on(r)
		if hang != nil {
			s.Hung.Add(1)
			if !hangs(c, in, hang) {
				if r.What == Sent {
					r.At, r.What = time.Now(), Ended
					s.on(r)
				}
				return
			}
		}
		switch {
		case r.What == Sent:
			stop.Stop()
			s.open(c, in, r, drain)
			return
		case s.spoils():
			s.Spoilt.Add(1)
			spoilReport(c)
			return
		case words[0] == "STATS" && !drain:
			fmt.Fprintf(c, "PONG x0=%.3f\r\n", s.Load())
		case words[0] == "PING" && !drain:
			io.WriteString(c, "PONG\r\n")
		default:
			io.WriteString(c, "ERR\r\n")
		}
	}
}

// hangs waits until the server goes on, and tells whether the other side is still there.
func hangs(c net.Conn, in *bufio.Reader, hang <-chan struct{}) bool {
	ended := make(chan error, 1)
	go func() {
		_, err := in.Peek(1)
		ended <- err
	}()
	select {
	case err := <-ended:
		if err != nil {
			return false
		}
		<-hang // it talks on without an answer
	case <-hang:
		c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		c.SetReadDeadline(time.Time{})
	}
	return true
}

// open serves an attempt, and the connection that it becomes, to its end.
func (s *Server) open(c net.Conn, in *bufio.Reader, r Receipt, drain bool) {
	defer func() {
		s.mu.Lock()
		delete(s.held, c)
		s.mu.Unlock()
		r.At, r.What = time.Now(), Ended
		s.on(r)
	}()
	turnAway := func() {
		turned := r
		turned.At, turned.What = time.Now(), TurnedAway
		s.on(turned)
		io.WriteString(c, "BUSY\r\n")
	}
	if drain {
		turnAway()
		return
	}
	if s.spoils() {
		s.Spoilt.Add(1)
		spoilAnswer(c, in, r.Request)
		return
	}
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	} else if float64(len(s.held)) >= 2*float64(s.Kind.Holds)*s.Share(time.Now()) {
		s.mu.Unlock()
		turnAway()
		return
	}
	s.held[c] = true
	s.mu.Unlock()
	if _, err := fmt.Fprintf(c, "UP %s\r\n", r.Request); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, line); err != nil { // an echo
			return
		}
	}
}
