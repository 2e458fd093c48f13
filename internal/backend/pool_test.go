package backend

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// mustCheck checks servers one after the other, and fails the test unless each answers with a load report.
func (c *healthCheckClient) mustCheck(servers ...balance.ServerID) {
	c.t.Helper()
	for _, id := range servers {
		if result := c.checkServer(id); result.Outcome != balance.OK || result.Report == nil {
			c.t.Fatalf("health check failed: %+v", result)
		}
	}
}

// With a long list of servers, health checks must not use up the descriptors that are reserved for requests. At the
// limit the connection that has been idle longest is evicted. If all are in use a check waits until its timeout, and
// its result must not count against the server.
func TestPoolBoundsConnections(t *testing.T) {
	closedConns := make(chan int, 10)
	client := newHealthCheckClient(t, func(connIndex int, conn net.Conn, reader *bufio.Reader) {
		for answerCheck(conn, reader, "PONG x0=0.5\r\n") {
		}
		closedConns <- connIndex
	})
	client.pool.available = 2
	client.mustCheck(1, 2, 1, 3)
	if evicted := <-closedConns; evicted != 1 || len(client.accepted) != 3 {
		t.Errorf("connection %d of %d was evicted for server 3", evicted, len(client.accepted))
	}
	client.mustCheck(1, 2) // the connection to server 1 is still idle, the one to server 2 is opened again
	if evicted := <-closedConns; evicted != 2 || len(client.accepted) != 4 {
		t.Errorf("connection %d of %d was evicted for server 2", evicted, len(client.accepted))
	}

	for i := range 2 { // all connections are in use
		if !client.pool.acquire(t.Context()) {
			t.Fatal("could not acquire connection", i)
		}
	}
	client.cfg.HealthCheckTimeout = 50 * time.Millisecond
	if result := client.checkServer(4); result.Outcome != balance.OK || result.Report != nil ||
		len(client.accepted) != 4 {
		t.Errorf("got %+v over %d connections", result, len(client.accepted))
	}
	client.pool.release(nil)
	client.cfg.HealthCheckTimeout = testTimeout
	client.mustCheck(4)
}

// A connection that is no longer in use must be granted to the first waiter rather than be kept idle.
func TestPoolGrantsReleasedConnectionToWaiter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := lines.New(dialed.(*net.TCPConn))
	t.Run("release", func(t *testing.T) {
		checkPoolGrants(t, func(pool *connPool) { pool.release(nil) })
	})
	t.Run("putIdle", func(t *testing.T) {
		checkPoolGrants(t, func(pool *connPool) {
			if pool.putIdle(conn) || pool.takeIdle(conn) {
				t.Error("the connection was kept idle")
			}
		})
	})
}

// checkPoolGrants checks that a pool of one connection grants it to a waiter once makeAvailable was called.
func checkPoolGrants(t *testing.T, makeAvailable func(*connPool)) {
	t.Helper()
	pool := &connPool{available: 1}
	pool.acquire(t.Context())
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	if pool.acquire(cancelledCtx) {
		t.Error("the only connection was acquired twice")
	}
	acquired := make(chan bool)
	go func() { acquired <- pool.acquire(t.Context()) }()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		waiting = len(pool.waiters)
		pool.mu.Unlock()
	}
	makeAvailable(pool)
	if !<-acquired || pool.available != 0 || len(pool.waiters) != 0 {
		t.Errorf("not granted, or %d connections available and %d waiters", pool.available, len(pool.waiters))
	}
	pool.release(nil)
	if pool.available != 1 {
		t.Errorf("%d connections available after release, want 1", pool.available)
	}
}
