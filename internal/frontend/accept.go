package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/lines"
)

const (
	acceptRetryInterval    = 10 * time.Millisecond  // after an error, for example for lack of descriptors
	acceptRemainingTimeout = 200 * time.Millisecond // for AcceptRemaining, even if new clients keep connecting
	acceptQuietPeriod      = 10 * time.Millisecond  // without a new connection, to regard the kernel's queue as empty
)

// maxAcceptTimeouts is the number of accept timeouts after AcceptRemaining that do not yet mean that the kernel's queue
// is empty. The first is caused by AcceptRemaining, which wakes Serve by a timeout. The second, after a quiet period,
// may occur although a connection is waiting, because a process that was suspended checks its clock before the queue.
const maxAcceptTimeouts = 2

// errAcceptEnded is returned by accept after AcceptRemaining, once the kernel's queue is empty or the time is over.
var errAcceptEnded = errors.New("no more connections are accepted")

// AcceptRemaining makes Serve accept the connections that are in the kernel's queue, close the listener and return.
// Closing the listener with connections in the queue would reset them.
func (s *Server) AcceptRemaining(listener *net.TCPListener) {
	s.limitAcceptTime(acceptRemainingTimeout)
	listener.SetDeadline(time.Unix(1, 0)) // wakes Serve
}

// limitAcceptTime sets the time until which Serve accepts connections.
func (s *Server) limitAcceptTime(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	s.acceptDeadline.Store(&deadline)
}

// Serve accepts clients until the listener is closed, until AcceptRemaining has emptied the kernel's queue, or until
// ctx ends while accepting fails. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener *net.TCPListener) {
	defer listener.Close()
	for {
		conn, err := s.accept(ctx, listener)
		if err != nil {
			return
		}
		s.Counters.Accepted.Add(1)
		select {
		case s.handshakeSlots <- struct{}{}:
		default: // clients that send nothing must not block new ones
			s.shortenOldestHandshakes()
			s.handshakeSlots <- struct{}{}
		}
		client := lines.New(conn)
		s.addHandshake(client) // before the next connection is accepted, which may shorten this handshake
		s.connections.Go(func() { s.serveClient(client) })
	}
}

// accept waits for a connection. It retries after errors of the listener, and returns an error only if no more
// connections are to be accepted.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) (*net.TCPConn, error) {
	timeouts, hasFailed := 0, false
	for {
		if err := s.setAcceptDeadline(listener); err != nil {
			return nil, err
		}
		conn, err := listener.AcceptTCP()
		switch {
		case err == nil:
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			if timeouts++; timeouts > maxAcceptTimeouts {
				return nil, errAcceptEnded
			}
			continue
		}
		s.Counters.AcceptErrors.Add(1)
		if !hasFailed { // one log line per series of errors
			s.log.Warn("clients cannot be accepted", zap.Error(err))
		}
		hasFailed = true
		if err := s.pauseAccept(ctx); err != nil {
			return nil, err
		}
	}
}

// setAcceptDeadline limits the time of the next accept to acceptQuietPeriod if AcceptRemaining was called. It returns
// errAcceptEnded after acceptRemainingTimeout.
func (s *Server) setAcceptDeadline(listener *net.TCPListener) error {
	deadline := s.acceptDeadline.Load()
	if deadline == nil {
		return nil
	}
	if time.Now().After(*deadline) {
		return errAcceptEnded
	}
	listener.SetDeadline(time.Now().Add(acceptQuietPeriod))
	return nil
}

// pauseAccept waits for acceptRetryInterval after an error. The timeout of AcceptRemaining starts again, because no
// connection could be accepted.
func (s *Server) pauseAccept(ctx context.Context) error {
	if s.acceptDeadline.Load() != nil {
		s.limitAcceptTime(acceptRemainingTimeout)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(acceptRetryInterval):
		return nil
	}
}
