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

// listDialFactor is the ratio of the dial timeout of the discovery service to that of servers: the service may be
// further away.
const listDialFactor = 5

// eventQueueSize is the capacity of the event queue. Goroutines that post an event block while it is full.
const eventQueueSize = 1024

// loop is the event loop. It owns the balancer and the state of all requests. Its goroutine passes events to the
// balancer and executes the resulting actions. Methods must be called from that goroutine unless documented otherwise.
type loop struct {
	log          *zap.Logger
	logsBalancer bool            // log each event and action of the balancer
	events       chan func()     // functions for the loop's goroutine to run
	ctx          context.Context // the loop runs until it is done
	timers       timers
	clock
	wallClockState
	uptime func() time.Duration // monotonic time since the process start; replaced in tests

	balancer   *balance.Balancer
	shadow     *shadow // nil without shadow settings
	invariants invariants
	control    *control.Manager // nil unless quotas are leased
	backend    *backend.Client

	endpointState

	requests         map[balance.RequestID]*exchange.Exchange
	lastRequestID    balance.RequestID
	isDrainEvent     bool // the current event drains a server or this node
	isStopping       bool // a graceful shutdown has begun
	failsNewRequests bool // the deadline for answers during shutdown has passed
	latencies        map[balance.ServerID]*serverLatency
	messageObjective time.Duration // the shortest of any class, 0 if none has one

	exportsGauges bool
	gauges        gauges
	counters      loopCounters
	classCounters map[string]*exchange.ClassCounters // read-only after newLoop
}

func newLoop(ctx context.Context, cfg *Config, log *zap.Logger) *loop {
	seed, _ := cfg.parseSeed() // was validated by Config.Validate
	balanceConfig := cfg.Settings.BalanceConfig()
	balanceConfig.ClockUntrusted = true
	limitListAge(&balanceConfig, &cfg.Settings)
	balanceConfig.MaxAffinities = cfg.Limits.maxAffinities(balanceConfig.MaxOpenRequests)
	balanceConfig.GossipEnabled = false        // nodes have no transport for gossip
	balanceConfig.LateMessagesReported = false // not reported over sockets; servers may echo at once under any load
	l := &loop{
		log:              log,
		logsBalancer:     log.Core().Enabled(zap.DebugLevel),
		events:           make(chan func(), eventQueueSize),
		ctx:              ctx,
		clock:            newClock(&cfg.TestOptions),
		endpointState:    newEndpointState(cfg, &balanceConfig),
		requests:         map[balance.RequestID]*exchange.Exchange{},
		latencies:        map[balance.ServerID]*serverLatency{},
		messageObjective: shortestMessageObjective(balanceConfig),
		exportsGauges:    cfg.Admin != "",
		classCounters:    map[string]*exchange.ClassCounters{},
	}
	l.uptime = l.sinceStart
	if cfg.Budgets.Leased {
		l.control = control.New(cfg.controlConfig(&balanceConfig, uint64(l.epoch)^seed, l.epoch), controlLoop{l}, log)
		balanceConfig.SlowStartQuotas = l.control
	}
	l.balancer = balance.New(balanceConfig, seed)
	l.invariants = invariants{classes: balanceConfig.Classes, log: log}
	for name := range balanceConfig.Classes {
		l.classCounters[name] = &exchange.ClassCounters{}
	}
	l.updateServers(&cfg.InitialEndpoints)
	if cfg.ShadowSettings != nil {
		l.shadow = newShadow(cfg.ShadowSettings, seed, l)
	}
	return l
}

// newShadow returns a shadow whose timers are those of the loop.
func newShadow(site *settings.Site, seed uint64, l *loop) *shadow {
	balanceConfig := site.BalanceConfig()
	balanceConfig.LateMessagesReported, balanceConfig.GossipEnabled = false, false
	return &shadow{
		balancer: balance.New(balanceConfig, seed),
		requests: map[balance.RequestID]*comparison{},
		setTimer: func(after time.Duration, token uint64) { l.setTimer(after, token, shadowTimer) },
	}
}

