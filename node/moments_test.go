package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/settings"
)

// gate holds back connections to servers that have come up: what happens then happens between two lines of an attempt, every time.
type gate struct {
	up   chan string   // the address of one that has come up and is held
	pass chan struct{} // lets one go on
}

func newGate() *gate { return &gate{make(chan string, 100), make(chan struct{}, 100)} }

func (g *gate) connect(ctx context.Context, addr string) (net.Conn, error) {
	c, err := net.Dial("tcp", addr) // also one that is called off may have come up
	if err != nil {
		return nil, err
	}
	g.up <- addr
	<-g.pass
	return c, nil
}

// held waits for one that has come up.
func (g *gate) held(t *testing.T) (addr string) {
	t.Helper()
	select {
	case addr = <-g.up:
	case <-time.After(patience):
		t.Fatal("no connection has come up")
	}
	return addr
}

// gated starts a node whose connections to servers are held, with two servers, and sends it a first line: first is the one that it
// goes to.
func gated(t *testing.T, change func(*Config), line string) (n *running, g *gate, client *wire, first, other *ear) {
	t.Helper()
	g, first, other = newGate(), newEar(t, "s-1"), newEar(t, "s-2")
	n = start(t, func(c *Config) { noProbes(c); c.connect = g.connect; change(c) }, first.host, other.host)
	client = n.dial()
	client.say(line)
	if g.held(t) == other.addr {
		first, other = other, first
	}
	return n, g, client, first, other
}

// ear is a server that counts what it is sent: got has all of each connection once that has ended.
type ear struct {
	*host
	breaks atomic.Bool // a connection, after its first line
	got    chan string
}

func newEar(t *testing.T, id string) *ear {
	e := &ear{host: &host{id: id}, got: make(chan string, 100)}
	e.addr = listen(t, func(w *wire) {
		line, _ := w.in.ReadString('\n')
		if e.breaks.Load() { // it may be told so until it has the line
			w.reset()
		}
		rest, _ := io.ReadAll(w.in)
		e.got <- line + string(rest)
	})
	return e
}

// nothing checks that a connection came, and nothing over it.
func (e *ear) nothing(t *testing.T) {
	t.Helper()
	select {
	case all := <-e.got:
		if all != "" {
			t.Errorf("%s got %q", e.id, all)
		}
	case <-time.After(patience):
		t.Errorf("no connection to %s has ended", e.id)
	}
}

func noProbes(c *Config) {
	c.Settings.Ceilings.MayProbe, c.Settings.Ceilings.DialTimeout = false, 60_000_000
}

// The connection for an attempt has come up and nothing is written yet.
func TestWhatIsTakenBackBeforeItsFirstByteIsNotSent(t *testing.T) {
	leaves := map[string]func(client *wire){
		"the client ends":                    func(c *wire) { c.CloseWrite() },
		"the client closes":                  func(c *wire) { c.Close() },
		"the client breaks":                  func(c *wire) { c.reset() },
		"the client writes ahead and ends":   func(c *wire) { c.say("a\r\nb\r\n"); c.CloseWrite() },
		"the client writes ahead and breaks": func(c *wire) { c.say("a\r\nb\r\n"); c.reset() },
		"half a line ahead, and it ends":     func(c *wire) { c.say("a\r\nb"); c.CloseWrite() },
		"much ahead, and it ends":            func(c *wire) { c.say(strings.Repeat("much ahead\r\n", 1000)); c.CloseWrite() },
		"the client floods, and stays": func(c *wire) {
			go func() {
				for err := error(nil); err == nil; {
					_, err = io.WriteString(c.TCPConn, strings.Repeat("again and again\r\n", 100))
				}
			}()
		},
		"a line without end, and it is there": func(c *wire) { c.say(strings.Repeat("x", 5000)) },
		"too much, and it is there":           func(c *wire) { c.say(strings.Repeat("too much\r\n", 3000)) },
	}
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, g, client, first, other := gated(t, func(c *Config) { c.Settings.Ceilings.MaxOpen = 1 }, "OPEN id k c=chat,d=2000\r\n")
			leave(client)
			n.until("the client's leaving", func() bool { return n.counter("left") == 1 })
			if n.front.Open() != 1 {
				t.Error("its place is another's while its connection to the server is there")
			}
			g.pass <- struct{}{}
			first.nothing(t)
			n.until("the end of the attempt", func() bool { return n.counter("attempts_unsent") == 1 })
			if n.held() != 0 || len(other.got) > 0 {
				t.Error("it is held, or was tried again")
			}
			if strings.HasSuffix(name, "it is there") {
				if line := client.line(); !strings.HasPrefix(line, "ERR ") {
					t.Errorf("got %q", line)
				}
				client.end(io.EOF)
			}
			n.until("its place, whatever it writes", func() bool { return n.front.Open() == 0 })
			n.open("k", "") // the server did nothing wrong: it is still this client's own
			if to := g.held(t); to != first.addr {
				t.Error("its server was set aside")
			}
			g.pass <- struct{}{}
		})
	}
}

