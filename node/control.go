package node

import (
	"container/heap"
	"time"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/discovery"
	"brassmux/internal/settings"
)

// quotaWait is how long a request waits for the other nodes' answer where this node's part of a quota is used up: what
// it asks for has to be on its way soon after.
const quotaWait = 100 * time.Millisecond

// limits are those of the configuration, by kind.
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

// control is the configuration of the control plane. The epoch is what the node's clock showed at the process's start.
func (c *Config) control(set *balance.Config, incarnation uint64, epoch time.Duration) control.Config {
	dial := settings.Microseconds(c.Settings.Limits.DialTimeoutMicros)
	return control.Config{
		Settings: *set, Incarnation: incarnation, Epoch: epoch,
		Limits: c.Budgets.limits(), GuaranteedFraction: c.Budgets.GuaranteedShare,
		ControlGuaranteedFraction: c.Budgets.ControlGuaranteedShare,
		LeaseTerm:                 milliseconds(c.Budgets.LeaseTermMS),
		ChildLeaseTerm:            milliseconds(c.Budgets.ChildLeaseTermMS),
		ConnectionLeaseTerm:       milliseconds(c.Budgets.OpenLeaseMS),
		HeartbeatInterval:         milliseconds(c.Budgets.HeartbeatMS),
		MaxClockDrift:             float64(c.Budgets.MaxClockDriftPPM) / 1e6,
		ConnectTimeout:            dial, ListConnectTimeout: dial * listDialFactor,
		ConnectionCloseDelay: milliseconds(c.Timeouts.CloseMS),
		Listen:               c.Peers.Listen, Peers: c.Peers.NodeAddrs, Parents: c.Peers.ControlAddrs,
		ChildListen: c.Peers.ChildListen, ControlIndex: c.Peers.ControlIndex, MaxChildren: max(c.Settings.NodeCount, 1),
		RetryListen: c.ListenFD != 0, SimulateLink: c.TestOptions.PeerLink,
	}
}

// controlLoop is the loop as the control plane sees it.
type controlLoop struct{ l *loop }

func (c controlLoop) Post(event func()) bool {
	select {
	case c.l.events <- event:
		return true
	default:
		return false
	}
}

func (c controlLoop) Now() time.Duration { return c.l.now() }

func (c controlLoop) Uptime() time.Duration { return c.l.uptime() }

func (c controlLoop) WakeAt(at time.Duration) {
	heap.Push(&c.l.timers, timer{at: at, owner: controlTimer})
}

func (c controlLoop) Servers() map[balance.ServerID]discovery.Endpoint { return c.l.servers }

func (c controlLoop) StartedAt(server balance.ServerID) time.Duration {
	return c.l.balancer.LatestStart(server)
}

// OnQuotaAnswer has the decisions look again at requests that wait for the server.
func (c controlLoop) OnQuotaAnswer(server balance.ServerID) {
	c.l.handle(balance.HealthCheckResult{Server: server, Outcome: balance.OK})
}

func (c controlLoop) MoveClient(request balance.RequestID) {
	if x := c.l.open[request]; x != nil && x.Move() {
		c.l.counters.moved.Add(1)
	}
}

// leave gives up what this node holds: its units of shared quotas, and the decisions' hold on clients. The limits of
// servers in slow start are left to the next process of this node.
func (l *loop) onStop() {
	l.isStopping = true
	l.setReleased(true)
	l.control.Leave()
}

// The reasons for which Acquire cannot use a rate limit.
var (
	ErrUnknownRate     = control.ErrUnknownRate     // no rate limit has this name
	ErrNoLimit         = control.ErrNoLimit         // the configuration sets no limit
	ErrLeasingDisabled = control.ErrLeasingDisabled // the nodes lease no quotas (budgets.lease)
)

// Acquire takes one unit of a rate limit that all nodes share, for a program that does what the limit covers by other
// ways than this node's clients. The limit is given by its key below "budgets" in the configuration, such as
// "retries_per_s"; of is the server or customer where the limit is of each, else 0. Done is called once, from the
// loop's goroutine, which it must not block: with true where there was a unit within wait, and else with false. After
// the node has ended it is not called any more.
//
// Acquire fails with ErrUnknownRate, ErrNoLimit or ErrLeasingDisabled. It may be called from any goroutine but the
// loop's, and blocks while the loop's queue is full.
func (n *Node) Acquire(limit string, of uint64, wait time.Duration, done func(ok bool)) error {
	m := n.loop.control
	kind, err := m.RateLimitKind(limit)
	if err != nil {
		return err
	}
	n.loop.post(func() {
		m.Acquire(kind, of, wait, done)
		m.SendRequests()
	})
	return nil
}
