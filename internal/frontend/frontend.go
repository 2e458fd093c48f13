// Package frontend is the clients' side: it accepts connections, reads first lines and makes exchanges.
package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/exchange"
	"brassmux/internal/lines"
)

// The codes of connections that end without an exchange.
const (
	Probed        exchange.Reason = "ping"             // it only asked whether the node is there
	NoLine        exchange.Reason = "no_first_line"    // ended or broken before a whole line had come
	FirstLineLate exchange.Reason = "first_line_late"  // none came in time
	FirstTooLong  exchange.Reason = "first_line_long"  // over the bound
	Malformed     exchange.Reason = "first_line_wrong" // malformed, or a request that is not known
	NoRoom        exchange.Reason = "no_room"          // turned away at the limit of connections
)

// Config holds what the clients' side is told.
type Config struct {
	FirstLine time.Duration // the first line must come within it
	Most      int           // connections served at once; some more are told that there is no room
	Exchange  exchange.Limits
}

// Server accepts clients.
type Server struct {
	cfg   Config
	log   *zap.Logger
	sink  exchange.Sink
	take  func(*exchange.Exchange) // hands a new exchange to the decisions
	room  chan struct{}            // holds one for each connection that is served
	spare chan struct{}            // and one for each that is turned away
	wait  sync.WaitGroup
	mu    sync.Mutex
	fresh map[*lines.Conn]bool // connections whose first line has not come
	Count Counts
}

// New makes a server; take is called for each request and must not block for long.
func New(cfg Config, log *zap.Logger, sink exchange.Sink, take func(*exchange.Exchange)) *Server {
	return &Server{cfg: cfg, log: log, sink: sink, take: take, room: make(chan struct{}, cfg.Most),
		spare: make(chan struct{}, spareMost), fresh: map[*lines.Conn]bool{}}
}

// spareMost is how many connections over the limit are told so at once.
const spareMost = 8

// acceptPause is how long accepting rests when it fails, as when descriptors run out.
const acceptPause = 10 * time.Millisecond

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(ctx context.Context, l *net.TCPListener) {
	for failing := false; ; {
		c, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			s.Count.AcceptErrors.Add(1)
			if !failing { // one line for each time that it starts
				s.log.Warn("clients cannot be accepted", zap.Error(err))
			}
			failing = true
			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
			}
			continue
		}
		failing = false
		s.Count.Accepted.Add(1)
		room, served := s.room, true
		select {
		case s.room <- struct{}{}:
		default:
			room, served = s.spare, false
			s.spare <- struct{}{} // beyond these, clients wait in the listener's queue
		}
		s.wait.Go(func() {
			defer func() { <-room }()
			s.client(lines.New(c), served)
		})
	}
}

// Wait returns when all connections have ended.
func (s *Server) Wait() { s.wait.Wait() }

// HangUp gives connections whose first line has not come that much time for it.
func (s *Server) HangUp(within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.fresh {
		c.SetReadDeadline(time.Now().Add(within))
	}
}

func (s *Server) client(c *lines.Conn, served bool) {
	defer c.Close()
	line, why := s.firstLine(c)
	if why != "" {
		s.end(c, why)
		return
	}
	if !served {
		s.Count.NoRoom.Add(1)
		c.WriteLine("BUSY", s.cfg.Exchange.Linger)
		s.closeWell(c)
		s.end(c, NoRoom)
		return
	}
	head, err := exchange.ParseHead(append([]byte(nil), line...)) // it outlives the read buffer
	if err != nil {
		s.answer(c, "ERR "+err.Error())
		s.end(c, Malformed)
		return
	}
	s.Count.Requests.Add(1)
	x := exchange.New(head, c, s.sink, s.cfg.Exchange, s.log)
	s.take(x)
	x.FromClient()
}

// firstLine reads the first line that is not a PING, and answers those.
func (s *Server) firstLine(c *lines.Conn) (line []byte, why exchange.Reason) {
	s.mu.Lock()
	s.fresh[c] = true
	c.SetReadDeadline(time.Now().Add(s.cfg.FirstLine))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.fresh, c)
		c.SetReadDeadline(time.Time{})
		s.mu.Unlock()
	}()
	for why = NoLine; ; why = Probed {
		line, err := c.ReadLine()
		switch {
		case errors.Is(err, lines.ErrTooLong):
			s.answer(c, "ERR "+err.Error())
			return nil, FirstTooLong
		case errors.Is(err, os.ErrDeadlineExceeded) && why == NoLine:
			s.answer(c, "ERR no request in time")
			return nil, FirstLineLate
		case err != nil:
			if err == io.EOF && len(c.Rest()) > 0 {
				s.answer(c, "ERR "+exchange.ErrMalformed.Error())
				return nil, Malformed
			}
			return nil, why
		}
		if text, ok := lines.Text(line); !ok || string(text) != "PING" {
			return line, ""
		}
		s.Count.Pings.Add(1)
		c.WriteLine("PONG", s.cfg.Exchange.Linger)
		s.mu.Lock()
		c.SetReadDeadline(time.Now().Add(s.cfg.FirstLine))
		s.mu.Unlock()
	}
}

// answer answers a first line that is no request.
func (s *Server) answer(c *lines.Conn, line string) {
	s.Count.Malformed.Add(1)
	c.WriteLine(line, s.cfg.Exchange.Linger)
	s.closeWell(c)
}

// closeWell lets the client read the answer: closing with unread bytes would take it back.
func (s *Server) closeWell(c *lines.Conn) {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(s.cfg.Exchange.Linger))
	io.Copy(io.Discard, c.TCPConn)
}

func (s *Server) end(c *lines.Conn, why exchange.Reason) {
	s.log.Info("connection ended", zap.String("code", string(why)), zap.Stringer("client", c.RemoteAddr()))
}
