// Package control is the control plane of a node. It acquires units of quotas that all nodes share, so that together
// the nodes stay within limits that a single node cannot enforce. To do so it exchanges messages with the other nodes
// or with control machines.
//
// The package owns the node's share of the quotas, the waiters for units and the limits of servers in slow start.
// Package budget divides and leases quotas, package transport sends and receives messages, and package balance assigns
// clients to servers.
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

// Loop is the part of the node's event loop that the control plane uses. All methods except Post are called from the
// loop's goroutine.
type Loop interface {
	// Post queues an event for the loop and reports whether the queue had room for it. It never blocks and is safe for
	// concurrent use.
	Post(event func()) bool
	// Now returns the time since the Unix epoch by the node's clock, which never jumps.
	Now() time.Duration
	// Uptime returns the monotonic time since the process started.
	Uptime() time.Duration
	// WakeAt schedules a call of Manager.Tick for the time at, on the clock of Now.
	WakeAt(at time.Duration)
	// Servers returns the servers in the endpoint list. The caller must not modify the map.
	Servers() map[balance.ServerID]discovery.Endpoint
	// StartedAt returns the time at which a listed server started, on the clock of Now.
	StartedAt(server balance.ServerID) time.Duration
	// OnQuotaAnswer is called when a request for units of a server's slow start quota has been answered, whether or not
	// units were granted.
	OnQuotaAnswer(server balance.ServerID)
	// MoveClient makes a client close its connection and open another one.
	MoveClient(request balance.RequestID)
}

// Config is the configuration of a Manager. Package node validates it.
type Config struct {
	Settings    balance.Config // including NodeCount, NodeIndex and the slow start settings
	Incarnation uint64         // differs between the processes of a node
	Epoch       time.Duration  // Loop.Now at the time when Loop.Uptime was 0

	Limits                    []Limit
	GuaranteedFraction        float64       // fraction of each limit, 0 to 1, that is divided evenly among the nodes
	ControlGuaranteedFraction float64       // fraction of the rest that is divided evenly among the control machines
	LeaseTerm                 time.Duration // time within which a leased unit has to be used
	ChildLeaseTerm            time.Duration // the same for units leased from control machines
	ConnectionLeaseTerm       time.Duration // time within which the lease of an open connection has to be renewed
	HeartbeatInterval         time.Duration // between a node's messages
	MaxClockDrift             float64       // maximum difference in rate of two monotonic clocks, as a fraction
	ConnectTimeout            time.Duration // of connections to servers
	ListConnectTimeout        time.Duration // of connections to the discovery service
	ConnectionCloseDelay      time.Duration // time that a client takes to close a connection

	Listen       string   // this node's address for messages
	Peers        []string // addresses of the group by index: all nodes or, at a control machine, all control machines
	Parents      []string // addresses of an ordinary node's control machines, in order of preference
	ChildListen  string   // a control machine's address for messages from its children; "" at an ordinary node
	ControlIndex int      // a control machine's index
	MaxChildren  int      // number of indexes that a control machine's children may have
	RetryListen  bool     // another process of this node may still use the addresses; see transport.Config

	// SimulateLink delays or drops messages in the laboratory; see transport.Config.
	SimulateLink func(to netip.AddrPort) (delay time.Duration, ok bool)
}

func (c *Config) isControlMachine() bool { return c.ChildListen != "" }

// sendMargin is the maximum time from a decision to the start of a connection.
const sendMargin = 50 * time.Millisecond

// maxSendDelay returns the maximum time from the decision for an attempt to its arrival at the server. Windows are
// extended by it, because a unit is acquired at the time of the decision but counts at the time of arrival.
func (c *Config) maxSendDelay() time.Duration { return c.ConnectTimeout + sendMargin }

// maxListCallDelay returns the same time for a call for the endpoint list.
func (c *Config) maxListCallDelay() time.Duration { return c.ListConnectTimeout + sendMargin }

// Manager acquires units of shared quotas for a node. Its methods have to be called from the loop's goroutine unless
// stated otherwise. A nil *Manager is valid at a node that shares no quotas: it limits nothing.
type Manager struct {
	loop Loop
	log  *zap.Logger
	cfg  Config

	member      *budget.Member // of this node's group
	parent      *budget.Parent // nil except at a control machine
	participant participant    // parent at a control machine, else member

	peers    *transport.Conn
	children *transport.Conn // nil except at a control machine
	sender   Sender

	hasLimit         [kindCount]bool
	hasUnsentRequest bool          // whether a request for units has not been sent yet
	nextTick         time.Duration // next scheduled call of Tick, on the clock of Loop.Now; none if in the past
	waiters          map[budget.ID][]waiter
	openConnections  map[balance.RequestID]budget.ID // quotas of connections that count towards concurrency limits
	slowStart        slowStart
	childAddrs       map[int]childAddresses // by the index of the child
	lastLogged       loggedState
	counters         counters
}

// Sender sends messages to other nodes, given their indexes. Messages may arrive late, twice or never. Its methods do
// not block.
type Sender interface {
	SendToPeer(to int, message budget.Message)
	SendToChild(to int, response budget.LeaseResponse)
}

// participant is the common interface of budget.Member and budget.Parent.
type participant interface {
	Define(now time.Duration, spec budget.Spec)
	SetRule(kind uint8, kindRule budget.Rule)
	Drop(id budget.ID)
	Tick(now time.Duration) []budget.Action
	Leave(now time.Duration) []budget.Action
}

// New returns the Manager of a starting node. It sends and receives no messages before Listen.
func New(cfg Config, loop Loop, log *zap.Logger) *Manager {
	m := &Manager{loop: loop, log: log, cfg: cfg, waiters: map[budget.ID][]waiter{},
		openConnections: map[balance.RequestID]budget.ID{}, slowStart: newSlowStart(),
		childAddrs: map[int]childAddresses{}, member: budget.New(cfg.groupSettings(), cfg.Incarnation, 0)}
	m.participant = m.member
	if cfg.isControlMachine() {
		m.parent = budget.NewParent(cfg.nodeSettings(), m.member, cfg.Incarnation, 0)
		m.participant = m.parent
	}
	for _, limit := range cfg.Limits {
		if limit.Units > 0 {
			m.hasLimit[limit.Kind] = true
			m.participant.SetRule(uint8(limit.Kind), cfg.budgetRule(limit))
		}
	}
	return m
}
