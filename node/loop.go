package node

import (
	"container/heap"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/backend"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
	"brassmux/internal/settings"
)

// listDials is how many times longer a connection to the discovery may take to come up, as it may be further away.
const listDials = 5

// queue bounds the events that wait for the loop. Who has one more waits, but never the loop.
const queue = 1024

// loop owns the decisions: one goroutine tells them what happens and does what they say.
type loop struct {
	log       *zap.Logger
	trace     bool // each event and action is logged
	tellLists bool // each list in force is
	decide    *balance.Balancer
	back      *backend.Client
	list      *discovery.Client
	events    chan func()     // run by the loop's goroutine
	ctx       context.Context // ends with the loop
	clock
	ahead        time.Duration // by which the clock may be ahead of those by which servers' starts are listed, as the decisions know
	sure         bool          // one of those was seen
	unchanged    time.Time     // until then the list was as it is held; the zero time where that is not known
	leases       *leases       // what may be sent to cold servers, where nodes share it out; nil where each has its fixed part
	pushed       bool
	onlyDraining bool          // a server that no list names may still take clients
	drain        time.Duration // a server that drains has it to send its clients away itself
	aim          time.Duration // messages over a third of it are told
	watching     bool
	calls        int    // for the list, or turns to make one
	emptying     bool   // what is handled empties a server or this node
	leaves       bool   // the process was told to stop
	ending       bool   // nothing is sent on any more
	heard        *watch // the last one that was opened
	heardBefore  *watch // the one before it, until the last one has told anything
	asked        string // the address of the discovery
	version      int64
	known        balance.Members
	servers      map[balance.ServerID]discovery.Server // as the list has them
	draining     map[balance.ServerID]bool
	open         map[balance.RequestID]*exchange.Exchange
	next         balance.RequestID
	returns      []*exchange.Exchange // stood before, at a server that no list has named yet
	speeds       map[balance.ServerID]*speed
	timers       timers
	shadow       *shadow // decides by other settings, to be counted; nil where none are watched
	figures      bool    // someone may ask for figures
	classes      map[string]*exchange.Tally
	hosts        struct{ known, excluded atomic.Int64 } // as lately counted
	count        struct {
		opened, served, refused, failed, left, moved, messages, late, dropped atomic.Int64
	}
}

func newLoop(ctx context.Context, cfg *Config, log *zap.Logger) *loop {
	seed, _ := cfg.seed()
	set := cfg.Settings.Settings()
	set.ClockUnsure = true
	set.Talks = false     // no way to other nodes is built
	set.TellsLate = false // no server sends such notes on sockets, and an echo may come at once whatever the load
	dial := settings.Microseconds(cfg.Settings.Ceilings.DialTimeout) * listDials
	clock := newClock(&cfg.Lab)
	var leases *leases
	if cfg.Budgets.Lease {
		leases = newLeases(cfg, &set, uint64(clock.origin)^seed)
		set.Parts = leases
	}
	l := &loop{ctx: ctx, leases: leases, clock: clock, log: log,
		trace: log.Core().Enabled(zap.DebugLevel), decide: balance.New(set, seed), events: make(chan func(), queue),
		pushed: set.Pushed, onlyDraining: set.OnlyDraining, drain: ms(cfg.Times.Drain), aim: shortestAim(set),
		version: cfg.Known.Version, known: cfg.Known.Members(balance.ListCached),
		list: discovery.New(dial, ms(cfg.Times.Watch), cfg.source()), asked: cfg.Discovery,
		servers: map[balance.ServerID]discovery.Server{}, draining: map[balance.ServerID]bool{},
		open: map[balance.RequestID]*exchange.Exchange{}, speeds: map[balance.ServerID]*speed{}}
	if leases != nil {
		leases.clock = l.steady
	}
	l.list.Dial, l.tellLists = cfg.Lab.Dial, cfg.Lab.TellLists
	l.figures, l.classes = cfg.Admin != "", map[string]*exchange.Tally{}
	for name := range set.Classes {
		l.classes[name] = &exchange.Tally{}
	}
	l.addresses(&cfg.Known)
	if cfg.Watch != nil {
		set := cfg.Watch.Settings()
		set.TellsLate, set.Talks = false, false
		l.shadow = &shadow{decide: balance.New(set, seed), open: map[balance.RequestID]*compared{},
			timer: func(after time.Duration, token uint64) {
				heap.Push(&l.timers, timer{at: l.now() + after, token: token, shadow: true})
			}}
	}
	return l
}