// The same, and the list brings news of the server.
func TestNothingIsSentToAServerThatHasGoneWhileTheConnectionCameUp(t *testing.T) {
	for name, word := range map[string]func(h *host) (full bool, entry string){
		"drains":          func(h *host) (bool, string) { return false, h.entryJSON("draining") + "," },
		"removed":         func(h *host) (bool, string) { return false, h.entryJSON("removed") + "," },
		"no more listed":  func(h *host) (bool, string) { return true, "" },
		"another address": func(h *host) (bool, string) { h.addr = "127.0.0.1:1"; return false, h.entryJSON("up") + "," },
		"another has its address": func(h *host) (bool, string) {
			return false, h.entryJSON("removed") + "," + (&host{id: "s-9", addr: h.addr}).entryJSON("draining") + ","
		},
		"started anew": func(h *host) (bool, string) {
			return false, strings.Replace(h.entryJSON("up"), `"started_ms":0`, `"started_ms":1700000000000`, 1) + ","
		},
	} {
		for _, class := range []string{"chat", "pay"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				g, h, other := newGate(), newEar(t, "s-1"), newHost(t, "s-2")
				n := start(t, func(c *Config) {
					noProbes(c)
					c.connect, c.Settings.Ceilings.SendCap = g.connect, 1 // what was never sent is no attempt
				}, h.host)
				client := n.dial()
				client.say("OPEN id k c=" + class + ",d=20000\r\n")
				g.held(t)
				full, entry := word(h.host)
				n.list.change(2, full, entry+other.entryJSON("up"))
				n.until("the news", func() bool { return n.counter("list_changes") == 1 && n.address(other) != "" })
				g.pass <- struct{}{}
				g.pass <- struct{}{}
				h.nothing(t)
				server, first := other.next(t)
				if !strings.HasPrefix(first, "OPEN id k c="+class) {
					t.Errorf("got %q", first)
				}
				server.say("UP r\r\n")
				client.hear("UP r\r\n")
				if n.counter("attempts_unsent") != 1 {
					t.Error("it is counted otherwise")
				}
			})
		}
	}
}

// A connection that stood before is nothing new to a server that drains, but one that is gone gets no more.
func TestAConnectionThatStoodBeforeGoesToWhoeverHasItsServersName(t *testing.T) {
	g, h, again := newGate(), newEar(t, "s-1"), newHost(t, "s-1")
	n := start(t, func(c *Config) { noProbes(c); c.connect = g.connect }, h.host)
	client := n.dial()
	client.say("OPEN id k c=chat,d=20000,at=s-1\r\n")
	g.held(t)
	n.list.change(2, false, h.entryJSON("removed"))
	n.until("the news", func() bool { return n.address(h.host) == "" })
	g.pass <- struct{}{}
	h.nothing(t)
	n.list.change(3, false, again.entryJSON("up"))
	if addr := g.held(t); addr != again.addr {
		t.Errorf("it goes to %s", addr)
	}
	n.list.change(4, false, again.entryJSON("draining"))
	n.until("the drain", func() bool { return n.drains(again) })
	g.pass <- struct{}{}
	server, _ := again.next(t)
	server.say("UP r\r\n")
	client.hear("UP r\r\n")
}

