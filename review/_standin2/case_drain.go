package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["upgrade"] = upgradeAfterMove
	cases["outage"] = drainAfterOutage // played for the report, not kept as a case
}

// stream opens requests with keys of their own at an address until it is stopped. They end as soon as they are up.
type stream struct {
	stop    chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	answers []*answer
}

func startStream(b *bench, addr, class string, timeout, interval time.Duration) *stream {
	s := &stream{stop: make(chan struct{})}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		for i := 0; ; i++ {
			select {
			case <-s.stop:
				return
			case <-time.After(interval):
			}
			s.done.Add(1)
			go func() {
				defer s.done.Done()
				a := open(b.rec, addr, fmt.Sprintf("key-%d", i), class, timeout, 550*time.Millisecond)
				if a.conn != nil {
					a.conn.Close()
				}
				s.mu.Lock()
				s.answers = append(s.answers, a)
				s.mu.Unlock()
			}()
		}
	}()
	return s
}

func (s *stream) end() {
	close(s.stop)
	s.done.Wait()
}

// judgeDrain checks the rule on drains for one server: nothing new later than the grace after the change was told.
func judgeDrain(b *bench, h *host, told time.Time, grace time.Duration) int {
	limit := told.Add(grace + socketSlack)
	late := h.arrivalsAfter(limit)
	b.rec.sayf("server %s: the drain counted as told at %.3f s, grace and slack ended at %.3f s", h.id,
		told.Sub(b.rec.start).Seconds(), limit.Sub(b.rec.start).Seconds())
	for i, a := range late {
		if i < 5 {
			b.rec.sayf("server %s got request %s at %.3f s, %.3f s too late", h.id, a.request,
				a.at.Sub(b.rec.start).Seconds(), a.at.Sub(limit).Seconds())
		}
	}
	b.rec.sayf("server %s got %d requests after that time", h.id, len(late))
	if len(late) > 0 {
		return broken
	}
	return held
}

const toldAfter = 6 * time.Second // what discovery has to tell counts as told so long after it had it

// upgradeAfterMove: a new configuration with SIGHUP moves discovery; later the node is upgraded with all else the same.
func upgradeAfterMove(b *bench) (int, error) {
	hosts, entries, err := b.hosts(4, false)
	if err != nil {
		return failed, err
	}
	first, err := newDiscovery(b.rec, "first", 40)
	if err != nil {
		return failed, err
	}
	first.set(entries...)
	second, err := newDiscovery(b.rec, "second", 40)
	if err != nil {
		return failed, err
	}
	second.set(entries...)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	listen := socket.Addr().String()
	config := func(d *discovery) error {
		return writeJSON(b.path("config.json"), nodeConfig("n0", listen, d.addr, first.since(0), askedSite(1, 0)))
	}
	if err := config(first); err != nil {
		return failed, err
	}
	start := func(name string) (*nodeProcess, error) {
		admin, err := freeAddr()
		if err != nil {
			return nil, err
		}
		n, err := startNode(b.root, name, b.path(name+".log"), []string{"LB_NAME=n0", "LB_LISTEN=" + listen,
			"LB_DISCOVERY=" + first.addr, "LB_CONFIG=" + b.path("config.json"), "LB_ADMIN=" + admin,
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
	if !old.awaitYes(10*time.Second) || !awaitPong(listen, 5*time.Second) {
		return failed, fmt.Errorf("the first process does not serve")
	}
	load := startStream(b, listen, "balance-watch", 2*time.Second, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	inForce := first
	if b.trouble {
		if err := config(second); err != nil {
			return failed, err
		}
		b.rec.sayf("SIGHUP: discovery is now %s", second.addr)
		old.signal(syscall.SIGHUP)
		inForce = second
		time.Sleep(5 * time.Second)
		first.stop()
		b.rec.sayf("the first discovery has ended")
		time.Sleep(2 * time.Second)
	}
	next, err := start("next")
	if err != nil {
		return failed, err
	}
	if !next.awaitYes(6 * time.Second) {
		return failed, fmt.Errorf("the next process does not say yes in 6 s")
	}
	b.rec.sayf("the next process says yes; SIGTERM to the old one")
	old.signal(syscall.SIGTERM)
	if !old.awaitExit(3700 * time.Millisecond) {
		return failed, fmt.Errorf("the old process had to be killed")
	}
	b.rec.sayf("the old process has ended")
	time.Sleep(3 * time.Second)
	hosts[0].drain(true)
	inForce.set(hosts[0].entry("draining"))
	told := time.Now().Add(toldAfter)
	b.rec.sayf("server %s drains", hosts[0].id)
	time.Sleep(toldAfter + 6*time.Second)
	load.end()
	return judgeDrain(b, hosts[0], told, 250*time.Millisecond), nil
}

// drainAfterOutage: discovery is down for longer, comes back crowded, and a server begins to drain after its return.
func drainAfterOutage(b *bench) (int, error) {
	hosts, d, listen, err := oneAskedNode(b)
	if err != nil {
		return failed, err
	}
	load := startStream(b, listen, "balance-watch", 2*time.Second, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	const timeout = 2 * time.Second // discovery.timeout_ms of the site file
	if b.trouble {
		d.setMode(failing, timeout)
		b.rec.sayf("discovery is down: watches end, calls end with 503 after %v", timeout)
	}
	time.Sleep(25 * time.Second)
	b.rec.sayf("discovery is back")
	time.Sleep(time.Second)
	hosts[0].drain(true)
	d.set(hosts[0].entry("draining"))
	told := time.Now().Add(toldAfter)
	b.rec.sayf("server %s drains", hosts[0].id)
	time.Sleep(toldAfter + 3*time.Second)
	if b.trouble {
		d.setMode(answering, 0)
		b.rec.sayf("discovery answers calls in time again")
	}
	time.Sleep(3 * time.Second)
	load.end()
	return judgeDrain(b, hosts[0], told, 250*time.Millisecond), nil
}