func (l *loop) run(k *learned) {
	l.restore(k)
	l.handle(l.known)
	if k != nil {
		l.decide.Restore(l.now(), k.memory)
	}
	if l.pushed { // changes are to come unasked
		l.subscribe()
	}
	l.flush()
	l.lease()
	clock := time.NewTimer(0)
	var look <-chan time.Time
	if l.figures {
		l.lookAtHosts()
		ticker := time.NewTicker(figuresEvery)
		defer ticker.Stop()
		look = ticker.C
	}
	for {
		if len(l.timers) > 0 {
			clock.Reset(l.timers[0].at - l.now())
		}
		select {
		case <-l.ctx.Done():
			return
		case do := <-l.events:
			do()
		case <-look:
			l.lookAtHosts()
		case <-clock.C:
			for now := l.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
				if t := heap.Pop(&l.timers).(timer); t.leases {
					l.lease()
				} else if t.shadow {
					l.shadow.now = now
					l.shadow.handle(balance.Timer{Token: t.token})
				} else {
					l.handle(balance.Timer{Token: t.token})
				}
			}
		}
	}
}

// figuresEvery is how often what only the loop knows is put where others read it.
const figuresEvery = 200 * time.Millisecond

// lookAtHosts counts the servers in the list, and those that get no new connection now: they drain, or the decisions
// have set them aside.
func (l *loop) lookAtHosts() {
	l.hosts.known.Store(int64(len(l.servers)))
	l.hosts.excluded.Store(int64(l.decide.Avoided(l.now())))
}

// tell has the loop do something, and waits while the queue is full. The loop's own goroutine must not call
// it. What comes after the loop's end is dropped.
func (l *loop) tell(do func()) {
	select {
	case l.events <- do:
	case <-l.ctx.Done():
	}
}

// handle tells the decisions of an event and does what they say. Nothing that it does tells of a further
// event before it returns.
func (l *loop) handle(ev balance.Event) {
	if l.trace {
		l.traceEvent(ev)
	}
	if l.shadow != nil {
		l.shadow.saw(l.now(), ev)
	}
	_, l.emptying = ev.(balance.Leaving)
	for _, a := range l.decide.Handle(l.now(), ev) {
		if l.shadow != nil {
			l.shadow.did(a)
		}
		if l.trace {
			l.traceAction(a)
		}
		l.do(a)
	}
	l.flush()
}

func (l *loop) do(a balance.Action) {
	switch a := a.(type) {
	case balance.Attempt:
		if x := l.open[a.ID]; x != nil {
			e := l.servers[a.Server]
			attempt := exchange.Attempt{Number: x.Tries, Server: a.Server, Addr: e.Addr, Start: e.Started}
			x.Tries++
			end := func(o balance.Outcome) { go l.Closed(x, attempt, o, 0, nil) } // not from here, as it tells the loop
			// Where it has no room a further attempt is given up at once: to wait comes on top of what it has waited already.
			if attempt.Number > 0 && !l.affordAtOnce(retryBudget, 0) {
				end(balance.Moot)
				return
			}
			decided := time.Now()
			if a.Within > 0 {
				attempt.Bind(decided.Add(a.Within))
			}
			l.afford(sendBudget, uint64(a.Server), answerWait, func(ok bool) {
				if !ok {
					end(balance.Moot)
					return
				} else if l.void(attempt) { // the list has changed while it waited
					end(balance.Unsent)
					return
				}
				if s := l.leases; s != nil && (attempt.Number > 0 && s.on[retryBudget] || s.cold(a.Server)) {
					attempt.Bind(decided.Add(s.within))
				} else if s != nil && s.on[sendBudget] {
					attempt.Bind(time.Now().Add(s.within))
				}
				l.back.Attempt(x, attempt, a.Timeout)
			})
		}
	case balance.Refuse:
		l.refuse(a.ID, a.RetryIn)
	case balance.Fail:
		if x := l.open[a.ID]; x != nil {
			l.fail(x, "not served")
		}
	case balance.Move:
		x := l.open[a.ID]
		move := func(ok bool) {
			if ok && x.Move() {
				l.count.moved.Add(1)
			}
		}
		if x != nil && l.emptying {
			move(true)
		} else if x != nil {
			l.afford(moveBudget, uint64(x.Server()), answerWait, move)
		}
	case balance.Probe:
		l.afford(probeBudget, uint64(a.Server), answerWait, func(ok bool) {
			if !ok { // who waits for it goes on without
				go l.probed(balance.Probed{Server: a.Server, Outcome: balance.OK})
				return
			}
			l.back.Probe(a.Server, l.servers[a.Server].Addr, l.leases.by(probeBudget))
		})
	case balance.SetTimer:
		heap.Push(&l.timers, timer{at: l.now() + a.After, token: a.Token})
	case balance.Subscribe:
		l.subscribe()
	case balance.Log:
		l.log.Info(a.Text)
	}
}