// Repeats of a keyed request are dropped for a while only. The connection for one comes up when that is over.
func TestARepeatIsNotSentAfterItsWindow(t *testing.T) {
	begun := time.Now()
	_, g, client, first, second := gated(t, func(c *Config) {
		c.Settings.Classes = nil
		if err := json.Unmarshal([]byte(`{"classes":[{"name":"order","effect":"idempotency_key","key_scope":"all","window_us":400000}]}`), &c.Settings); err != nil {
			t.Fatal(err)
		}
	}, "OPEN id k c=order,d=20000\r\n")
	first.breaks.Store(true) // once it has the line
	g.pass <- struct{}{}
	if line := <-first.got; !strings.HasPrefix(line, "OPEN id k") {
		t.Errorf("got %q", line)
	}
	g.held(t)
	time.Sleep(time.Until(begun.Add(450 * time.Millisecond)))
	g.pass <- struct{}{}
	second.nothing(t)
	if line := client.line(); !strings.HasPrefix(line, "BUSY") { // all servers drop its repeats
		t.Errorf("got %q", line)
	}
}

// Wherever a request waits, nothing is sent for a client that has left.
func TestAClientThatLeavesWhileItWaitsIsNotSentOn(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int64
		decided  int // requests that the decisions heard of
		wait     func(w *waiter) (then func())
	}{
		"in the queue": {0, 0, func(w *waiter) func() {
			hold := w.n.holdLoop()
			w.open("")
			w.n.until("the request", func() bool { return len(w.n.loop.events) == 1 })
			w.goes = func() bool { return len(w.n.loop.events) == 2 } // its end, behind it
			return func() { close(hold) }
		}},
		"before the queue": {0, 0, func(w *waiter) func() {
			hold := w.n.holdLoop()
			for len(w.n.loop.events) < queue {
				w.n.loop.tell(func() {})
			}
			w.open("")
			w.n.until("the request", func() bool { return w.n.front.Count.Requests.Load() == 1 })
			w.goes = func() bool { return strings.Contains(stacks(), "exchange.(*Exchange).clientEnds") }
			return func() { close(hold) }
		}},
		"while its server is asked": {0, 1, func(w *waiter) func() {
			w.open("")
			probe := <-w.probes
			probe.hear("STATS\r\n")
			return func() {
				probe.say("PONG x0=0.1\r\n")
				w.n.until("the answer", func() bool { return w.n.logs.FilterMessage("probed").Len() == 1 })
			}
		}},
		"before its connection is tried again": {1, 0, func(w *waiter) func() {
			w.open(",at=s-1")
			s, _ := w.h.next(w.t)
			s.say("BUSY\r\n")
			w.n.until("the pause", func() bool { return w.n.counter("attempts_full") == 1 })
			return func() {
				w.n.list.change(2, false, w.h.entryJSON("removed"))
				again := make(chan int)
				time.AfterFunc(returnPause, func() { w.n.loop.tell(func() { again <- len(w.n.loop.returns) }) }) // begun after the pause
				if waiting := <-again; waiting > 0 {
					w.t.Error("it waits for a list that names its server")
				}
			}
		}},
		"while no list names its server": {0, 0, func(w *waiter) func() {
			w.open(",at=s-2")
			w.n.until("it to wait", func() bool { return w.n.counter("standing_before") == 1 })
			return func() {
				w.n.list.change(2, false, (&host{id: "s-2", addr: w.h.addr}).entryJSON("up"))
				w.n.until("the news", func() bool { return w.n.counter("list_changes") == 1 && w.n.address(&host{id: "s-2"}) != "" })
			}
		}},
		"when its server has it": {1, 1, func(w *waiter) func() {
			w.open("")
			server, _ := w.h.next(w.t)
			return func() { server.end(io.EOF) } // what is out is called off
		}},
	} {
		for also, text := range map[string]string{"": "", ", having written ahead": "a\r\nb\r\n"} {
			t.Run(name+also, func(t *testing.T) {
				w := &waiter{t: t, probes: make(chan *wire, 10)}
				w.h = newHost(t, "s-1")
				if name == "while its server is asked" {
					w.h.addr = listen(t, func(probe *wire) { w.probes <- probe })
				}
				w.n = start(t, func(c *Config) {
					c.Times.Probe, c.Settings.Ceilings.MayProbe = 60_000, name == "while its server is asked"
				}, w.h)
				then := c.wait(w)
				w.client.say(text)
				w.client.Close()
				if w.goes == nil {
					w.goes = func() bool { return w.n.counter("left") == 1 }
				}
				w.n.until("its leaving to be seen", w.goes)
				then()
				w.n.until("its leaving", func() bool { return w.n.counter("left") == 1 })
				if w.n.counter("attempts") != c.attempts || w.n.held() != 0 || w.n.counter("failed") != 0 {
					t.Error("it was tried, is held, or counts as failed")
				}
				if decided := w.n.logs.FilterMessage("request").Len(); decided != c.decided {
					t.Errorf("decided on %d times", decided)
				}
			})
		}
	}
}

