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

// ear is a server that counts what it is sent: got has all of each connection once that has ended.
type ear struct {
	*host
	breaks atomic.Bool // a connection, after its first line
	got    chan string
}

func newEar(t *testing.T, id string) *ear {
	e := &ear{host: &host{id: id}, got: make(chan string, 100)}
	e.addr = listen(t, func(w *wire) {
		if e.breaks.Load() {
			line, _ := w.in.ReadString('\n')
			w.reset()
			e.got <- line
			return
		}
		all, _ := io.ReadAll(w)
		e.got <- string(all)
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
		"the client ends":                     func(c *wire) { c.CloseWrite() },
		"the client closes":                   func(c *wire) { c.Close() },
		"the client breaks":                   func(c *wire) { c.reset() },
		"the client writes ahead and ends":    func(c *wire) { c.say("a\r\nb\r\n"); c.CloseWrite() },
		"the client writes ahead and breaks":  func(c *wire) { c.say("a\r\nb\r\n"); c.reset() },
		"half a line ahead, and it ends":      func(c *wire) { c.say("a\r\nb"); c.CloseWrite() },
		"much ahead, and it ends":             func(c *wire) { c.say(strings.Repeat("much ahead\r\n", 1000)); c.CloseWrite() },
		"a line without end, and it is there": func(c *wire) { c.say(strings.Repeat("x", 5000)) },
		"too much, and it is there":           func(c *wire) { c.say(strings.Repeat("too much\r\n", 3000)) },
	}
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, one, two := newGate(), newEar(t, "s-1"), newEar(t, "s-2")
			n := start(t, func(c *Config) { noProbes(c); c.connect = g.connect }, one.host, two.host)
			client := n.open("k", "")
			first, other := one, two
			if g.held(t) == two.addr {
				first, other = two, one
			}
			leave(client)
			n.until("the client's leaving", func() bool { return n.counter("left") == 1 })
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
	for name, change := range map[string]func(n *running, h, other *host){
		"drains": func(n *running, h, other *host) {
			n.list.change(2, false, h.entryJSON("draining"), other.entryJSON("up"))
		},
		"removed": func(n *running, h, other *host) {
			n.list.change(2, false, h.entryJSON("removed"), other.entryJSON("up"))
		},
		"no more listed": func(n *running, h, other *host) { n.list.change(2, true, other.entryJSON("up")) },
		"another address": func(n *running, h, other *host) {
			h.addr = "127.0.0.1:1"
			n.list.change(2, false, h.entryJSON("up"), other.entryJSON("up"))
		},
		"another has its address": func(n *running, h, other *host) {
			n.list.change(2, false, h.entryJSON("removed"), (&host{id: "s-9", addr: h.addr}).entryJSON("draining"), other.entryJSON("up"))
		},
		"started anew": func(n *running, h, other *host) {
			n.list.change(2, false, strings.Replace(h.entryJSON("up"), `"started_ms":0`, `"started_ms":1700000000000`, 1), other.entryJSON("up"))
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
				change(n, h.host, other)
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

// What has begun to be sent goes on: the server may have run it.
func TestAnAttemptThatWasSentIsNotTakenBackByTheList(t *testing.T) {
	h, other := newHost(t, "s-1"), newHost(t, "s-2")
	n := start(t, noProbes, h)
	client := n.open("k", "")
	server, _ := h.next(t)
	n.list.change(2, false, h.entryJSON("draining"), other.entryJSON("up"))
	n.until("the news", func() bool { return n.address(other) != "" })
	server.say("UP r\r\n")
	client.hear("UP r\r\n")
	if len(other.conns) > 0 {
		t.Error("it was sent twice")
	}
}

// Repeats of a keyed request are dropped for a while only. The connection for one comes up when that is over.
func TestARepeatIsNotSentAfterItsWindow(t *testing.T) {
	g, one, two := newGate(), newEar(t, "s-1"), newEar(t, "s-2")
	n := start(t, func(c *Config) {
		noProbes(c)
		c.connect, c.Settings.Classes = g.connect, nil
		if err := json.Unmarshal([]byte(`{"classes":[{"name":"order","effect":"idempotency_key","key_scope":"all","window_us":400000}]}`), &c.Settings); err != nil {
			t.Fatal(err)
		}
	}, one.host, two.host)
	one.breaks.Store(true) // either may be the first; the second is to get no line
	two.breaks.Store(true)
	client, begun := n.dial(), time.Now()
	client.say("OPEN id k c=order,d=20000\r\n")
	first, second := one, two
	if g.held(t) == two.addr {
		first, second = two, one
	}
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
	ahead := map[string]string{"": "", ", having written ahead": "a\r\nb\r\n"}
	for also, text := range ahead {
		t.Run("in the queue"+also, func(t *testing.T) {
			h := newHost(t, "s-1")
			n := start(t, noProbes, h)
			hold := n.holdLoop()
			client := n.open("k", "")
			n.until("the request", func() bool { return n.front.Count.Requests.Load() == 1 && len(n.loop.events) == 1 })
			client.say(text)
			client.Close()
			n.until("its end, behind it", func() bool { return len(n.loop.events) == 2 })
			close(hold)
			n.until("its leaving", func() bool { return n.counter("left") == 1 })
			if n.counter("attempts") != 0 || n.held() != 0 || n.logs.FilterMessage("request").Len() > 0 {
				t.Error("it was tried, is held, or was decided on")
			}
		})
		t.Run("before the queue"+also, func(t *testing.T) {
			h := newHost(t, "s-1")
			n := start(t, noProbes, h)
			hold := n.holdLoop()
			n.until("the queue to be full", func() bool {
				for {
					select {
					case n.loop.events <- func() {}:
						continue
					default:
					}
					return len(n.loop.events) == queue
				}
			})
			client := n.open("k", "")
			n.until("the request", func() bool { return n.front.Count.Requests.Load() == 1 })
			client.say(text)
			client.Close()
			n.until("its end to be seen", func() bool {
				return strings.Contains(stacks(), "exchange.(*Exchange).clientEnds")
			})
			close(hold)
			n.until("its leaving", func() bool { return n.counter("left") == 1 })
			if n.counter("attempts") != 0 || n.held() != 0 || n.logs.FilterMessage("request").Len() > 0 {
				t.Error("it was tried, is held, or was decided on")
			}
		})
		t.Run("while its server is asked"+also, func(t *testing.T) {
			probes := make(chan *wire, 10)
			n := start(t, func(c *Config) { c.Times.Probe = 60_000 }, &host{id: "s-1", addr: listen(t, func(w *wire) { probes <- w })})
			client := n.open("k", "")
			probe := <-probes
			probe.hear("STATS\r\n")
			n.leave(client, text)
			probe.say("PONG x0=0.1\r\n")
			n.until("the answer", func() bool { return n.logs.FilterMessage("probed").Len() == 1 })
			if held := n.held(); held != 0 || n.counter("attempts") != 0 {
				t.Error("it is held, or was tried")
			}
		})
		t.Run("before its connection is tried again"+also, func(t *testing.T) {
			h := newHost(t, "s-1")
			n := start(t, nil, h)
			client := n.open("k", ",at=s-1")
			s, _ := h.next(t)
			s.say("BUSY\r\n")
			n.until("the pause", func() bool { return n.counter("attempts_full") == 1 })
			n.leave(client, text)
			n.list.change(2, false, h.entryJSON("removed"))
			again := make(chan int)
			time.AfterFunc(returnPause, func() { n.loop.tell(func() { again <- len(n.loop.returns) }) }) // begun after the pause
			if waiting := <-again; waiting > 0 {
				t.Error("it waits for a list that names its server")
			}
			if n.counter("attempts") != 1 || n.held() != 0 || n.counter("failed") != 0 {
				t.Error("it was tried again, or is held")
			}
		})
		t.Run("while no list names its server"+also, func(t *testing.T) {
			h := newHost(t, "s-1")
			n := start(t, nil)
			client := n.open("k", ",at=s-1")
			n.until("it to wait", func() bool { return n.counter("standing_before") == 1 })
			n.leave(client, text)
			n.list.change(2, false, h.entryJSON("up"))
			n.until("the news", func() bool { return n.address(h) != "" })
			if n.counter("attempts") != 0 || n.held() != 0 {
				t.Error("it was tried, or is held")
			}
		})
		t.Run("when its server has it"+also, func(t *testing.T) {
			h := newHost(t, "s-1")
			n := start(t, nil, h)
			client := n.open("k", "")
			server, _ := h.next(t)
			client.say(text)
			client.Close()
			server.end(io.EOF) // what is out is called off
			n.until("its leaving", func() bool { return n.counter("left") == 1 })
			if n.counter("attempts") != 1 || n.held() != 0 {
				t.Error("it was tried again, or is held")
			}
		})
	}
}

// leave has a client write and close, and waits until the loop has heard of it.
func (r *running) leave(client *wire, ahead string) {
	r.t.Helper()
	client.say(ahead)
	client.Close()
	r.until("its leaving", func() bool { return r.counter("left") == 1 })
}

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

// The place of a client that has been turned away for what it wrote is free at once, whatever else it writes.
func TestAClientThatWritesTooMuchAheadGivesItsPlaceUp(t *testing.T) {
	h := newHost(t, "s-1")
	n := start(t, func(c *Config) { noProbes(c); c.Settings.Ceilings.MaxOpen = 1 }, h)
	flood := n.open("k", "")
	server, _ := h.next(t)
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(flood.TCPConn, strings.Repeat("again and again\r\n", 100))
		}
	}()
	server.end(io.EOF)
	n.until("its place", func() bool { return n.front.Open() == 0 })
	n.stand(h)
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
	n.until("the first watch", func() bool { return n.counter("list_calls") == 1 })
	n.list.change(2, false) // it has told a list
	n.until("it", func() bool { return n.counter("list_changes") == 1 })
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

// A watch takes the place of a silent one, lives, and falls silent in its turn; the next call is not answered.
func TestOnlyTheWatchBeforeTheLastIsHeardOn(t *testing.T) {
	list := newLister(t, 0)
	list.answers = 2
	cfg := config(t, list)
	cfg.Times.Watch, cfg.Settings.Membership = 60_000, "pushed"
	n := run(t, cfg, list)
	watches := func() (heard, before *watch) {
		all := make(chan *watch, 2)
		n.loop.tell(func() { all <- n.loop.heard; all <- n.loop.heardBefore })
		return <-all, <-all
	}
	silent := func() { n.loop.tell(func() { n.loop.unheard(n.loop.heard, errSilent) }) }
	n.until("the first watch", func() bool { return n.counter("list_calls") == 1 })
	first, _ := watches()
	silent()
	n.until("its successor, which is alive after a second", func() bool {
		heard, before := watches()
		return heard != first && before == nil
	})
	second, _ := watches()
	silent()
	n.until("another", func() bool { heard, _ := watches(); return heard != second })
	if _, before := watches(); before != second {
		t.Error("the last one that spoke is not heard on")
	}
}

// A watch that has told something breaks, or falls silent: all that is to be told counts as told soon, so it is asked for anew at
// once however many nodes there are. A call that fails is spread.
func TestABrokenWatchIsOpenedAtOnceAndAFailedCallIsNot(t *testing.T) {
	for name, broken := range map[string]func(n *running){
		"reset":  func(n *running) { n.list.cut() },
		"silent": func(n *running) { n.loop.tell(func() { n.loop.unheard(n.loop.heard, errSilent) }) },
	} {
		t.Run(name, func(t *testing.T) {
			n := start(t, func(c *Config) { c.Settings.Balancers, c.Settings.Index = 10_000, 0 })
			n.loop.tell(n.loop.subscribe) // else that, too, takes its time
			n.until("the first watch", func() bool { return n.counter("list_calls") == 1 })
			n.list.change(2, false)
			n.until("it to live", func() bool { return n.counter("list_changes") == 1 })
			n.list.mu.Lock()
			n.list.fails = 1000
			n.list.mu.Unlock()
			n.loop.tell(func() { n.loop.heard.opened = time.Now().Add(-time.Hour) })
			begun := time.Now()
			broken(n)
			n.until("another", func() bool { return n.counter("list_calls") == 2 })
			if took := time.Since(begun); took > patience/2 {
				t.Errorf("asked after %v", took)
			}
			n.pause("the call after one that failed", time.Minute)
		})
	}
}

// A discovery that ends each watch once it has said something is not asked five times a second by every node.
func TestAWatchThatEndsSoonIsNotOpenedAtOnce(t *testing.T) {
	n := start(t, func(c *Config) { c.Settings.Balancers, c.Settings.Index = 10_000, 0 })
	n.loop.tell(n.loop.subscribe)
	n.until("the first watch", func() bool { return n.counter("list_calls") == 1 })
	n.list.change(2, false)
	n.until("it to live", func() bool { return n.counter("list_changes") == 1 })
	n.list.cut()
	n.pause("another call", time.Minute)
}

// pause waits until the loop has heard that its last watch is over, and its next timer is further away than that.
func (r *running) pause(before string, least time.Duration) {
	r.t.Helper()
	r.until("a pause before "+before, func() bool {
		next := make(chan time.Duration)
		r.loop.tell(func() {
			if len(r.loop.timers) == 0 || !r.loop.heard.failed {
				next <- 0
				return
			}
			next <- r.loop.timers[0].at - r.loop.now()
		})
		return <-next > least
	})
}

// The newer of two watches was asked before the older one told of a drain, and its answer comes after that.
func TestAnOlderWatchsWordIsNotUndone(t *testing.T) {
	h := newHost(t, "s-1")
	n := start(t, nil, h)
	n.until("the first watch", func() bool { return n.counter("list_calls") == 1 })
	word := func(version int64, state string) *discovery.List {
		return &discovery.List{Version: version, Servers: []discovery.Server{h.entry(state)}}
	}
	n.loop.tell(func() {
		first, second := n.loop.heard, &watch{addr: n.loop.asked, since: 1, end: func() {}}
		n.loop.heard, n.loop.heardBefore = second, first
		n.loop.told(first, word(43, "draining"))
		n.loop.told(second, word(42, "up"))
	})
	if !n.drains(h) {
		t.Error("it may get clients again")
	}
	n.loop.tell(func() { n.loop.told(n.loop.heard, word(44, "up")) })
	if n.drains(h) {
		t.Error("what is newer is not taken")
	}
}
