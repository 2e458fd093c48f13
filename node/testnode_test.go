package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/settings"
)

// withoutHealthChecks disables health checks, and the timeout of connects.
func withoutHealthChecks(c *Config) {
	c.Settings.Limits.HealthChecksAllowed, c.Settings.Limits.DialTimeoutMicros = false, 60_000_000
}

// inLoop runs a function in the event loop and waits for it.
func (n *testNode) inLoop(run func()) {
	done := make(chan struct{})
	n.loop.post(func() {
		run()
		close(done)
	})
	<-done
}

// blockLoop blocks the event loop until the returned channel is closed.
func (n *testNode) blockLoop() (unblock chan struct{}) {
	unblock = make(chan struct{})
	blocked := make(chan struct{})
	n.loop.post(func() {
		close(blocked)
		<-unblock
	})
	<-blocked
	return unblock
}

// allStacks returns the complete stacks of all goroutines.
func allStacks() string {
	for size := 1 << 20; ; size *= 2 {
		buffer := make([]byte, size)
		if n := runtime.Stack(buffer, true); n < size {
			return string(buffer[:n])
		}
	}
}

// isDraining reports whether a server is draining in the endpoint list of the node.
func (n *testNode) isDraining(srv *testServer) bool {
	isDraining := make(chan bool)
	n.loop.post(func() { isDraining <- n.loop.drainingServers[balance.ServerID(settings.HashServerID(srv.id))] })
	return <-isDraining
}

// awaitFirstList waits until the first watch has received a list.
func (n *testNode) awaitFirstList() {
	n.t.Helper()
	n.waitFor("the first watch", func() bool { return n.counter("list_calls") == 1 })
	n.discovery.sendList(2, false)
	n.waitFor("the first list", func() bool { return n.counter("list_changes") == 1 })
}

// openRequests returns the number of requests that the event loop holds.
func (n *testNode) openRequests() int {
	count := make(chan int)
	n.loop.post(func() { count <- len(n.loop.requests) })
	return <-count
}

// addressOf returns the address of a server in the endpoint list of the node, or "" if it is not listed.
func (n *testNode) addressOf(srv *testServer) string {
	addr := make(chan string)
	n.loop.post(func() { addr <- n.loop.servers[balance.ServerID(settings.HashServerID(srv.id))].Addr })
	return <-addr
}

// siteJSON is the section "settings" of the configurations in tests.
const siteJSON = `{"balancers":1,"tick_us":5000,"membership_mode":"on_request",
 "ceilings":{"dial_timeout_us":200000,"keepalive_us":5000000,"max_open":10000,"max_retry_after_us":1000000,
  "may_probe":true,"retry_after":true,"send_cap":3},
 "classes":[{"name":"chat","effect":"read_like"},{"name":"pay","effect":"non_idempotent"}],
 "family_info":{"message_aim_us":[300000,300000]},"report":{"fields":["x0"],"via":"probe"},
 "rules":{"cold_from":0.3,"cold_us":8000000,"fall_multiple":3,"fall_us":2000000}}`

// measureLateness measures how late an otherwise idle goroutine wakes up. The returned function returns the maximum so
// far.
func measureLateness(t *testing.T) (maxLateness func() time.Duration) {
	var lateness atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		const interval = time.Millisecond
		for startedAt := time.Now(); ; startedAt = time.Now() {
			select {
			case <-done:
				return
			case <-time.After(interval):
				lateness.Store(max(lateness.Load(), int64(time.Since(startedAt)-interval)))
			}
		}
	}()
	return func() time.Duration { return time.Duration(lateness.Load()) }
}

// testNode is a node under test.
type testNode struct {
	*Node
	t         *testing.T
	discovery *fakeDiscovery
	logs      *observer.ObservedLogs
	stop      context.CancelFunc
	done      chan error

	openedByKey map[string]int // connections opened with each key
}