func (l *loop) refuse(id balance.RequestID, retryIn time.Duration) {
	if x := l.forget(id); x != nil {
		line := "BUSY"
		if ms := retryIn.Milliseconds(); ms > 0 {
			line += " " + strconv.FormatInt(ms, 10)
		}
		l.count.refused.Add(1)
		x.Answer(exchange.Refused, line)
	}
}

// fail gives the final answer that promises nothing.
func (l *loop) fail(x *exchange.Exchange, why string) {
	l.forget(x.ID)
	l.count.failed.Add(1)
	x.Answer(exchange.Failed, "ERR "+why)
}

func (l *loop) forget(id balance.RequestID) *exchange.Exchange {
	x := l.open[id]
	delete(l.open, id)
	l.leases.ended(id)
	return x
}

// take hands a new exchange to the decisions.
func (l *loop) take(x *exchange.Exchange) {
	l.tell(func() {
		if !x.Owed() { // it has left already, or was turned away
			return
		}
		l.enter(x)
		if l.ending {
			l.giveUp(x)
			return
		}
		if len(x.Head.At) > 0 {
			l.count.opened.Add(1)
			l.counts(x, false)
			l.standAgain(x)
			return
		}
		refuse := func() { l.refuse(x.ID, l.leases.comeBack()) }
		l.afford(openBudget, customer(x.Head), answerWait, func(ok bool) {
			if !ok {
				refuse()
				return
			}
			l.afford(standBudget, customer(x.Head), answerWait, func(ok bool) {
				if !ok {
					refuse()
					return
				}
				l.counts(x, true)
				if l.open[x.ID] == nil { // it has left meanwhile
					l.leases.ended(x.ID)
					return
				}
				l.handle(l.request(x))
			})
		})
		l.flush()
	})
}

// customer is whose connection it is to be.
func customer(h *exchange.Head) uint64 {
	if len(h.Group) > 0 {
		return xxhash.Sum64(h.Group)
	}
	return xxhash.Sum64(h.Key)
}

// enter gives an exchange its number here.
func (l *loop) enter(x *exchange.Exchange) {
	l.next++
	x.ID = l.next
	l.open[x.ID] = x
}

func (l *loop) request(x *exchange.Exchange) balance.Request {
	h := x.Head
	return balance.Request{ID: x.ID, Class: string(h.Class), Key: string(h.Key), Group: string(h.Group),
		Left: time.Until(x.Deadline), Again: h.Again}
}

// returnPause is the time between two tries to take a connection back to its server.
const returnPause = 200 * time.Millisecond

// standAgain takes a connection that stood before back to its server. That needs no decision, but an address:
// while no list has named the server, it waits. The decisions hear of it once it is up.
func (l *loop) standAgain(x *exchange.Exchange) {
	if !x.Owed() { // it has left meanwhile
		return
	}
	id := balance.ServerID(settings.NamedServer(string(x.Head.At)))
	if addr := l.servers[id].Addr; addr != "" {
		l.afford(sendBudget, uint64(id), answerWait, func(ok bool) {
			if ok {
				l.back.Attempt(x, exchange.Attempt{Server: id, Addr: addr, Start: l.servers[id].Started, By: l.leases.by(sendBudget)}, 0)
			} else {
				l.notBack(x, balance.Moot)
			}
		})
		l.flush()
		return
	}
	l.returns = append(l.returns, x)
	time.AfterFunc(time.Until(x.Deadline), func() { l.tell(func() { l.noReturn(x) }) })
}

