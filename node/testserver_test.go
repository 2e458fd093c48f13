package node

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brassmux/internal/discovery"
	"brassmux/internal/settings"
)

// recordingServer is a server that sends the data of each connection to the channel received once that has ended.
type recordingServer struct {
	*testServer
	resetsAfterFirstLine atomic.Bool // reset each connection after its first line
	received             chan string
}

func newRecordingServer(t *testing.T, id string) *recordingServer {
	srv := &recordingServer{testServer: &testServer{id: id}, received: make(chan string, 100)}
	srv.addr = serveConns(t, func(conn *testConn) {
		line, _ := conn.reader.ReadString('\n')
		if srv.resetsAfterFirstLine.Load() { // checked after the first line, so that a test can set it until then
			conn.reset()
		}
		rest, _ := io.ReadAll(conn.reader)
		srv.received <- line + string(rest)
	})
	return srv
}

// expectNothing checks that a connection was opened and closed without data.
func (srv *recordingServer) expectNothing(t *testing.T) {
	t.Helper()
	select {
	case all := <-srv.received:
		if all != "" {
			t.Errorf("%s got %q", srv.id, all)
		}
	case <-time.After(testTimeout):
		t.Errorf("no connection to %s has ended", srv.id)
	}
}

// testServer is a server that answers health checks and passes all other connections, with their first lines, to the
// test.
type testServer struct {
	id, addr   string
	conns      chan *testConn
	firstLines chan string
	load       string
	isDraining atomic.Bool    // health checks are answered with ERR
	handlers   sync.WaitGroup // of connections that wait for their first line
}

// newTestServer starts a server.
func newTestServer(t *testing.T, id string) *testServer {
	srv := &testServer{id: id, conns: make(chan *testConn, 100), firstLines: make(chan string, 100), load: "0.1"}
	srv.addr = acceptConns(t, func(conn *testConn) { srv.handlers.Go(func() { srv.serve(conn) }) })
	return srv
}

// serveConns listens on a new address and serves each connection in its own goroutine.
func serveConns(t *testing.T, serve func(*testConn)) (addr string) {
	return acceptConns(t, func(conn *testConn) { go serve(conn) })
}

// acceptConns listens on a new address and handles its connections one after the other.
func acceptConns(t *testing.T, handle func(*testConn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(newTestConn(t, conn))
		}
	}()
	return listener.Addr().String()
}

// serve answers health checks until a connection sends another first line, and then passes it to the test.
func (srv *testServer) serve(conn *testConn) {
	for {
		line, err := conn.reader.ReadString('\n')
		if err != nil {
			return
		}
		if line != "STATS\r\n" {
			srv.firstLines <- line
			srv.conns <- conn
			return
		}
		if srv.isDraining.Load() {
			fmt.Fprint(conn, "ERR\r\n")
			continue
		}
		fmt.Fprintf(conn, "PONG eps=0,x0=%s\r\n", srv.load)
	}
}

// accept waits for a connection from the node that is not a health check, and returns it with its first line.
func (srv *testServer) accept(t *testing.T) (conn *testConn, first string) {
	t.Helper()
	select {
	case conn = <-srv.conns:
		return conn, <-srv.firstLines
	case <-time.After(testTimeout):
		t.Fatal("no connection to server " + srv.id)
		return nil, ""
	}
}

// countUnaccepted returns the number of connections that the test has not accepted. The node must not send anything
// more, and must not keep connections of health checks open.
func (srv *testServer) countUnaccepted(t *testing.T) (count int) {
	t.Helper()
	conn, err := net.Dial("tcp", srv.addr) // accepted after all others
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "LAST\r\n")
	for isLast := false; !isLast; count++ {
		_, first := srv.accept(t)
		isLast = first == "LAST\r\n"
	}
	srv.handlers.Wait()
	return count - 1 + len(srv.conns)
}

// endpoint returns the entry of the server in the endpoint list.
func (srv *testServer) endpoint(state string) discovery.Endpoint {
	return discovery.Endpoint{ID: settings.HashServerID(srv.id), Addr: srv.addr, Zone: "a", State: state, Weight: 1}
}

// endpointJSON returns the entry in the format of the discovery service.
func (srv *testServer) endpointJSON(state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","state":%q,"weight":1,"started_ms":0}`, srv.id, srv.addr, state)
}

// refusingAddr returns an address that refuses connections while the test runs. It is bound, so that no other program
// can get it, but nothing listens on it.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	addr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*syscall.SockaddrInet4).Port)
}

// acceptAll makes a server accept every request, and counts them.
func acceptAll(t *testing.T, srv *testServer) (count *atomic.Int64) {
	count = &atomic.Int64{}
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case conn := <-srv.conns:
				<-srv.firstLines
				count.Add(1)
				fmt.Fprint(conn, "UP r\r\n")
			case <-ended:
				return
			}
		}
	}()
	return count
}

// endpointJSONSince is like endpointJSON with a start time.
func (srv *testServer) endpointJSONSince(state string, started time.Time) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","state":%q,"weight":1,"started_ms":%d}`, srv.id, srv.addr,
		state, started.UnixMilli())
}
