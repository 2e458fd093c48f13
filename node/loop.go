package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/backend"
	"brassmux/internal/control"
	"brassmux/internal/exchange"
	"brassmux/internal/settings"
)

// listDialFactor multiplies the dial timeout of servers for the discovery service, which may be further away.
const listDialFactor = 5

// eventQueueSize bounds the events that wait for the loop. Goroutines with a further one block; the loop never does.
const eventQueueSize = 1024

// loop owns the balancer and the state of all requests. Its goroutine passes events to the balancer and executes the
// actions that follow; all methods run in it, unless they say otherwise.
type loop struct {
	log    *zap.Logger
	traces bool            // log every event and action
	events chan func()     // run by the loop's goroutine
	ctx    context.Context // ends with the loop
	timers timers
	clock
	wallClockState
	uptime func() time.Duration // monotonic; replaced in tests of the control plane

	balancer   *balance.Balancer
	shadow     *shadow // nil without shadow settings
	invariants invariants
	control    *control.Manager // nil where nodes share no quotas
	backend    *backend.Client

	endpointState

	open             map[balance.RequestID]*exchange.Exchange
	lastID           balance.RequestID
	isDraining       bool // the event in hand drains a server or this node
	isStopping       bool // a graceful shutdown has begun
	rejectsRequests  bool // the time for answers has run out
	latencies        map[balance.ServerID]*serverLatency
	messageObjective time.Duration // the shortest of any class; 0 for none

	exportsGauges bool
	gauges        gauges
	counters      loopCounters
	classes       map[string]*exchange.ClassCounters // not changed after newLoop
}

func newLoop(ctx context.Context, cfg *Config, log *zap.Logger) *loop {
	seed, _ := cfg.parseSeed() // validated
	b := cfg.Settings.BalanceConfig()
	b.ClockUntrusted = true
	b.GossipEnabled = false        // nodes have no transport for it
	b.LateMessagesReported = false // servers report none over sockets, and may echo at once whatever their load
	l := &loop{
		log:              log,
		traces:           log.Core().Enabled(zap.DebugLevel),
		events:           make(chan func(), eventQueueSize),
		ctx:              ctx,
		clock:            newClock(&cfg.TestOptions),
		endpointState:    newEndpointState(cfg, &b),
		open:             map[balance.RequestID]*exchange.Exchange{},
		latencies:        map[balance.ServerID]*serverLatency{},
		messageObjective: shortestMessageObjective(b),
		exportsGauges:    cfg.Admin != "",
		classes:          map[string]*exchange.ClassCounters{},
	}
	l.uptime = l.sinceStart
	if cfg.Budgets.Leased {
		l.control = control.New(cfg.control(&b, uint64(l.epoch)^seed, l.epoch), controlLoop{l}, log)
		b.SlowStartQuotas = l.control
	}
	l.balancer = balance.New(b, seed)
	l.invariants = invariants{classes: b.Classes, log: log}
	for name := range b.Classes {
		l.classes[name] = &exchange.ClassCounters{}
	}
	l.updateServers(&cfg.InitialEndpoints)
	if cfg.ShadowSettings != nil {
		l.shadow = newShadow(cfg.ShadowSettings, seed, l)
	}
	return l
}

// newShadow makes a shadow that sets its timers in the loop.
func newShadow(site *settings.Site, seed uint64, l *loop) *shadow {
	b := site.BalanceConfig()
	b.LateMessagesReported, b.GossipEnabled = false, false
	return &shadow{
		balancer: balance.New(b, seed),
		requests: map[balance.RequestID]*comparison{},
		setTimer: func(after time.Duration, token uint64) { l.setTimer(after, token, shadowTimer) },
	}
}

// run handles events until the loop's context ends. The state of the predecessor may be nil.
func (l *loop) run(state *inheritedState) {
	l.restore(state)
	l.handle(l.initialMembers)
	if state != nil {
		l.balancer.Restore(l.now(), state.memory)
	}
	if l.endpointsPushed {
		l.subscribe()
	}
	l.control.SendRequests()
	l.control.Tick()
	expiry := time.NewTimer(0)
	var gaugeTick <-chan time.Time
	if l.exportsGauges {
		l.updateGauges()
		ticker := time.NewTicker(gaugeInterval)
		defer ticker.Stop()
		gaugeTick = ticker.C
	}
	for {
		if len(l.timers) > 0 {
			expiry.Reset(l.timers[0].at - l.now())
		}
		select {
		case <-l.ctx.Done():
			return
		case event := <-l.events:
			event()
		case <-gaugeTick:
			l.updateGauges()
		case <-expiry.C:
			l.fireTimers()
		}
	}
}

// post has the loop's goroutine run a function, and blocks while the queue is full. Any goroutine but the loop's may
// call it. After the loop's end it does nothing.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// call is post that waits for the function to return.
func (l *loop) call(event func()) {
	done := make(chan struct{})
	l.post(func() {
		event()
		close(done)
	})
	select {
	case <-done:
	case <-l.ctx.Done():
	}
}

// handle passes an event to the balancer and executes the actions that follow. None of them handles a further event
// before it returns.
func (l *loop) handle(ev balance.Event) {
	if l.traces {
		l.traceEvent(ev)
	}
	if l.shadow != nil {
		l.shadow.observeEvent(l.now(), ev)
	}
	_, l.isDraining = ev.(balance.ShutdownAnnounced)
	for _, a := range l.balancer.Handle(l.now(), ev) {
		if l.shadow != nil {
			l.shadow.observeAction(a)
		}
		if l.traces {
			l.traceAction(a)
		}
		l.execute(a)
	}
	l.control.SendRequests()
}

func (l *loop) execute(a balance.Action) {
	switch a := a.(type) {
	case balance.Attempt:
		l.startAttempt(a)
	case balance.Reject:
		l.reject(a.ID, a.RetryAfter)
	case balance.Fail:
		if x := l.open[a.ID]; x != nil {
			l.fail(x, "not served")
		}
	case balance.Migrate:
		l.migrate(a.ID)
	case balance.HealthCheck:
		l.checkHealth(a.Server)
	case balance.SetTimer:
		l.setTimer(a.After, a.Token, balancerTimer)
	case balance.WatchEndpoints:
		l.subscribe()
	case balance.Log:
		l.log.Info(a.Text)
	}
}

// migrate asks a client to connect anew. Rebalancing takes a unit of a quota; draining is exempt.
func (l *loop) migrate(id balance.RequestID) {
	x := l.open[id]
	if x == nil {
		return
	}
	migrate := func(ok bool) {
		if ok && x.Move() {
			l.counters.moved.Add(1)
		}
	}
	if l.isDraining {
		migrate(true)
		return
	}
	l.control.Acquire(control.Moves, uint64(x.Server()), quotaWait, migrate)
}

// checkHealth sends a health check. Without a unit of its quota the requests that wait for the result go on without.
func (l *loop) checkHealth(server balance.ServerID) {
	l.control.Acquire(control.HealthChecks, uint64(server), quotaWait, func(ok bool) {
		if !ok {
			go l.onHealthCheck(balance.HealthCheckResult{Server: server, Outcome: balance.OK})
			return
		}
		l.backend.CheckHealth(server, l.servers[server].Addr, l.control.SendDeadline(control.HealthChecks))
	})
}

// onHealthCheck may be called from any goroutine but the loop's.
func (l *loop) onHealthCheck(result balance.HealthCheckResult) { l.post(func() { l.handle(result) }) }