// end has every request that still waits fail, now and from now on: the process is to end.
func (l *loop) end() {
	l.ending = true
	for _, x := range l.open {
		if x.Owed() {
			l.giveUp(x)
		}
	}
}

func (l *loop) giveUp(x *exchange.Exchange) {
	l.fail(x, "stopping")
	l.handle(balance.Left{ID: x.ID})
}

// noReturn fails a connection whose server no list has named in its time.
func (l *loop) noReturn(x *exchange.Exchange) {
	if i := slices.Index(l.returns, x); i >= 0 {
		l.returns = slices.Delete(l.returns, i, i+1)
		l.fail(x, "no such server")
	}
}

// Left is part of exchange.Sink.
func (l *loop) Left(x *exchange.Exchange) {
	l.tell(func() {
		l.count.left.Add(1)
		if x.ID == 0 { // not even taken in
			return
		}
		l.forget(x.ID) // where no attempt is out, no Closed comes
		if i := slices.Index(l.returns, x); i >= 0 {
			l.returns = slices.Delete(l.returns, i, i+1)
		}
		l.handle(balance.Left{ID: x.ID})
	})
}

// Accepted is part of exchange.Sink.
func (l *loop) Accepted(x *exchange.Exchange, a exchange.Attempt, took time.Duration) {
	l.tell(func() {
		l.count.served.Add(1)
		if len(x.Head.At) > 0 {
			l.handle(balance.Opened{Request: l.request(x), Server: a.Server})
		} else {
			l.handle(balance.Accepted{ID: x.ID, Attempt: a.Number, Server: a.Server, Took: took})
		}
		if l.draining[a.Server] { // the news came while the attempt was out
			l.leaving(a.Server)
		}
	})
}

// Closed is part of exchange.Sink.
func (l *loop) Closed(x *exchange.Exchange, a exchange.Attempt, outcome balance.Outcome, took time.Duration,
	report *balance.Report) {
	l.tell(func() {
		owed := x.Owed()
		if owed && len(x.Head.At) > 0 {
			l.notBack(x, outcome)
			return
		} else if !owed {
			l.forget(x.ID)
		}
		l.handle(balance.Closed{ID: x.ID, Attempt: a.Number, Server: a.Server, Outcome: outcome, Took: took,
			Final: !owed, Report: report, SentAway: x.SentAway()})
	})
}

// notBack tries once more where the server has not seen the connection, else fails it.
func (l *loop) notBack(x *exchange.Exchange, outcome balance.Outcome) {
	if outcome.NeverRan() && time.Until(x.Deadline) > returnPause {
		time.AfterFunc(returnPause, func() { l.tell(func() { l.standAgain(x) }) })
		return
	}
	l.fail(x, "not up again")
}

// Message is part of exchange.Sink. While the loop has more to do, a measurement is dropped.
func (l *loop) Message(x *exchange.Exchange, server balance.ServerID, took time.Duration) {
	select {
	case l.events <- func() { l.message(x.ID, server, took) }:
	default:
		l.count.dropped.Add(1)
	}
}

func (l *loop) probed(ev balance.Probed) { l.tell(func() { l.handle(ev) }) }

// speed gathers the message times of one server.
type speed struct {
	since time.Duration
	times []time.Duration
}

// slowEvery is how often a slow server is told.
const slowEvery = time.Second

// message tells of slow messages as balance.Slow says: once a second for a server at the most, while the
// middle one of its messages takes over a third of the shortest aim.
func (l *loop) message(id balance.RequestID, server balance.ServerID, took time.Duration) {
	l.count.messages.Add(1)
	if took*3 > l.aim {
		l.count.late.Add(1)
	}
	s, now := l.speeds[server], l.now()
	if s == nil {
		s = &speed{since: now}
		l.speeds[server] = s
	}
	if s.times = append(s.times, took); now-s.since < slowEvery {
		return
	}
	slices.Sort(s.times)
	middle := s.times[len(s.times)/2]
	s.times, s.since = s.times[:0], now
	if l.aim > 0 && middle*3 > l.aim {
		l.handle(balance.Slow{ID: id, Server: server, Message: middle})
	}
}

