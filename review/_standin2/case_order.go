package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["order"] = drainDuringUpgrade }

// front stands in for what deals clients out among nodes: it asks each node ten times a second with PING, and sends new
// connections only to nodes that said PONG the last time, or did so in the last 0.2 s.
type front struct {
	mu    sync.Mutex
	addrs []string
	yesAt map[string]time.Time
	next  int
	stop  chan struct{}
}

func newFront(addrs ...string) *front {
	f := &front{addrs: addrs, yesAt: map[string]time.Time{}, stop: make(chan struct{})}
	for _, addr := range addrs {
		go func() {
			for {
				select {
				case <-f.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if ping(addr) == "PONG" {
					f.mu.Lock()
					f.yesAt[addr] = time.Now()
					f.mu.Unlock()
				}
			}
		}()
	}
	return f
}

// pick returns the node for the next connection, "" for none.
func (f *front) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.addrs {
		f.next++
		addr := f.addrs[f.next%len(f.addrs)]
		if time.Since(f.yesAt[addr]) < 200*time.Millisecond {
			return addr
		}
	}
	return ""
}

// client keeps one connection open through the front: it sends a line every 2 s, and comes again 0.5 s after its
// connection has ended.
type client struct {
	mu sync.Mutex
	at string // the node that holds its connection; "" for none
}

func (c *client) run(b *bench, f *front, key string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		addr := f.pick()
		if addr == "" {
			continue
		}
		a := open(b.rec, addr, key, "balance-watch", 2*time.Second, 550*time.Millisecond)
		if a.err != nil || len(a.line) < 3 || a.line[:3] != "UP " {
			if a.conn != nil {
				a.conn.Close()
			}
			continue
		}
		c.set(addr)
		end := a.follow(2*time.Second, stop)
		c.set("")
		b.rec.logf("client %s: its connection at %s ended: %s", key, addr, end)
	}
}

func (c *client) set(at string) {
	c.mu.Lock()
	c.at = at
	c.mu.Unlock()
}

func (c *client) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// post makes a call of a second address and reports whether the answer is yes.
func post(addr, path string) bool {
	caller := http.Client{Timeout: time.Second}
	response, err := caller.Post("http://"+addr+path, "", nil)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// drainDuringUpgrade: the node is told to empty itself while the next process of an upgrade has started and the platform
// has not yet heard its yes.
func drainDuringUpgrade(b *bench) (int, error) {
	_, entries, err := b.hosts(4, false)
	if err != nil {
		return failed, err
	}
	d, err := newDiscovery(b.rec, "d", 40)
	if err != nil {
		return failed, err
	}
	d.set(entries...)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	listen := socket.Addr().String()
	other, err := freeAddr()
	if err != nil {
		return failed, err
	}
	if err := writeJSON(b.path("config0.json"), nodeConfig("n0", listen, d.addr, d.since(0), askedSite(2, 0))); err != nil {
		return failed, err
	}
	if err := writeJSON(b.path("config1.json"), nodeConfig("n1", other, d.addr, d.since(0), askedSite(2, 1))); err != nil {
		return failed, err
	}
	start := func(name string) (*nodeProcess, error) {
		admin, err := freeAddr()
		if err != nil {
			return nil, err
		}
		n, err := startNode(b.root, name, b.path(name+".log"), []string{"LB_NAME=n0", "LB_LISTEN=" + listen,
			"LB_DISCOVERY=" + d.addr, "LB_CONFIG=" + b.path("config0.json"), "LB_ADMIN=" + admin,
			"TMPDIR=" + b.dir}, socket.(*net.TCPListener))
		if err == nil {
			b.add(n)
		}
		return n, err
	}
	old, err := start("old")
	if err != nil {
		return failed, err
	}
	if !old.awaitYes(10 * time.Second) {
		return failed, fmt.Errorf("the first process does not serve")
	}
	if _, err := startPlain(b, 1, other, d, b.path("config1.json")); err != nil {
		return failed, err
	}
	f, stop := newFront(listen, other), make(chan struct{})
	defer close(f.stop)
	defer close(stop)
	clients := make([]*client, 10)
	for i := range clients {
		clients[i] = &client{}
		go clients[i].run(b, f, fmt.Sprintf("key-%d", i), stop)
	}
	time.Sleep(3 * time.Second)
	var next *nodeProcess
	if b.trouble {
		if next, err = start("next"); err != nil {
			return failed, err
		}
		b.rec.sayf("an upgrade: the next process is started")
		time.Sleep(500 * time.Millisecond)
	}
	if !post(old.admin, "/control/out-of-service") {
		return failed, fmt.Errorf("out-of-service is not answered with yes")
	}
	drainedAt := time.Now()
	b.rec.sayf("out-of-service is answered with yes")
	if b.trouble {
		time.Sleep(500 * time.Millisecond) // the platform asks once a second
		if !next.awaitYes(5 * time.Second) {
			return failed, fmt.Errorf("the next process does not say yes in 6 s")
		}
		b.rec.sayf("the next process says yes; SIGTERM to the old one")
		old.signal(syscall.SIGTERM)
		if !old.awaitExit(3700 * time.Millisecond) {
			return failed, fmt.Errorf("the old process had to be killed")
		}
		b.rec.sayf("the old process has ended")
	}
	time.Sleep(time.Until(drainedAt.Add(4*time.Second + socketSlack)))
	yes, connections := 0, 0
	for range 10 {
		answer := ping(listen)
		b.rec.logf("PING: %q", answer)
		if answer == "PONG" {
			yes++
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, c := range clients {
		if c.node() == listen {
			connections++
		}
	}
	b.rec.sayf("4 s after the order %d of 10 PINGs are answered with PONG, and %d of %d clients have a connection here", yes,
		connections, len(clients))
	if yes > 0 || connections > 0 {
		return broken, nil
	}
	return held, nil
}
