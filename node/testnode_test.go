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

func withoutHealthChecks(c *Config) {
	c.Settings.Limits.HealthChecksAllowed, c.Settings.Limits.DialTimeoutMicros = false, 60_000_000
}

// inLoop has the loop do something, and waits.
func (r *testNode) inLoop(do func()) {
	done := make(chan struct{})
	r.loop.post(func() {
		do()
		close(done)
	})
	<-done
}

// blockLoop keeps the loop from what comes next, until the channel is closed.
func (r *testNode) blockLoop() (hold chan struct{}) {
	hold = make(chan struct{})
	held := make(chan struct{})
	r.loop.post(func() {
		close(held)
		<-hold
	})
	<-held
	return hold
}

// allStacks is what all goroutines are at, whole.
func allStacks() string {
	for size := 1 << 20; ; size *= 2 {
		all := make([]byte, size)
		if n := runtime.Stack(all, true); n < size {
			return string(all[:n])
		}
	}
}

// drains asks the loop whether a server drains.
func (r *testNode) drains(h *testServer) bool {
	drains := make(chan bool)
	r.loop.post(func() { drains <- r.loop.drainingServers[balance.ServerID(settings.HashServerID(h.id))] })
	return <-drains
}

// awaitFirstList waits until the first watch has told a list.
func (r *testNode) awaitFirstList() {
	r.t.Helper()
	r.waitFor("the first watch", func() bool { return r.counter("list_calls") == 1 })
	r.discovery.sendList(2, false)
	r.waitFor("its first list", func() bool { return r.counter("list_changes") == 1 })
}

// held asks the loop how many requests it holds.
func (r *testNode) openRequests() int {
	held := make(chan int)
	r.loop.post(func() { held <- len(r.loop.requests) })
	return <-held
}

// addressOf asks the loop where a host is.
func (r *testNode) addressOf(h *testServer) string {
	addr := make(chan string)
	r.loop.post(func() { addr <- r.loop.servers[balance.ServerID(settings.HashServerID(h.id))].Addr })
	return <-addr
}

const siteJSON = `{"balancers":1,"tick_us":5000,"membership_mode":"on_request",
 "ceilings":{"dial_timeout_us":200000,"keepalive_us":5000000,"max_open":10000,"max_retry_after_us":1000000,
  "may_probe":true,"retry_after":true,"send_cap":3},
 "classes":[{"name":"chat","effect":"read_like"},{"name":"pay","effect":"non_idempotent"}],
 "family_info":{"message_aim_us":[300000,300000]},"report":{"fields":["x0"],"via":"probe"},
 "rules":{"cold_from":0.3,"cold_us":8000000,"fall_multiple":3,"fall_us":2000000}}`

// measureLateness measures by how much a goroutine that does nothing else is late on this machine, at most, until it
// is asked.
func measureLateness(t *testing.T) (maxLateness func() time.Duration) {
	var late atomic.Int64
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		const nap = time.Millisecond
		for begun := time.Now(); ; begun = time.Now() {
			select {
			case <-stop:
				return
			case <-time.After(nap):
				late.Store(max(late.Load(), int64(time.Since(begun)-nap)))
			}
		}
	}()
	return func() time.Duration { return time.Duration(late.Load()) }
}

// testNode is a node under test.
type testNode struct {
	*Node
	t         *testing.T
	discovery *fakeDiscovery
	logs      *observer.ObservedLogs
	stop      context.CancelFunc
	done      chan error

	opened map[string]int // by key
}

func testConfig(t *testing.T, list *fakeDiscovery, hosts ...*testServer) Config {
	t.Helper()
	c := Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: list.addr, Seed: "8c1f30d27a5be964",
		Limits:           Limits{Cores: 1, MemoryMB: 256, FileDescriptors: 1024},
		InitialEndpoints: discovery.EndpointList{Version: 1, Full: true},
		Timeouts:         Timeouts{AcceptAfterStopMS: 20, ServerDrainMS: 20, StopMS: 550}}
	if err := json.Unmarshal([]byte(siteJSON), &c.Settings); err != nil {
		t.Fatal(err)
	}
	for _, h := range hosts {
		c.InitialEndpoints.Servers = append(c.InitialEndpoints.Servers, h.endpoint("up"))
	}
	return c
}

// startNode runs a node that knows some hosts; change may alter its configuration.
func startNode(t *testing.T, change func(*Config), hosts ...*testServer) *testNode {
	t.Helper()
	list := newFakeDiscovery(t, 0)
	cfg := testConfig(t, list, hosts...)
	if change != nil {
		change(&cfg)
	}
	return runNode(t, cfg, list)
}

func runNode(t *testing.T, cfg Config, list *fakeDiscovery) *testNode {
	t.Helper()
	r := newTestNode(t, cfg, list)
	r.run()
	return r
}

// newTestNode makes a node that listens, and does not run yet.
func newTestNode(t *testing.T, cfg Config, list *fakeDiscovery) *testNode {
	t.Helper()
	core, logs := observer.New(zapcore.DebugLevel)
	n, err := New(cfg, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{Node: n, t: t, discovery: list, logs: logs, done: make(chan error, 1), opened: map[string]int{}}
}

// run has it run until the test ends.
func (r *testNode) run() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.Run(ctx) }()
	r.t.Cleanup(func() {
		stop()
		r.wait()
	})
}

// wait waits for the node to stop.
func (r *testNode) wait() {
	r.t.Helper()
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Error(err)
		}
		r.done <- nil
	case <-time.After(testTimeout):
		r.t.Fatal("the node does not stop")
	}
}

func (r *testNode) dial() *testConn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	return newTestConn(r.t, c)
}

// requestID is that of the last connection opened with a key: new with every one.
func (r *testNode) requestID(key string) string { return fmt.Sprintf("id-%s-%d", key, r.opened[key]) }

// open begins a connection with a key and further names and values.
func (r *testNode) open(key, more string) *testConn {
	r.t.Helper()
	w := r.dial()
	r.opened[key]++
	w.send("OPEN " + r.requestID(key) + " " + key + " c=chat,d=2000" + more + "\r\n")
	return w
}

// establish sets up a connection through the node to a host.
func (r *testNode) establish(h *testServer) (client, server *testConn) {
	r.t.Helper()
	client = r.open("k", "")
	server, _ = h.accept(r.t)
	server.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
	return client, server
}

// expectCode waits for a connection's last log line and checks its code.
func (r *testNode) expectCode(want string) {
	r.t.Helper()
	r.waitFor("a log line with code "+want, func() bool {
		for _, e := range r.logs.FilterMessage("connection ended").All() {
			if e.ContextMap()["code"] == want {
				return true
			}
		}
		return false
	})
}

// waitFor waits for a condition.
func (r *testNode) waitFor(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			for _, e := range r.logs.All() {
				r.t.Log(e.Message, e.ContextMap())
			}
			r.t.Fatal("waited in vain for " + what)
		}
	}
}

// counter reads one of the node's counters.
func (r *testNode) counter(name string) int64 {
	for _, f := range r.Counters() {
		if f.Key == name {
			return f.Integer
		}
	}
	r.t.Fatal("no counter " + name)
	return 0
}
