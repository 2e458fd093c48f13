package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"brassmux/balance"
)

const testTimeout = 10 * time.Second

// healthCheckClient checks the health of a test server that listens on addr.
type healthCheckClient struct {
	*Client
	t        *testing.T
	listener net.Listener // of the server
	addr     string
	results  chan balance.HealthCheckResult
	accepted chan struct{} // has an element for each connection that the server accepted
}

// newHealthCheckClient returns a client and starts its server, which calls serve for each connection.
func newHealthCheckClient(t *testing.T,
	serve func(connIndex int, conn net.Conn, reader *bufio.Reader)) *healthCheckClient {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	client := &healthCheckClient{t: t, listener: listener, addr: listener.Addr().String(),
		results: make(chan balance.HealthCheckResult, 10), accepted: make(chan struct{}, 10)}
	cfg := Config{DialTimeout: time.Second, HealthCheckTimeout: time.Second, IdleTimeout: time.Minute, LoadField: "x0"}
	client.Client = New(cfg, nil, func(result balance.HealthCheckResult) { client.results <- result })
	go func() {
		for connIndex := 0; ; connIndex++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			client.accepted <- struct{}{}
			t.Cleanup(func() { conn.Close() })
			go serve(connIndex, conn, bufio.NewReader(conn))
		}
	}()
	return client
}

// check checks the server under a fixed ID.
func (c *healthCheckClient) check() balance.HealthCheckResult { return c.checkServer(7) }

// checkServer checks the server under an ID. All IDs have the same address.
func (c *healthCheckClient) checkServer(server balance.ServerID) balance.HealthCheckResult {
	c.t.Helper()
	c.CheckHealth(server, c.addr, time.Time{})
	result := c.result()
	if result.Server != server {
		c.t.Errorf("received a result for server %d", result.Server)
	}
	return result
}

// result returns the next result of a health check.
func (c *healthCheckClient) result() balance.HealthCheckResult {
	c.t.Helper()
	select {
	case result := <-c.results:
		return result
	case <-time.After(testTimeout):
		c.t.Fatal("no result of the health check")
		return balance.HealthCheckResult{}
	}
}

// answerCheck reads one health check and answers it with a line. It returns false if that fails.
func answerCheck(conn net.Conn, reader *bufio.Reader, line string) bool {
	if request, err := reader.ReadString('\n'); err != nil || request != "STATS\r\n" {
		return false
	}
	_, err := io.WriteString(conn, line)
	return err == nil
}

func TestHealthChecksReuseConnection(t *testing.T) {
	client := newHealthCheckClient(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for answerCheck(conn, reader, "PONG eps=0,rif=3,x0=0.75\r\n") {
		}
	})
	for range 3 {
		if result := client.check(); result.Outcome != balance.OK || result.Report == nil ||
			result.Report.Utilisation != 0.75 {
			t.Fatalf("got %+v", result)
		}
	}
	if len(client.accepted) != 1 {
		t.Errorf("three health checks used %d connections, want 1", len(client.accepted))
	}
}

// A server may close an idle connection, which must not count as a failed health check.
func TestHealthCheckRetriesAfterIdleConnectionIsClosed(t *testing.T) {
	client := newHealthCheckClient(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		answerCheck(conn, reader, "PONG x0=0.5\r\n")
		conn.Close()
	})
	for range 3 {
		if result := client.check(); result.Outcome != balance.OK || result.Report == nil ||
			result.Report.Utilisation != 0.5 {
			t.Fatalf("got %+v", result)
		}
	}
}

// The outcome of checking a server that has closed its connection and no longer listens must be ConnectFailed, not
// Reset.
func TestHealthCheckOfStoppedServer(t *testing.T) {
	var client *healthCheckClient
	client = newHealthCheckClient(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		answerCheck(conn, reader, "PONG x0=0.5\r\n")
		client.listener.Close()
		reader.ReadString('\n') // the next health check, which is not answered
		conn.Close()
	})
	client.check()
	if result := client.check(); result.Outcome != balance.ConnectFailed || result.Report != nil {
		t.Errorf("got %+v", result)
	}
}

func TestHealthCheckOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		line        string // answer of the server
		wantOutcome balance.Outcome
		wantLoad    float64 // -1 for no report, or for a report without a load
	}{
		"NO":            {"NO\r\n", balance.ServerError, -1},
		"ERR":           {"ERR x0=0.9\r\n", balance.ServerError, 0.9},
		"no report":     {"PONG\r\n", balance.OK, -1},
		"no load field": {"PONG eps=1\r\n", balance.OK, -1},
		"not a number":  {"PONG x0=much\r\n", balance.OK, -1},
		"negative load": {"PONG x0=-1\r\n", balance.OK, -1},
		"infinite load": {"PONG x0=inf\r\n", balance.OK, -1},
		"load is NaN":   {"PONG x0=nan\r\n", balance.OK, -1},
		"no answer":     {"", balance.TimedOut, -1},
	} {
		t.Run(name, func(t *testing.T) {
			client := newHealthCheckClient(t,
				func(_ int, conn net.Conn, reader *bufio.Reader) { answerCheck(conn, reader, test.line) })
			client.cfg.HealthCheckTimeout = 300 * time.Millisecond
			result := client.check()
			load := -1.0
			if result.Report != nil {
				load = result.Report.Utilisation
			}
			if result.Outcome != test.wantOutcome || load != test.wantLoad {
				t.Errorf("got %+v, load %v", result, load)
			}
		})
	}
	client := newHealthCheckClient(t, func(_ int, conn net.Conn, _ *bufio.Reader) { conn.Close() })
	if result := client.check(); result.Outcome != balance.Reset {
		t.Errorf("closed connection: got %+v", result)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client.addr = listener.Addr().String()
	listener.Close()
	if result := client.check(); result.Outcome != balance.ConnectFailed {
		t.Errorf("no listener: got %+v", result)
	}
}

// A server answers a health check twice, and its second answer has arrived before the next check. It must not be taken
// as the answer to that check.
func TestAnswerToEarlierHealthCheckIsIgnored(t *testing.T) {
	for name, answers := range map[string]struct{ first, later string }{
		"together with the first": {"PONG x0=0.1\r\nPONG x0=0.2\r\n", ""},
		"after the first":         {"PONG x0=0.1\r\n", "PONG x0=0.2\r\n"},
	} {
		t.Run(name, func(t *testing.T) { checkSecondAnswerIsIgnored(t, answers.first, answers.later) })
	}
}

// checkSecondAnswerIsIgnored uses a server that answers the first check with first, and sends later once the client has
// received that.
func checkSecondAnswerIsIgnored(t *testing.T, first, later string) {
	t.Helper()
	signal := make(chan bool)
	client := newHealthCheckClient(t, func(connIndex int, conn net.Conn, reader *bufio.Reader) {
		if connIndex > 0 {
			answerCheck(conn, reader, "PONG x0=0.7\r\n")
			return
		}
		answerCheck(conn, reader, first)
		<-signal
		io.WriteString(conn, later)
		conn.(*net.TCPConn).CloseWrite() // the end arrives after the second answer
		signal <- true
	})
	if result := client.check(); result.Report == nil || result.Report.Utilisation != 0.1 {
		t.Fatalf("got %+v", result)
	}
	signal <- true
	<-signal
	if result := client.check(); result.Report == nil || result.Report.Utilisation != 0.7 {
		t.Errorf("got %+v", result)
	}
}

// A temporary lack of local resources must not count as a failure of the server, which could be ejected for it. The
// dial is retried until DialTimeout has passed.
func TestDialRetriesOnTransientLocalShortage(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	} {
		client := newHealthCheckClient(t,
			func(_ int, conn net.Conn, reader *bufio.Reader) { answerCheck(conn, reader, "PONG x0=0.5\r\n") })
		connect, failures := client.cfg.Connect, 3
		client.cfg.Connect = func(ctx context.Context, addr string) (net.Conn, error) {
			if failures--; failures >= 0 {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
			}
			return connect(ctx, addr)
		}
		if result := client.check(); result.Outcome != balance.OK || result.Report == nil ||
			result.Report.Utilisation != 0.5 {
			t.Errorf("%v: got %+v", errno, result)
		}
	}
	t.Run("permanent shortage", func(t *testing.T) { // reported after DialTimeout
		client := newHealthCheckClient(t, func(int, net.Conn, *bufio.Reader) {})
		client.cfg.DialTimeout = 50 * time.Millisecond
		client.cfg.Connect = func(context.Context, string) (net.Conn, error) { return nil, syscall.EMFILE }
		result := client.check()
		if result.Outcome != balance.ConnectFailed || result.Elapsed < client.cfg.DialTimeout ||
			result.Elapsed > client.cfg.HealthCheckTimeout {
			t.Errorf("got %+v", result)
		}
	})
}
