package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["order"] = drainDuringUpgrade
	cases["tmpdir"] = upgradeWhileDrained
}

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

// drained is two nodes with ten clients; the first is told to empty itself. The platform holds its listening socket.
type drained struct {
	b       *bench
	d       *discovery
	socket  *net.TCPListener
	listen  string
	tmp     string // $TMPDIR of its processes
	old     *nodeProcess
	clients []*client
	front   *front
	stop    chan struct{}
}

// startDrained starts servers, discovery, both nodes and the clients.
func startDrained(b *bench, tmp string) (*drained, error) {
	_, entries, err := b.hosts(4, false)
	if err != nil {
		return nil, err
	}
	s := &drained{b: b, tmp: tmp, stop: make(chan struct{})}
	if s.d, err = newDiscovery(b.rec, "d", 40); err != nil {
		return nil, err
	}
	s.d.set(entries...)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.socket, s.listen = socket.(*net.TCPListener), socket.Addr().String()
	other, err := freeAddr()
	if err != nil {
		return nil, err
	}
	for i, addr := range []string{s.listen, other} {
		config := nodeConfig(fmt.Sprintf("n%d", i), addr, s.d.addr, s.d.since(0), askedSite(2, i))
		if err := writeJSON(b.path(fmt.Sprintf("config%d.json", i)), config); err != nil {
			return nil, err
		}
	}
	if s.old, err = s.start("old"); err != nil {
		return nil, err
	}
	if !s.old.awaitYes(10 * time.Second) {
		return nil, fmt.Errorf("the first process does not serve")
	}
	if _, err := startPlain(b, 1, other, s.d, b.path("config1.json")); err != nil {
		return nil, err
	}
	s.front = newFront(s.listen, other)
	for i := range 10 {
		c := &client{}
		s.clients = append(s.clients, c)
		go c.run(b, s.front, fmt.Sprintf("key-%d", i), s.stop)
	}
	time.Sleep(3 * time.Second)
	return s, nil
}

// start starts a process of the first node.
func (s *drained) start(name string) (*nodeProcess, error) {
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	n, err := startNode(s.b.root, name, s.b.path(name+".log"), []string{"LB_NAME=n0", "LB_LISTEN=" + s.listen,
		"LB_DISCOVERY=" + s.d.addr, "LB_CONFIG=" + s.b.path("config0.json"), "LB_ADMIN=" + admin, "TMPDIR=" + s.tmp},
		s.socket)
	if err == nil {
		s.b.add(n)
	}
	return n, err
}

// order tells the node to empty itself.
func (s *drained) order() error {
	if !post(s.old.admin, "/control/out-of-service") {
		return fmt.Errorf("out-of-service is not answered with yes")
	}
	s.b.rec.sayf("out-of-service is answered with yes")
	return nil
}

// finishUpgrade waits for the yes of the next process and ends the old one.
func (s *drained) finishUpgrade(next *nodeProcess) error {
	if !next.awaitYes(5 * time.Second) {
		return fmt.Errorf("the next process does not say yes in 6 s")
	}
	s.b.rec.sayf("the next process says yes; SIGTERM to the old one")
	s.old.signal(syscall.SIGTERM)
	if !s.old.awaitExit(3700 * time.Millisecond) {
		return fmt.Errorf("the old process had to be killed")
	}
	s.b.rec.sayf("the old process has ended")
	return nil
}

// judge checks the rule on a drained node: no PING is answered with PONG, and no client is held.
func (s *drained) judge() int {
	yes, connections := 0, 0
	for range 10 {
		answer := ping(s.listen)
		s.b.rec.logf("PING: %q", answer)
		if answer == "PONG" {
			yes++
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, c := range s.clients {
		if c.node() == s.listen {
			connections++
		}
	}
	s.b.rec.sayf("over 4 s after the order %d of 10 PINGs are answered with PONG, and %d of %d clients have a connection here",
		yes, connections, len(s.clients))
	if yes > 0 || connections > 0 {
		return broken
	}
	return held
}

func (s *drained) close() {
	close(s.stop)
	close(s.front.stop)
}

// drainDuringUpgrade: the node is told to empty itself while the next process of an upgrade has started and the platform
// has not yet heard its yes.
func drainDuringUpgrade(b *bench) (int, error) {
	s, err := startDrained(b, b.dir)
	if err != nil {
		return failed, err
	}
	defer s.close()
	var next *nodeProcess
	if b.trouble {
		if next, err = s.start("next"); err != nil {
			return failed, err
		}
		b.rec.sayf("an upgrade: the next process is started")
		time.Sleep(500 * time.Millisecond)
	}
	if err := s.order(); err != nil {
		return failed, err
	}
	orderedAt := time.Now()
	if b.trouble {
		time.Sleep(500 * time.Millisecond) // the platform asks once a second
		if err := s.finishUpgrade(next); err != nil {
			return failed, err
		}
	}
	time.Sleep(time.Until(orderedAt.Add(4*time.Second + socketSlack)))
	return s.judge(), nil
}

// upgradeWhileDrained: a node that has emptied itself is upgraded. Its $TMPDIR has a long path.
func upgradeWhileDrained(b *bench) (int, error) {
	tmp := b.path("instances/gldani-4/n0-9b1f03aa5c7e2d41/private/7f3a9c21-e0b4-d655-5c0f-6e1a2b3d4c59/tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return failed, err
	}
	b.rec.sayf("the path of TMPDIR has %d bytes", len(tmp))
	s, err := startDrained(b, tmp)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err := s.order(); err != nil {
		return failed, err
	}
	time.Sleep(4*time.Second + socketSlack)
	b.rec.sayf("before the upgrade, PING: %q", ping(s.listen))
	if b.trouble {
		next, err := s.start("next")
		if err != nil {
			return failed, err
		}
		b.rec.sayf("an upgrade: the next process is started")
		if err := s.finishUpgrade(next); err != nil {
			return failed, err
		}
	}
	time.Sleep(2 * time.Second)
	return s.judge(), nil
}