// subscribe follows the list from the version held. Each watch ends in one ListFailed.
func (l *loop) subscribe() {
	if l.watching {
		return
	}
	l.watching = true
	l.calls++
	turn := l.calls
	l.afford(callBudget, 0, callWait, func(ok bool) {
		if turn != l.calls {
			return // another discovery is asked meanwhile
		} else if ok {
			l.watch()
			return
		}
		time.AfterFunc(callPause/2+rand.N(callPause), func() {
			l.tell(func() {
				if turn == l.calls {
					l.watching = false
					l.subscribe()
					l.flush()
				}
			})
		})
	})
}

// A call that all nodes have no room for waits for their answer for callWait, and is tried again after callPause on the mean.
const (
	callWait  = time.Second
	callPause = 500 * time.Millisecond
)

// watch is one call for the list and its changes.
type watch struct {
	addr   string
	since  int64
	opened time.Time
	lives  bool // it has said something
	failed bool // its end or silence has been told
	end    context.CancelFunc
	same   atomic.Pointer[time.Time] // when it last said that nothing has changed
}

func (w *watch) stop() {
	if w != nil {
		w.end()
	}
}

// watch opens a watch. The one before it, where that has told anything, is heard on until this one has: guards against what was
// written to it and not read yet as this one is opened, since it fell silent or another discovery is asked now. All
// that counts as told.
func (l *loop) watch() {
	ctx, end := context.WithCancel(l.ctx)
	w, by := &watch{addr: l.asked, since: l.version, opened: time.Now(), end: end}, l.leases.by(callBudget)
	if l.heardBefore == nil {
		l.heardBefore = l.heard
	} else {
		l.heard.stop() // it has told nothing
	}
	l.heard = w
	tell := func(do func()) {
		l.tell(func() {
			if w == l.heard || w == l.heardBefore { // else another has replaced it
				do()
			}
		})
	}
	go func() {
		err := l.list.Watch(ctx, w.addr, w.since, by, discovery.Hearer{
			List: func(list *discovery.List) { tell(func() { l.told(w, list) }) },
			Live: func() { tell(func() { l.live(w) }) }, Quiet: func() { tell(func() { l.unheard(w, errSilent) }) },
			Same: func(at time.Time) { w.same.Store(&at) },
			Dated: func(date, asked, answered time.Time) {
				ahead := l.aheadOf(date, asked, answered)
				tell(func() { l.clockSeen(ahead, true) })
			}})
		end()
		tell(func() {
			l.unheard(w, err)
			if w == l.heardBefore {
				l.heardBefore = nil
			}
		})
	}()
}

var errSilent = errors.New("discovery is silent")

// live ends the watch before one that is heard now, on the same discovery: what that has still to say this one will say too. Of
// another one it takes the list. The list held is told of again: where nothing has changed since, the watch may say no more than empty lines.
func (l *loop) live(w *watch) {
	w.lives = true
	l.lookAtWallClock()
	if w == l.heard && w.addr == l.asked && w.since > 0 {
		l.handle(balance.Members{Kind: balance.ListChanges})
	}
	if w == l.heard && l.heardBefore != nil && l.heardBefore.addr == w.addr {
		l.hearOne()
	}
}

// hearOne ends the watch before the last.
func (l *loop) hearOne() {
	l.heardBefore.stop()
	l.heardBefore = nil
}

// told takes what a watch says. Guards against two watches on one discovery of which the newer was asked first and says
// what the older has said already: that would bring back a server that drains.
func (l *loop) told(w *watch, list *discovery.List) {
	if w == l.heard {
		l.hearOne()
	}
	if w.addr != l.asked { // it may count its versions otherwise, and be old: it can only take servers away any more
		list.Full, list.Unchanged = false, time.Time{}
		list.Servers = slices.DeleteFunc(list.Servers, func(s discovery.Server) bool { return s.State == "up" })
	} else if list.Version < l.version && w.since < l.version {
		return
	} else {
		l.version = list.Version
		if list.Unchanged.IsZero() {
			list.Unchanged = l.unchanged
		}
		l.unchanged = list.Heard
	}
	l.lookAtWallClock()
	l.listed(list)
	if l.tellLists {
		l.log.Info("list in force", zap.Int64("version", list.Version))
	}
}