// waiter is a request that waits somewhere, with what is around it.
type waiter struct {
	t      *testing.T
	n      *running
	h      *host
	probes chan *wire
	client *wire
	goes   func() bool // its leaving has been seen
}

func (w *waiter) open(more string) { w.client = w.n.open("k", more) }

// holdLoop keeps the loop from what comes next, until the channel is closed.
func (r *running) holdLoop() (hold chan struct{}) {
	hold = make(chan struct{})
	held := make(chan struct{})
	r.loop.tell(func() {
		close(held)
		<-hold
	})
	<-held
	return hold
}

// stacks is what all goroutines are at, whole.
func stacks() string {
	for size := 1 << 20; ; size *= 2 {
		all := make([]byte, size)
		if n := runtime.Stack(all, true); n < size {
			return string(all[:n])
		}
	}
}

// A client that writes ahead and stays gets what it asked for, in order.
func TestWhatAClientWritesAheadWaitsForItsServer(t *testing.T) {
	h := newHost(t, "s-1")
	n := start(t, nil, h)
	client := n.open("k", "")
	server, _ := h.next(t)
	for i := range 3 {
		client.say(fmt.Sprintf("ahead %d\r\n", i))
	}
	client.say("ahead 3")
	server.say("UP r\r\n")
	client.hear("UP r\r\n")
	client.say(" in two\r\nlater\r\n")
	for i := range 3 {
		server.hear(fmt.Sprintf("ahead %d\r\n", i))
	}
	server.hear("ahead 3 in two\r\n")
	server.hear("later\r\n")
	server.say("one\r\n")
	client.hear("one\r\n")
}

