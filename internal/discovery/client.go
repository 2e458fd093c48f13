// Package discovery is a client of the discovery service. It watches the endpoint list over HTTP: the service sends the
// complete list and then its changes. The package defines the format of the list, makes the calls and validates the
// responses. Its callers decide when to open a watch, how long to back off between two watches and how to use a list.
package discovery

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Client calls the discovery service. Its exported fields must be set before the first call.
type Client struct {
	// SilenceTimeout is the time without received data after which a watch calls OnSilence.
	SilenceTimeout time.Duration

	// DialContext replaces the client's dialer if it is set. The lab sets it.
	DialContext DialFunc

	Counters Counters

	http              *http.Client
	olderListRejected atomic.Bool // a complete older list was rejected, and no list was accepted since
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Counters counts the calls, the watches that failed or ended, and the events passed to handlers.
type Counters struct{ Calls, Failures, WatchEvents atomic.Int64 }

// New returns a client. It connects within dialTimeout or fails. Connections use the local address localAddr, unless
// that is nil.
func New(dialTimeout, silenceTimeout time.Duration, localAddr net.Addr) *Client {
	c := &Client{SilenceTimeout: silenceTimeout}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: localAddr}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialContext := dialer.DialContext
		if c.DialContext != nil {
			dialContext = c.DialContext
			timeoutCtx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			ctx = timeoutCtx
		}
		conn, err := dialContext(ctx, network, addr)
		if err == nil && isPastStartDeadline(ctx) {
			conn.Close()
			return nil, ErrTooLate
		}
		return conn, err
	}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
	return c
}

// startDeadlineKey is the context key of the deadline for the start of a call. A deadline of the context itself would
// also end the watch.
type startDeadlineKey struct{}

// isPastStartDeadline reports whether the deadline for the start of a call has passed. This occurs if the process was
// suspended between the decision to call and the call.
func isPastStartDeadline(ctx context.Context) bool {
	startDeadline, _ := ctx.Value(startDeadlineKey{}).(time.Time)
	return !startDeadline.IsZero() && time.Now().After(startDeadline)
}

// newRequest counts a call and returns its request for the changes after a version. It returns ErrTooLate if the
// deadline for the start has passed.
func (c *Client) newRequest(ctx context.Context, addr string, sinceVersion int64) (*http.Request, error) {
	// The host at the other end of an idle connection may have failed without closing it. A request on such a
	// connection would get no response.
	c.http.CloseIdleConnections()
	if isPastStartDeadline(ctx) {
		return nil, ErrTooLate
	}
	c.Counters.Calls.Add(1)
	query := url.Values{"follow": {"1"}, "since": {strconv.FormatInt(sinceVersion, 10)}}
	requestURL := url.URL{Scheme: "http", Host: addr, Path: "/v1/endpoints", RawQuery: query.Encode()}
	return http.NewRequestWithContext(ctx, http.MethodGet, requestURL.String(), nil)
}
