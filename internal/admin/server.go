package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Limits bounds the resources that callers can use.
type Limits struct {
	MaxConnections int           // open at the same time
	CallTimeout    time.Duration // to receive a complete request; the caller must read the response within twice that
}

const (
	maxHeaderBytes = 2 << 10
	maxBodyBytes   = 4 << 10 // no request needs a body
)

// Counters counts connections and requests.
type Counters struct {
	Connections  atomic.Int64
	Calls        atomic.Int64 // complete requests
	Evictions    atomic.Int64 // connections closed to admit others
	AcceptErrors atomic.Int64
}

// Server is the administrative HTTP server.
type Server struct {
	Counters Counters

	http        *http.Server
	logger      *zap.Logger
	connections *connectionLimit
}

// New returns a server for a node. The caller starts it with Serve.
func New(node Node, limits Limits, logger *zap.Logger) *Server {
	s := &Server{logger: logger, connections: newConnectionLimit(limits.MaxConnections)}
	s.http = &http.Server{
		Handler:        s.limitRequests(newHandler(node)),
		ReadTimeout:    limits.CallTimeout,
		WriteTimeout:   2 * limits.CallTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // invalid requests must not fill the node's log
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// connectionKey is the context key of a request's *limitedConnection.
type connectionKey struct{}

// limitRequests marks the connections whose request has arrived and rejects requests whose body exceeds maxBodyBytes.
func (s *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connectionKey{}).(*limitedConnection).requestComplete.Store(true)
		s.Counters.Calls.Add(1)
		if r.ContentLength > maxBodyBytes {
			http.Error(w, "no call has such a body", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections from listener and handles their requests until Close. It closes listener.
func (s *Server) Serve(listener net.Listener) {
	err := s.http.Serve(&limitedListener{Listener: listener, limit: s.connections, counters: &s.Counters})
	if !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("the admin server ended", zap.Error(err))
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() { s.http.Close() }