// unheard has another watch opened after a while, once for each that ends or falls silent.
func (l *loop) unheard(w *watch, err error) {
	if w.failed || w != l.heard {
		return
	}
	l.log.Warn("the watch on the server list broke", zap.String("discovery", w.addr), zap.Error(err))
	w.failed, l.watching = true, false
	if same := w.same.Load(); same != nil && w.addr == l.asked && same.After(l.unchanged) {
		l.unchanged = *same
	}
	if !l.pushed { // where lists are pushed it may say at its return what counts as told then; else nothing more
		w.stop()
	}
	kind := balance.ListFailed
	if w.lives && time.Since(w.opened) >= l.list.Silence { // then nothing is known of how busy discovery is
		kind = balance.ListBroken // else it may end each call soon, and is to be spared
	}
	took := time.Since(w.opened)
	if dial := (&net.OpError{}); w.lives || errors.As(err, &dial) && dial.Op == "dial" { // it did not wait
		took = 0
	}
	l.handle(balance.Members{Kind: kind, Took: took})
}

// rediscover follows the list of another discovery, at once: the decisions' own retry may be seconds away.
// Another discovery may count its versions otherwise, so all of its list is asked for.
func (l *loop) rediscover(addr string) {
	if addr == l.asked {
		return
	}
	l.log.Info("another discovery is asked", zap.String("discovery", addr))
	l.asked, l.version, l.watching, l.unchanged = addr, 0, false, time.Time{}
	l.handle(balance.Members{Kind: balance.ListBroken}) // what failed at the old one slows no retry at this one
	l.subscribe()
	l.flush()
}

func (l *loop) listed(list *discovery.List) {
	if list.Full {
		clear(l.servers)
		clear(l.draining)
	}
	l.addresses(list)
	kind := balance.ListChanges
	if list.Full {
		kind = balance.ListFull
	}
	members := list.Members(kind)
	members.Unchanged = l.at(list.Unchanged)
	l.handle(members)
	l.wholes()
	l.recheck()
	for _, s := range list.Servers {
		if s.State == "draining" {
			l.leaving(balance.ServerID(s.ID))
		}
	}
	waiting := l.returns
	l.returns = nil
	for _, x := range waiting {
		l.standAgain(x)
	}
}

// void tells whether a server is no more what it was when an attempt at it was decided: it drains or is gone, has another
// address, at which another may be, or has started anew. A list without a server is no word that it takes nobody where
// only draining binds.
func (l *loop) void(a exchange.Attempt) bool {
	e, listed := l.servers[a.Server]
	return listed && (e.State != "up" || e.Addr != a.Addr || e.Started != a.Start) || !listed && !l.onlyDraining
}

// recheck takes back what has been decided by the list before this one and is not on its way yet: guards against the
// time that a connection takes to come up, in which a server may begin to drain. A connection that stood before is
// nothing new to its server while that drains.
func (l *loop) recheck() {
	for _, x := range l.open {
		x.CallOff(func(a exchange.Attempt) bool {
			if len(x.Head.At) > 0 && l.servers[a.Server].State == "draining" {
				return false
			}
			return l.void(a)
		})
	}
}

// leaving has the clients of a server moved that drains and in a while has not sent them away itself.
func (l *loop) leaving(id balance.ServerID) {
	time.AfterFunc(l.drain, func() {
		l.tell(func() {
			if l.draining[id] {
				l.handle(balance.Leaving{Server: id})
			}
		})
	})
}

func (l *loop) addresses(list *discovery.List) {
	for _, s := range list.Servers {
		if s.State == "removed" {
			delete(l.servers, balance.ServerID(s.ID))
			delete(l.speeds, balance.ServerID(s.ID))
		} else {
			l.servers[balance.ServerID(s.ID)] = s
		}
		if s.State == "draining" {
			l.draining[balance.ServerID(s.ID)] = true
		} else {
			delete(l.draining, balance.ServerID(s.ID))
		}
	}
}

// timer is one of the decisions', and timers holds them, the next one first.
type timer struct {
	at     time.Duration
	token  uint64
	shadow bool
	leases bool
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(v any)        { *t = append(*t, v.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
