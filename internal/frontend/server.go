// Package frontend serves the clients: it accepts connections, reads their first lines, rejects those without a valid
// request, and limits the numbers of handshakes and of open requests. It owns a connection until its request becomes an
// exchange, and then runs the client's goroutine of that exchange. The caller chooses the server of a request.
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

// Reasons for the end of connections that end without an exchange.
const (
	PingOnly          exchange.Reason = "ping"             // the client sent only PINGs
	NoFirstLine       exchange.Reason = "no_first_line"    // ended or reset before a complete line
	FirstLineTimedOut exchange.Reason = "first_line_late"  // no request within the first-line timeout
	FirstLineTooLong  exchange.Reason = "first_line_long"  // longer than lines.MaxLength
	Malformed         exchange.Reason = "first_line_wrong" // malformed request, unknown request or unknown class
	IDInUse           exchange.Reason = "id_in_use"        // a request with the ID of another request
	AtCapacity        exchange.Reason = "no_room"          // rejected because MaxRequests are open
)

// Config is the configuration of a Server.
type Config struct {
	FirstLineTimeout time.Duration // limit on a handshake, including any PINGs before the request
	MaxRequests      int           // limit on open requests; further requests are answered with BUSY
	MaxHandshakes    int           // limit on connections without a request yet or being rejected
	ExchangeLimits   exchange.Limits
	// MaxRememberedIDs is the number of ended requests whose IDs are remembered at least; the memory for them is for
	// twice as many. 0 selects a default.
	MaxRememberedIDs int

	ClassCounters func(name []byte) *exchange.ClassCounters // returns the counters of a class, nil if unknown
	IsInService   func() bool                               // reports whether a PING is answered with PONG
}

// Counters counts connections and requests.
type Counters struct {
	Accepted     atomic.Int64 // connections
	AcceptErrors atomic.Int64
	Pings        atomic.Int64
	Requests     atomic.Int64 // requests that received a slot
	Malformed    atomic.Int64 // connections rejected for an invalid or missing first line, or an ID in use
	AtCapacity   atomic.Int64 // requests rejected for lack of a slot
	Unanswered   atomic.Int64 // requests that ended without an answer although the client stayed: a program error
}

// Server accepts clients, each served by its own goroutine. Its methods may be called from any goroutine.
type Server struct {
	cfg            Config
	log            *zap.Logger
	observer       exchange.Observer
	onRequest      func(*exchange.Exchange)
	requestSlots   chan struct{} // holds an element for each open request
	handshakeSlots chan struct{} // holds an element for each connection without a request
	connections    sync.WaitGroup
	acceptDeadline atomic.Pointer[time.Time] // set by AcceptRemaining
	Counters       Counters
	IDs            *RequestIDs

	mu               sync.Mutex    // guards the fields below; not held during I/O
	handshakes       []handshake   // oldest first; without those that were shortened
	firstLineTimeout time.Duration // for future handshakes
}

// New returns a server. onRequest is called on a new goroutine for each request; observer is notified of the request's
// events.
func New(cfg Config, log *zap.Logger, observer exchange.Observer, onRequest func(*exchange.Exchange)) *Server {
	return &Server{
		cfg:              cfg,
		log:              log,
		observer:         observer,
		onRequest:        onRequest,
		requestSlots:     make(chan struct{}, cfg.MaxRequests),
		handshakeSlots:   make(chan struct{}, cfg.MaxHandshakes),
		IDs:              newRequestIDs(cfg.MaxRememberedIDs),
		firstLineTimeout: cfg.FirstLineTimeout,
	}
}

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return len(s.requestSlots) }

// Handshakes returns the number of connections without a request, including those being rejected.
func (s *Server) Handshakes() int { return len(s.handshakeSlots) }

// Wait waits until all connections have ended.
func (s *Server) Wait() { s.connections.Wait() }

// serveClient serves a connection from its first line to its end. It runs on the client's goroutine.
func (s *Server) serveClient(conn *lines.Conn) {
	defer conn.Close()
	head, counters, code := s.readRequest(conn)
	if code != "" {
		s.releaseHandshake(conn)
		s.log.Info("connection ended", zap.String("code", string(code)), zap.Stringer("client", conn.RemoteAddr()))
		return
	}
	defer s.releaseRequest(head)
	s.releaseHandshake(conn)
	conn.SetReadDeadline(time.Time{})
	s.Counters.Requests.Add(1)
	x := exchange.New(head, conn, counters, s.observer, s.cfg.ExchangeLimits, s.log)
	go s.onRequest(x) // may block, and a client that disconnects must be detected meanwhile
	x.RelayClient()
	if x.AwaitsAnswer() {
		s.Counters.Unanswered.Add(1)
		s.log.Error("request ended without an answer", zap.ByteString("id", head.ID))
	}
}

// Inherit continues a connection that another process has handed over. run is called with its exchange before the
// client is read from. It returns false if no slot is available, or if this process would not accept the request.
func (s *Server) Inherit(conn *exchange.OpenConnection, client, server *net.TCPConn,
	run func(*exchange.Exchange)) bool {
	head, err := exchange.ParseHead(conn.FirstLine)
	if err != nil {
		return false
	}
	counters := s.cfg.ClassCounters(head.Class)
	if counters == nil {
		return false
	}
	if s.reserveRequest(head, s.IDs.beginInherited) != "" {
		return false
	}
	x := exchange.NewInherited(conn, head, client, server, counters, s.observer, s.cfg.ExchangeLimits, s.log)
	run(x)
	s.connections.Go(func() {
		defer s.releaseRequest(head)
		x.RelayClient()
	})
	return true
}
