package control

import (
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/internal/discovery"
)

// quotaWait is how long an acquisition waits for the answer of the other nodes, as in package node.
const quotaWait = 100 * time.Millisecond

// fakeLoop is a Loop whose Uptime is controlled by the test, while its Now is real time. It drops posted events.
type fakeLoop struct {
	epoch          time.Time
	uptime         func() time.Duration
	scheduledTicks []time.Duration
	movedClients   []balance.RequestID
}

func (l *fakeLoop) Post(func()) bool { return true }

func (l *fakeLoop) Now() time.Duration {
	return time.Duration(l.epoch.UnixNano()) + time.Since(l.epoch)
}

func (l *fakeLoop) Uptime() time.Duration { return l.uptime() }

func (l *fakeLoop) WakeAt(at time.Duration) { l.scheduledTicks = append(l.scheduledTicks, at) }

func (l *fakeLoop) Servers() map[balance.ServerID]discovery.Endpoint { return nil }

func (l *fakeLoop) StartedAt(balance.ServerID) time.Duration { return 0 }

func (l *fakeLoop) OnQuotaAnswer(balance.ServerID) {}

func (l *fakeLoop) MoveClient(request balance.RequestID) {
	l.movedClients = append(l.movedClients, request)
}

// fakeSender is a Sender that passes messages to functions of the test.
type fakeSender struct {
	toPeer  func(to int, message budget.Message)
	toChild func(to int, response budget.LeaseResponse)
}

func (s fakeSender) SendToPeer(to int, message budget.Message) { s.toPeer(to, message) }

func (s fakeSender) SendToChild(to int, response budget.LeaseResponse) { s.toChild(to, response) }

// flatConfig returns the configuration of the first of two nodes, with the defaults of package node.
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

// childConfig returns the configuration of the first of two nodes below a control machine.
func childConfig(limits ...Limit) Config {
	cfg := flatConfig(limits...)
	cfg.Peers, cfg.Parents, cfg.GuaranteedFraction = nil, []string{"127.0.0.1:2"}, 0
	return cfg
}

// parentConfig returns the configuration of a control machine above two nodes.
func parentConfig(limits ...Limit) Config {
	cfg := flatConfig(limits...)
	cfg.Peers, cfg.ChildListen, cfg.GuaranteedFraction = []string{"127.0.0.1:2"}, "127.0.0.1:0", 0
	return cfg
}

// newManager returns a Manager whose uptime is controlled by the test.
func newManager(cfg Config, uptime func() time.Duration) *Manager {
	loop := &fakeLoop{epoch: time.Now(), uptime: uptime}
	cfg.Epoch = loop.Now()
	cfg.Incarnation = uint64(cfg.Epoch)
	return New(cfg, loop, zap.NewNop())
}
