// Package control is the control plane of a node. It acquires units of the quotas that all nodes share, so that
// together they stay within limits that no node can keep alone, and exchanges messages for that with the other nodes or
// with the control machines.
//
// It owns the node's part of the quotas, the waiters for units, and the limits of servers in slow start. How quotas are
// divided and leased is left to package budget, how messages travel to package transport, and where clients go to
// package balance.
package control

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/internal/control/transport"
	"brassmux/internal/discovery"
)

// Loop is what the control plane needs of the node's event loop. All methods but Post are called from the loop's
// goroutine.
type Loop interface {
	// Post queues an event for the loop, and reports whether the queue had room for it. It never blocks, and is safe
	// for concurrent use.
	Post(event func()) bool
	// Now is the time of the node's clock since the Unix epoch; it never jumps.
	Now() time.Duration
	// Uptime is the monotonic time since the process started.
	Uptime() time.Duration
	// WakeAt has Tick called at a time of Now.
	WakeAt(at time.Duration)
	// Servers returns those of the endpoint list. The caller must not change the map.
	Servers() map[balance.ServerID]discovery.Endpoint
	// StartedAt is when a listed server started, as a time of Now.
	StartedAt(server balance.ServerID) time.Duration
	// OnQuotaAnswer is called once a request for units of a server's quota was answered, with units or without.
	OnQuotaAnswer(server balance.ServerID)
	// MoveClient has a client close its connection and open another one.
	MoveClient(request balance.RequestID)
}

// Config says what the nodes share, and where they are. Package node has checked it.
type Config struct {
	Settings    balance.Config // of the site, with the number and index of this node and the settings of slow start
	Incarnation uint64         // differs between the processes of a node
	Epoch       time.Duration  // what Loop.Now showed when Loop.Uptime was 0

	Limits                    []Limit
	GuaranteedFraction        float64       // fraction of each limit, 0 to 1, that is divided evenly among the nodes
	ControlGuaranteedFraction float64       // fraction of the rest that is divided evenly among the control machines
	LeaseTerm                 time.Duration // leased units are used within it
	ChildLeaseTerm            time.Duration // those leased from control machines
	ConnectionLeaseTerm       time.Duration // a lease of an open connection is renewed within it
	HeartbeatInterval         time.Duration // between a node's messages
	MaxClockDrift             float64       // by which any two monotonic clocks differ in speed, as a fraction
	ConnectTimeout            time.Duration // of connections to servers
	ListConnectTimeout        time.Duration // of connections to the discovery service
	ConnectionCloseDelay      time.Duration // what a client takes to close a connection

	Listen       string   // this node's address for messages
	Peers        []string // the group's addresses, by number: all nodes, or at a control machine all control machines
	Parents      []string // the control machines of an ordinary node, by preference
	ChildListen  string   // a control machine's address for messages of its children; "" at an ordinary node
	ControlIndex int      // a control machine's number
	MaxChildren  int      // how many numbers a control machine's children have
	RetryListen  bool     // another process of this node may still have the addresses

	// SimulateLink delays or loses messages in the laboratory, as transport.Config.SimulateLink.
	SimulateLink func(to netip.AddrPort) (delay time.Duration, ok bool)
}

func (c *Config) isControlMachine() bool { return c.ChildListen != "" }

// sendMargin bounds the time from a decision to the start of a connection.
const sendMargin = 50 * time.Millisecond

// sendWithin bounds the time from the decision for an attempt to its arrival at the server. Windows are longer by it,
// as a unit is acquired at the decision and counts at the server.
func (c *Config) sendWithin() time.Duration { return c.ConnectTimeout + sendMargin }

// listCallWithin bounds the same time of a call for the endpoint list.
func (c *Config) listCallWithin() time.Duration { return c.ListConnectTimeout + sendMargin }

// Manager acquires units of shared quotas for a node. Its methods are called from the loop's goroutine, unless they say
// otherwise. A nil Manager is that of a node that shares no quotas: it limits nothing.
type Manager struct {
	loop Loop
	log  *zap.Logger
	cfg  Config

	quotas *budget.Member // of the group that this node belongs to
	parent *budget.Parent // at a control machine; nil elsewhere
	source quotaSource    // one of the two

	peers    *transport.Conn
	children *transport.Conn // nil but at a control machine
	sender   Sender

	limited   [kindCount]bool
	requested bool          // a request for units has not been sent yet
	wakeAt    time.Duration // the next call of Tick, as a time of Loop.Now; none where it is past
	waiters   map[budget.ID][]waiter
	customers map[balance.RequestID]budget.ID // of connections that count towards concurrency limits
	slowStart slowStart
	addrs     map[int]childAddresses // of children, by number
	logged    loggedState
	counters  counters
}

// Sender sends messages to other nodes, by their numbers. They may arrive late, twice or never. It does not block.
type Sender interface {
	SendToPeer(to int, message budget.Message)
	SendToChild(to int, response budget.LeaseResponse)
}

// quotaSource is what a member of a group and a control machine have in common.
type quotaSource interface {
	Define(now time.Duration, spec budget.Spec)
	SetRule(kind uint8, ofKind budget.Rule)
	Drop(id budget.ID)
	Tick(now time.Duration) []budget.Action
	Leave(now time.Duration) []budget.Action
}

// New returns the control plane of a node that starts. Nothing is sent or received before Listen.
func New(cfg Config, loop Loop, log *zap.Logger) *Manager {
	m := &Manager{loop: loop, log: log, cfg: cfg, waiters: map[budget.ID][]waiter{},
		customers: map[balance.RequestID]budget.ID{}, slowStart: newSlowStart(), addrs: map[int]childAddresses{},
		quotas: budget.New(cfg.groupSettings(), cfg.Incarnation, 0)}
	m.source = m.quotas
	if cfg.isControlMachine() {
		m.parent = budget.NewParent(cfg.nodeSettings(), m.quotas, cfg.Incarnation, 0)
		m.source = m.parent
	}
	for _, limit := range cfg.Limits {
		if limit.Units > 0 {
			m.limited[limit.Kind] = true
			m.source.SetRule(uint8(limit.Kind), cfg.budgetRule(limit))
		}
	}
	return m
}
