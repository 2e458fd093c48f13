package node

import (
	"container/heap"
	"time"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/discovery"
	"brassmux/internal/settings"
)

// quotaWait limits the time that a request waits for units from other nodes once this node's share of a quota is used
// up. The operation that needs the unit must start soon after that.
const quotaWait = 100 * time.Millisecond

// limits returns the configured limit of each kind.
func (b *Budgets) limits() []control.Limit {
	return []control.Limit{
		{Kind: control.Retries, Units: b.RetriesPerSecond},
		{Kind: control.ListCalls, Units: b.ListCallsPerSecond},
		{Kind: control.HealthChecks, Units: b.HealthChecksPerSecond},
		{Kind: control.Connects, Units: b.ConnectsPerSecond},
		{Kind: control.Moves, Units: b.MovesPerSecond},
		{Kind: control.Opens, Units: b.OpensPerSecond},
		{Kind: control.OpenConnections, Units: b.OpenPerCustomer},
	}
}

// controlConfig returns the configuration of the control plane. The epoch is the node's time at the process start.
func (c *Config) controlConfig(balanceConfig *balance.Config, incarnation uint64, epoch time.Duration) control.Config {
	dialTimeout := settings.Microseconds(c.Settings.Limits.DialTimeoutMicros)
	return control.Config{
		Settings: *balanceConfig, Incarnation: incarnation, Epoch: epoch,
		Limits: c.Budgets.limits(), GuaranteedFraction: c.Budgets.GuaranteedShare,
		ControlGuaranteedFraction: c.Budgets.ControlGuaranteedShare,
		LeaseTerm:                 milliseconds(c.Budgets.LeaseTermMS),
		ChildLeaseTerm:            milliseconds(c.Budgets.ChildLeaseTermMS),
		ConnectionLeaseTerm:       milliseconds(c.Budgets.OpenLeaseMS),
		HeartbeatInterval:         milliseconds(c.Budgets.HeartbeatMS),
		MaxClockDrift:             float64(c.Budgets.MaxClockDriftPPM) / 1e6,
		ConnectTimeout:            dialTimeout, ListConnectTimeout: dialTimeout * listDialFactor,
		ConnectionCloseDelay: milliseconds(c.Timeouts.CloseMS),
		Listen:               c.Peers.Listen, Peers: c.Peers.NodeAddrs, Parents: c.Peers.ControlAddrs,
		ChildListen: c.Peers.ChildListen, ControlIndex: c.Peers.ControlIndex, MaxChildren: max(c.Settings.NodeCount, 1),
		RetryListen: c.ListenFD != 0, SimulateLink: c.TestOptions.PeerLink,
	}
}

// controlLoop implements control.Loop for the control plane.
type controlLoop struct{ loop *loop }

// Post is part of control.Loop.
func (c controlLoop) Post(event func()) bool {
	select {
	case c.loop.events <- event:
		return true
	default:
		return false
	}
}

// Now is part of control.Loop.
func (c controlLoop) Now() time.Duration { return c.loop.now() }

// Uptime is part of control.Loop.
func (c controlLoop) Uptime() time.Duration { return c.loop.uptime() }

// WakeAt is part of control.Loop.
func (c controlLoop) WakeAt(at time.Duration) {
	heap.Push(&c.loop.timers, timer{at: at, owner: controlTimer})
}

// Servers is part of control.Loop.
func (c controlLoop) Servers() map[balance.ServerID]discovery.Endpoint { return c.loop.servers }

// StartedAt is part of control.Loop.
func (c controlLoop) StartedAt(server balance.ServerID) time.Duration {
	return c.loop.balancer.LatestStart(server)
}

// OnQuotaAnswer is part of control.Loop. It makes the balancer reconsider the requests that wait for the server.
func (c controlLoop) OnQuotaAnswer(server balance.ServerID) {
	c.loop.handle(balance.HealthCheckResult{Server: server, Outcome: balance.OK})
}

// MoveClient is part of control.Loop.
func (c controlLoop) MoveClient(id balance.RequestID) {
	if request := c.loop.requests[id]; request != nil && request.Move() {
		c.loop.counters.migrated.Add(1)
	}
}

// onStop prepares a graceful shutdown: it returns this node's units of shared quotas, and releases the slow-start
// budgets to the next process of this node.
func (l *loop) onStop() {
	l.isStopping = true
	l.setReleased(true)
	l.control.Leave()
}

// The errors of Acquire for a rate limit that it cannot use.
var (
	ErrUnknownRate     = control.ErrUnknownRate     // no rate limit has this name
	ErrNoLimit         = control.ErrNoLimit         // the configuration does not set this limit
	ErrLeasingDisabled = control.ErrLeasingDisabled // budgets.lease is not set
)

// Acquire takes one unit of a rate limit that all nodes share. It lets a program apply the limit to operations of its
// own besides those of the node's clients. The limit is named by its key below "budgets" in the configuration, such as
// "retries_per_s". subject is the server or customer if the limit applies to each of them separately, otherwise 0.
//
// done is called once, with true if a unit became available within wait, otherwise with false. It runs in the goroutine
// of the event loop and must not block. It is not called after the node has ended.
//
// Acquire returns ErrUnknownRate, ErrNoLimit or ErrLeasingDisabled if the limit cannot be used. It blocks while the
// queue of the event loop is full, and must not be called from done.
func (n *Node) Acquire(limit string, subject uint64, wait time.Duration, done func(ok bool)) error {
	manager := n.loop.control
	kind, err := manager.RateLimitKind(limit)
	if err != nil {
		return err
	}
	n.loop.post(func() {
		manager.Acquire(kind, subject, wait, done)
		manager.SendRequests()
	})
	return nil
}