// What the machine has accepted when a stop begins is taken, though the program has not seen it.
func TestWhoComesAsTheStopBeginsIsAnswered(t *testing.T) {
	h := newHost(t, "s-1")
	list := newLister(t, 0)
	cfg := config(t, list, h)
	noProbes(&cfg)
	cfg.Times = Times{Accept: 1, Stop: 1000, Linger: 300}
	node, err := New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	n := &running{Node: node, t: t, list: list, opened: map[string]int{}}
	var clients []*wire
	for range 40 {
		clients = append(clients, n.open("k", ""))
	}
	ctx, stop := context.WithCancel(context.Background())
	stop() // told before it runs
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	for range clients {
		server, _ := h.next(t)
		server.say("UP r\r\n")
	}
	for _, client := range clients {
		client.hear("UP r\r\n")
		client.hear("MOVE\r\n")
		client.end(io.EOF)
		client.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A request whose server hangs when the time to stop runs out has its answer before the process ends, and no second one.
func TestTheEndOfTheProcessIsAnAnswer(t *testing.T) {
	h := newHost(t, "s-1")
	n := start(t, noProbes, h)
	var clients []*wire
	for _, first := range []string{"OPEN a k c=pay,d=60000\r\n", "OPEN b k c=chat,d=60000\r\n", "OPEN c k c=chat,d=60000,at=s-1\r\n",
		"OPEN d k c=chat,d=60000,at=s-7\r\n"} {
		c := n.dial()
		c.say(first)
		clients = append(clients, c)
	}
	for range 3 {
		h.next(t) // and is never answered
	}
	n.until("the last one to wait", func() bool { return n.counter("standing_before") == 2 })
	n.stop()
	for _, c := range clients {
		if line := c.line(); !strings.HasPrefix(line, "ERR") {
			t.Errorf("got %q", line)
		}
		c.end(io.EOF)
	}
	n.wait()
	if n.counter("failed") != 4 {
		t.Errorf("%d failed", n.counter("failed"))
	}
}

// A request's time is over when it is decided on: it is answered, and no server is blamed for that.
func TestARequestWhoseTimeIsOverIsNotTried(t *testing.T) {
	h := newHost(t, "s-1")
	n := start(t, noProbes, h)
	hold := n.holdLoop()
	client := n.dial()
	client.say("OPEN id k c=pay,d=20\r\n")
	n.until("the request", func() bool { return len(n.loop.events) == 1 })
	time.Sleep(25 * time.Millisecond)
	close(hold)
	if line := client.line(); !strings.HasPrefix(line, "BUSY") { // it has not run
		t.Errorf("got %q", line)
	}
	if n.counter("attempts") != 0 || len(h.first) > 0 {
		t.Error("it was tried")
	}
	n.stand(h)
}

// The old discovery's word of a drain was written before the reload, and is read after it.
func TestADrainThatWasToldBeforeAReloadHolds(t *testing.T) {
	h, next := newHost(t, "s-1"), newHost(t, "s-2")
	n := start(t, noProbes, h, next)
	n.watches()
	quiet := newLister(t, 0)
	for range 2 { // the second one's first words, of a third, come as late
		hold := n.holdLoop()
		if err := n.Reload(n.again(quiet)); err != nil {
			t.Fatal(err)
		}
		close(hold)
		quiet = newLister(t, 0)
	}
	n.list.change(9, false, h.entryJSON("draining"), next.entryJSON("up"))
	n.until("the drain", func() bool { return n.drains(h) })
	for range 5 {
		n.open("k", "")
		next.next(t)
	}
	if len(h.conns) > 0 {
		t.Error("something new went to the one that drains")
	}
}

// drains asks the loop whether a server drains.
func (r *running) drains(h *host) bool {
	drains := make(chan bool)
	r.loop.tell(func() { drains <- r.loop.draining[balance.ServerID(settings.NamedServer(h.id))] })
	return <-drains
}

// A watch falls silent, the call that is to replace it is not answered, and then the first one speaks.
func TestASilentWatchIsHeardUntilAnotherSpeaks(t *testing.T) {
	h, next := newHost(t, "s-1"), newHost(t, "s-2")
	list := newLister(t, 0)
	list.answers = 1
	cfg := config(t, list, h, next)
	noProbes(&cfg)
	cfg.Times.Watch, cfg.Settings.Membership = 50, "pushed" // what its agent is to say counts as told
	n := run(t, cfg, list)
	n.until("further calls", func() bool { return n.counter("list_calls") >= 3 })
	list.change(2, false, h.entryJSON("draining"))
	n.until("the drain", func() bool { return n.drains(h) })
}

// A watch that has told something breaks, or falls silent: all that is to be told counts as told soon, so it is asked for anew at
// once however many nodes there are. A call that fails is spread.
func TestABrokenWatchIsOpenedAtOnceAndAFailedCallIsNot(t *testing.T) {
	cut := func(n *running) { n.list.cut() }
	silent := func(n *running) { n.loop.tell(func() { n.loop.unheard(n.loop.heard, errSilent) }) }
	for name, c := range map[string]struct {
		broken func(n *running)
		stood  time.Duration
		again  bool // at once
	}{
		"reset":                  {cut, time.Hour, true},
		"silent":                 {silent, time.Hour, true},
		"reset soon, every time": {cut, 0, false}, // else such a discovery would be asked five times a second by every node
	} {
		t.Run(name, func(t *testing.T) {
			n := start(t, func(c *Config) { c.Settings.Balancers, c.Settings.Index = 10_000, 0 })
			n.loop.tell(n.loop.subscribe) // else that, too, takes its time
			n.watches()
			n.list.mu.Lock()
			n.list.fails = 1000
			n.list.mu.Unlock()
			begun := time.Now()
			n.loop.tell(func() { n.loop.heard.opened = begun.Add(-c.stood) })
			c.broken(n)
			if c.again {
				n.until("another", func() bool { return n.counter("list_calls") == 2 })
				if took := time.Since(begun); took > patience/2 {
					t.Errorf("asked after %v", took)
				}
			}
			n.until("a pause before the next call", func() bool { // once the loop has heard that the last one is over
				next := make(chan time.Duration)
				n.loop.tell(func() {
					if len(n.loop.timers) == 0 || !n.loop.heard.failed {
						next <- 0
						return
					}
					next <- n.loop.timers[0].at - n.loop.now()
				})
				return <-next > time.Minute
			})
			if calls := n.counter("list_calls"); (calls == 2) != c.again {
				t.Errorf("%d calls before it", calls)
			}
		})
	}
}

// watches waits until the first watch has told a list.
func (r *running) watches() {
	r.t.Helper()
	r.until("the first watch", func() bool { return r.counter("list_calls") == 1 })
	r.list.change(2, false)
	r.until("its first list", func() bool { return r.counter("list_changes") == 1 })
}

// The newer of two watches was asked before the older one told of a drain, and its answer comes after that. Then it lives on, a third
// takes its place, and only the first has nothing more to say.
func TestTwoWatchesAreHeardInTheirOrder(t *testing.T) {
	h := newHost(t, "s-1")
	n := start(t, nil, h)
	n.until("the first watch", func() bool { return n.counter("list_calls") == 1 })
	ended := map[*watch]bool{}
	second := &watch{addr: n.loop.asked, since: 1}
	second.end = func() { ended[second] = true }
	word := func(w *watch, version int64, state string) {
		n.loop.told(w, &discovery.List{Version: version, Servers: []discovery.Server{h.entry(state)}})
	}
	seen := make(chan bool, 3)
	n.loop.tell(func() {
		first := n.loop.heard
		n.loop.heard, n.loop.heardBefore = second, first
		word(first, 43, "draining")
		n.loop.live(second) // also without a list
		seen <- n.loop.heardBefore == nil
		word(second, 42, "up")
		n.loop.watch()
		seen <- n.loop.heardBefore == second && !ended[second]
		n.loop.watch() // the third has told nothing
		seen <- n.loop.heardBefore == second && !ended[second]
	})
	for range 3 {
		if !<-seen {
			t.Error("another watch is heard than the last that spoke")
		}
	}
	if !n.drains(h) {
		t.Error("it may get clients again")
	}
	n.loop.tell(func() { word(second, 44, "up") })
	if n.drains(h) {
		t.Error("what is newer is not taken")
	}
}