// run handles events until the loop's context is done. state is that of the predecessor, or nil.
func (l *loop) run(state *inheritedState) {
	l.restoreEndpoints(state)
	l.startList(state)
	if state != nil {
		l.balancer.Restore(l.now(), state.balancerState)
	}
	if l.endpointsPushed {
		l.subscribe()
	}
	l.control.SendRequests()
	l.control.Tick()
	expiryTimer := time.NewTimer(0)
	var gaugeTick <-chan time.Time
	if l.exportsGauges {
		l.updateGauges()
		ticker := time.NewTicker(gaugeInterval)
		defer ticker.Stop()
		gaugeTick = ticker.C
	}
	for {
		if len(l.timers) > 0 {
			expiryTimer.Reset(l.timers[0].at - l.now())
		}
		select {
		case <-l.ctx.Done():
			return
		case event := <-l.events:
			event()
		case <-gaugeTick:
			l.updateGauges()
		case <-expiryTimer.C:
			l.fireTimers()
		}
	}
}

// post queues a function for the loop's goroutine, and blocks while the queue is full. Any goroutine except the loop's
// may call it. After the loop has ended it does nothing.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// call is like post, but waits until the function has returned.
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

// handle passes an event to the balancer and executes the resulting actions. No action may call handle: further events
// are posted to the loop.
func (l *loop) handle(event balance.Event) {
	if l.logsBalancer {
		l.traceEvent(event)
	}
	if l.shadow != nil {
		l.shadow.observeEvent(l.now(), event)
	}
	_, l.isDrainEvent = event.(balance.ShutdownAnnounced)
	for _, action := range l.balancer.Handle(l.now(), event) {
		if l.shadow != nil {
			l.shadow.observeAction(action)
		}
		if l.logsBalancer {
			l.traceAction(action)
		}
		l.execute(action)
	}
	if _, isUpdate := event.(balance.EndpointUpdate); isUpdate {
		l.noteUsableList()
	}
	l.control.SendRequests()
}

// execute carries out an action of the balancer.
func (l *loop) execute(action balance.Action) {
	switch action := action.(type) {
	case balance.Attempt:
		l.startAttempt(action)
	case balance.ListAwaited:
		l.counters.listWaits.Add(1)
	case balance.Reject:
		l.reject(action.ID, action.RetryAfter)
	case balance.Fail:
		if request := l.requests[action.ID]; request != nil {
			l.fail(request, "not served")
		}
	case balance.Migrate:
		l.migrate(action.ID)
	case balance.HealthCheck:
		l.checkHealth(action.Server)
	case balance.SetTimer:
		l.setTimer(action.After, action.Token, balancerTimer)
	case balance.WatchEndpoints:
		l.subscribe()
	case balance.Log:
		l.log.Info(action.Text)
	}
}

// migrate makes a client close its connection and open a new one. Rebalancing is limited by a quota, draining is not.
func (l *loop) migrate(id balance.RequestID) {
	request := l.requests[id]
	if request == nil {
		return
	}
	migrate := func(ok bool) {
		if ok && request.Move() {
			l.counters.migrated.Add(1)
		}
	}
	if l.isDrainEvent {
		migrate(true)
		return
	}
	l.control.Acquire(control.Moves, uint64(request.Server()), quotaWait, migrate)
}

// checkHealth sends a health check if the quota allows it. Otherwise it reports a result without a load, so that the
// requests that wait for it proceed.
func (l *loop) checkHealth(server balance.ServerID) {
	l.control.Acquire(control.HealthChecks, uint64(server), quotaWait, func(ok bool) {
		if !ok {
			go l.onHealthCheck(balance.HealthCheckResult{Server: server, Outcome: balance.OK})
			return
		}
		l.backend.CheckHealth(server, l.servers[server].Addr, l.control.SendDeadline(control.HealthChecks))
	})
}

// onHealthCheck passes the result of a health check to the balancer. Any goroutine except the loop's may call it.
func (l *loop) onHealthCheck(result balance.HealthCheckResult) { l.post(func() { l.handle(result) }) }
