package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testEnvironment provides the servers, all at one address, and the discovery service of a node. The service rejects
// requests until discoveryUp is set.
type testEnvironment struct {
	serverAddr, discoveryAddr string
	discoveryUp               atomic.Bool
	watchRequests             atomic.Int64 // requests for the server list while discoveryUp is set
	healthCheckConnections    atomic.Int64 // connections to servers whose first line was a health check
}

// newTestEnvironment starts a server and a discovery service whose list has the given number of entries.
func newTestEnvironment(t *testing.T, servers int) *testEnvironment {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	environment := &testEnvironment{serverAddr: listener.Addr().String()}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go environment.serveConnection(conn)
		}
	}()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		environment.serveDiscovery(w, r, servers)
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	environment.discoveryAddr = strings.TrimPrefix(discovery.URL, "http://")
	return environment
}

// serveDiscovery answers a watch request with the list, followed by an empty line each second.
func (e *testEnvironment) serveDiscovery(w http.ResponseWriter, r *http.Request, servers int) {
	if !e.discoveryUp.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	e.watchRequests.Add(1)
	fmt.Fprintf(w, `{"version":2,"full":true,"servers":[%s]}`+"\n", e.serverEntries(servers))
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
			fmt.Fprintln(w)
		}
	}
}

// serveConnection answers health checks and accepts every client, as a server does.
func (e *testEnvironment) serveConnection(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for isFirstLine := true; ; isFirstLine = false {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer := "UP r\r\n"
		if line == "STATS\r\n" {
			answer = "PONG x0=0.1\r\n"
			if isFirstLine {
				e.healthCheckConnections.Add(1)
			}
		}
		io.WriteString(conn, answer)
	}
}

// serverEntries returns entries for the server list, separated by commas.
func (e *testEnvironment) serverEntries(count int) string {
	var entries []string
	for i := range count {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s-%d","addr":%q,"zone":"a","state":"up","weight":1,"started_ms":0}`, i+1, e.serverAddr))
	}
	return strings.Join(entries, ",")
}

// startIdleClient keeps an idle connection to an address until the test ends, and reconnects whenever it is closed.
func startIdleClient(t *testing.T, addr string) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			holdIdleConnection(addr, stop)
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond): // avoids a busy loop while connections are refused
			}
		}
	}()
}

// holdIdleConnection keeps a connection open until the other side or stop is closed.
func holdIdleConnection(addr string, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		close(closed)
	}()
	select {
	case <-closed:
	case <-stop:
	}
}