// testConfig returns the configuration of a node with servers in its initial endpoint list.
func testConfig(t *testing.T, discoveryServer *fakeDiscovery, servers ...*testServer) Config {
	t.Helper()
	cfg := Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: discoveryServer.addr, Seed: "8c1f30d27a5be964",
		Limits:           Limits{Cores: 1, MemoryMB: 256, FileDescriptors: 1024},
		InitialEndpoints: discovery.EndpointList{Version: 1, Full: true},
		Timeouts:         Timeouts{AcceptAfterStopMS: 20, ServerDrainMS: 20, StopMS: 550}}
	if err := json.Unmarshal([]byte(siteJSON), &cfg.Settings); err != nil {
		t.Fatal(err)
	}
	for _, srv := range servers {
		cfg.InitialEndpoints.Servers = append(cfg.InitialEndpoints.Servers, srv.endpoint("up"))
	}
	return cfg
}

// startNode runs a node with servers in its initial endpoint list. change may alter its configuration, or be nil.
func startNode(t *testing.T, change func(*Config), servers ...*testServer) *testNode {
	t.Helper()
	discoveryServer := newFakeDiscovery(t, 0)
	cfg := testConfig(t, discoveryServer, servers...)
	if change != nil {
		change(&cfg)
	}
	return runNode(t, cfg, discoveryServer)
}

// runNode creates a node and runs it until the test ends.
func runNode(t *testing.T, cfg Config, discoveryServer *fakeDiscovery) *testNode {
	t.Helper()
	n := newTestNode(t, cfg, discoveryServer)
	n.run()
	return n
}

// newTestNode creates a node that listens but does not run yet.
func newTestNode(t *testing.T, cfg Config, discoveryServer *fakeDiscovery) *testNode {
	t.Helper()
	core, logs := observer.New(zapcore.DebugLevel)
	n, err := New(cfg, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{Node: n, t: t, discovery: discoveryServer, logs: logs, done: make(chan error, 1),
		openedByKey: map[string]int{}}
}

// run runs the node until the test ends.
func (n *testNode) run() {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.done <- n.Run(ctx) }()
	n.t.Cleanup(func() {
		stop()
		n.wait()
	})
}

// wait waits for the node to stop.
func (n *testNode) wait() {
	n.t.Helper()
	select {
	case err := <-n.done:
		if err != nil {
			n.t.Error(err)
		}
		n.done <- nil
	case <-time.After(testTimeout):
		n.t.Fatal("the node does not stop")
	}
}

// dial opens a connection to the node.
func (n *testNode) dial() *testConn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		n.t.Fatal(err)
	}
	return newTestConn(n.t, conn)
}

// requestID returns the request ID of the last connection opened with a key. Each connection has a new one.
func (n *testNode) requestID(key string) string {
	return fmt.Sprintf("id-%s-%d", key, n.openedByKey[key])
}

// open sends a request with a key and further options.
func (n *testNode) open(key, options string) *testConn {
	n.t.Helper()
	conn := n.dial()
	n.openedByKey[key]++
	conn.send("OPEN " + n.requestID(key) + " " + key + " c=chat,d=2000" + options + "\r\n")
	return conn
}

// establish establishes a connection through the node to a server.
func (n *testNode) establish(srv *testServer) (client, server *testConn) {
	n.t.Helper()
	client = n.open("k", "")
	server, _ = srv.accept(n.t)
	server.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
	return client, server
}

// expectCode waits for the final log line of a connection with this code.
func (n *testNode) expectCode(want string) {
	n.t.Helper()
	n.waitFor("a log line with code "+want, func() bool {
		for _, entry := range n.logs.FilterMessage("connection ended").All() {
			if entry.ContextMap()["code"] == want {
				return true
			}
		}
		return false
	})
}

// waitFor waits for a condition.
func (n *testNode) waitFor(description string, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			for _, entry := range n.logs.All() {
				n.t.Log(entry.Message, entry.ContextMap())
			}
			n.t.Fatal("timeout waiting for " + description)
		}
	}
}

// counter returns one of the node's counters.
func (n *testNode) counter(name string) int64 {
	for _, field := range n.Counters() {
		if field.Key == name {
			return field.Integer
		}
	}
	n.t.Fatal("no counter " + name)
	return 0
}
