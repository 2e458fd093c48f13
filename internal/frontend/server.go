// Package frontend is the side of the clients: it accepts connections, reads their first lines, rejects those without a
// valid request, and bounds both the handshakes and the open requests. It owns a connection until its request is handed
// to an exchange, and the client's half of that exchange after it. Which server a request is sent to is left to the
// caller.
package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/exchange"
	"brassmux/internal/lines"
)

// The codes of connections that end without an exchange.
const (
	PingOnly          exchange.Reason = "ping"             // sent nothing but PINGs
	NoFirstLine       exchange.Reason = "no_first_line"    // ended or reset before a whole line
	FirstLineTimedOut exchange.Reason = "first_line_late"  // sent no request in time
	FirstLineTooLong  exchange.Reason = "first_line_long"  // over lines.MaxLength
	Malformed         exchange.Reason = "first_line_wrong" // malformed, or an unknown request
	IDInUse           exchange.Reason = "id_in_use"        // a request with the ID of another
	AtCapacity        exchange.Reason = "no_room"          // rejected at the limit of requests
)

// Config is the configuration of a Server.
type Config struct {
	FirstLineTimeout time.Duration // limit on a handshake, whatever comes before the request
	MaxRequests      int           // requests open at once; further ones are answered BUSY
	MaxHandshakes    int           // connections beside those: without a request yet, or being rejected
	ExchangeLimits   exchange.Limits

	ClassCounters func(name []byte) *exchange.ClassCounters // of a class; nil for an unknown class
	IsInService   func() bool                               // whether a PING is answered with PONG
}

// Counters count connections and requests.
type Counters struct {
	Accepted     atomic.Int64 // connections
	AcceptErrors atomic.Int64
	Pings        atomic.Int64
	Requests     atomic.Int64 // with a slot
	Malformed    atomic.Int64 // connections rejected for their first line, or for want of one
	AtCapacity   atomic.Int64 // requests rejected for want of a slot
	Unanswered   atomic.Int64 // requests that ended neither answered nor left by the client: a fault of the program
}

// Server accepts clients. Its methods may be called from any goroutine; each client has a goroutine of its own.
type Server struct {
	cfg            Config
	log            *zap.Logger
	observer       exchange.Observer
	onRequest      func(*exchange.Exchange)
	requestSlots   chan struct{} // holds an element for each request
	handshakeSlots chan struct{} // and one for each connection without a request
	ids            *requestIDs
	connections    sync.WaitGroup
	acceptDeadline atomic.Pointer[time.Time] // set by AcceptRemaining
	Counters       Counters

	mu               sync.Mutex    // guards what follows; not held over I/O
	handshakes       []handshake   // oldest first, without those that were shortened
	firstLineTimeout time.Duration // of the next handshake
}

// New returns a server. onRequest is called on a goroutine of its own for each request; observer is notified of its
// events.
func New(cfg Config, log *zap.Logger, observer exchange.Observer, onRequest func(*exchange.Exchange)) *Server {
	return &Server{
		cfg:              cfg,
		log:              log,
		observer:         observer,
		onRequest:        onRequest,
		requestSlots:     make(chan struct{}, cfg.MaxRequests),
		handshakeSlots:   make(chan struct{}, cfg.MaxHandshakes),
		ids:              newRequestIDs(),
		firstLineTimeout: cfg.FirstLineTimeout,
	}
}

// OpenRequests returns the number of requests that have not ended.
func (s *Server) OpenRequests() int { return len(s.requestSlots) }

// Handshakes returns the number of connections without a request.
func (s *Server) Handshakes() int { return len(s.handshakeSlots) }

// Wait returns when all connections have ended.
func (s *Server) Wait() { s.connections.Wait() }

// serveClient runs a connection from its first line to its end. It is the goroutine of the connection.
func (s *Server) serveClient(c *lines.Conn) {
	defer c.Close()
	head, counters, code := s.readRequest(c)
	if code != "" {
		s.releaseHandshake(c)
		s.log.Info("connection ended", zap.String("code", string(code)), zap.Stringer("client", c.RemoteAddr()))
		return
	}
	defer s.releaseRequest(head)
	s.releaseHandshake(c)
	c.SetReadDeadline(time.Time{})
	s.Counters.Requests.Add(1)
	x := exchange.New(head, c, counters, s.observer, s.cfg.ExchangeLimits, s.log)
	go s.onRequest(x) // it may block, and a client that leaves meanwhile is to be noticed at once
	x.RelayClient()
	if x.AwaitsAnswer() {
		s.Counters.Unanswered.Add(1)
		s.log.Error("a request has ended without an answer", zap.ByteString("id", head.ID))
	}
}

// Inherit continues a connection that another process has handed over; run is called with its exchange before anything
// is read. It returns false where no slot is free, or where this process would not accept the request.
func (s *Server) Inherit(st *exchange.OpenConnection, client, server *net.TCPConn, run func(*exchange.Exchange)) bool {
	head, err := exchange.ParseHead(st.FirstLine)
	if err != nil {
		return false
	}
	counters := s.cfg.ClassCounters(head.Class)
	if counters == nil {
		return false
	}
	if s.reserveRequest(head) != "" {
		return false
	}
	x := exchange.NewInherited(st, head, client, server, counters, s.observer, s.cfg.ExchangeLimits, s.log)
	run(x)
	s.connections.Go(func() {
		defer s.releaseRequest(head)
		x.RelayClient()
	})
	return true
}
