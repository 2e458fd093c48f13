package control

import (
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/internal/discovery"
)

// quotaWait is how long a request waits for the other nodes, as in package node.
const quotaWait = 100 * time.Millisecond

// fakeLoop stands in for a node's event loop. Uptime is the test's own, Now is real.
type fakeLoop struct {
	epoch  time.Time
	uptime func() time.Duration
	wakes  []time.Duration
	moved  []balance.RequestID
}

func (l *fakeLoop) Post(func()) bool { return true }

func (l *fakeLoop) Now() time.Duration {
	return time.Duration(l.epoch.UnixNano()) + time.Since(l.epoch)
}

func (l *fakeLoop) Uptime() time.Duration { return l.uptime() }

func (l *fakeLoop) WakeAt(at time.Duration) { l.wakes = append(l.wakes, at) }

func (l *fakeLoop) Servers() map[balance.ServerID]discovery.Endpoint { return nil }

func (l *fakeLoop) StartedAt(balance.ServerID) time.Duration { return 0 }

func (l *fakeLoop) OnQuotaAnswer(balance.ServerID) {}

func (l *fakeLoop) MoveClient(request balance.RequestID) { l.moved = append(l.moved, request) }

// fakeSender hands messages to the test.
type fakeSender struct {
	toPeer  func(to int, message budget.Message)
	toChild func(to int, response budget.LeaseResponse)
}

func (s fakeSender) SendToPeer(to int, message budget.Message) { s.toPeer(to, message) }

func (s fakeSender) SendToChild(to int, response budget.LeaseResponse) { s.toChild(to, response) }

// flatConfig is that of the first of two nodes, as package node has it by default.
func flatConfig(limits ...Limit) Config {
	return Config{
		Settings: balance.Config{NodeCount: 2, ConnectionCapacity: 1000, SlowStartMinCapacity: 0.5,
			SlowStartWindow: time.Minute, OverloadFactor: 3,
			OverloadWindow: 2 * time.Second, MaxRetryAfter: time.Second},
		Limits: limits, GuaranteedFraction: 0.5, ControlGuaranteedFraction: 0.5,
		LeaseTerm: time.Second, ChildLeaseTerm: 250 * time.Millisecond, ConnectionLeaseTerm: 30 * time.Second,
		HeartbeatInterval: 400 * time.Millisecond, MaxClockDrift: 0.001,
		ConnectTimeout: 200 * time.Millisecond, ListConnectTimeout: time.Second,
		ConnectionCloseDelay: 500 * time.Millisecond,
		Listen:               "127.0.0.1:0", Peers: []string{"127.0.0.1:2", "127.0.0.1:3"}, MaxChildren: 2,
	}
}

// childConfig is that of the first of two nodes below a control machine, parentConfig that of the control machine.
func childConfig(limits ...Limit) Config {
	c := flatConfig(limits...)
	c.Peers, c.Parents, c.GuaranteedFraction = nil, []string{"127.0.0.1:2"}, 0
	return c
}

func parentConfig(limits ...Limit) Config {
	c := flatConfig(limits...)
	c.Peers, c.ChildListen, c.GuaranteedFraction = []string{"127.0.0.1:2"}, "127.0.0.1:0", 0
	return c
}

// newManager makes one on a clock of the test.
func newManager(cfg Config, uptime func() time.Duration) *Manager {
	loop := &fakeLoop{epoch: time.Now(), uptime: uptime}
	cfg.Epoch = loop.Now()
	cfg.Incarnation = uint64(cfg.Epoch)
	return New(cfg, loop, zap.NewNop())
}
