package control

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/budget"
)

// Tick updates limits, which grow as servers warm up, and sends messages that are due. To call it early does no harm.
func (m *Manager) Tick() {
	if m != nil {
		m.UpdateSlowStartLimits()
		m.exchange()
	}
}

// exchange sends the messages that are due, and applies what else follows.
func (m *Manager) exchange() {
	m.requested = false
	m.apply(m.source.Tick(m.loop.Uptime()))
	m.logState()
	m.publishCounters()
}

// HandlePeerMessage handles a message of a member of the group, or of a control machine of this node.
func (m *Manager) HandlePeerMessage(from int, message budget.Message) {
	if m.parent == nil {
		m.apply(m.quotas.HandleMessage(m.loop.Uptime(), from, message))
		return
	}
	actions := m.parent.HandlePeerMessage(m.loop.Uptime(), from, message)
	m.apply(append(actions, budget.ScheduleTick{After: m.parent.NextTick()}))
}

// HandleChildMessage handles a message of a child, at a control machine. Answers go to the address that it came from.
func (m *Manager) HandleChildMessage(from int, addr netip.AddrPort, message budget.Message) {
	m.noteChildAddress(from, message.SenderIncarnation(), addr)
	actions := m.parent.HandleChildMessage(m.loop.Uptime(), from, message)
	m.apply(append(actions, budget.ScheduleTick{After: m.parent.NextTick()}))
}

// Leave returns all units that this node holds to the others. What servers in slow start may be sent is left to the
// next process of this node, which may run already.
func (m *Manager) Leave() {
	if m != nil {
		m.apply(m.source.Leave(m.loop.Uptime()))
	}
}

// ReplaceControlMachines replaces the control machines of a node. Their addresses, by preference, have been checked.
func (m *Manager) ReplaceControlMachines(addrs []string) {
	if err := m.peers.SetPeers(addrs); err != nil {
		m.log.Error("invalid addresses of control machines", zap.Error(err))
		return
	}
	m.quotas.ReplaceParents(m.loop.Uptime(), len(addrs))
	m.log.Info("control machines replaced", zap.Strings("control", addrs))
	m.exchange()
}

// State returns the node's state in its group.
func (m *Manager) State() budget.State { return m.quotas.State(m.loop.Uptime()) }

// apply carries out actions: first all messages, then what may acquire units again and so change the quotas.
func (m *Manager) apply(actions []budget.Action) {
	var servers []balance.ServerID
	var answered []budget.ID
	var expiring []budget.LeaseExpiring
	for _, action := range actions {
		switch action := action.(type) {
		case budget.SendRequest:
			m.sender.SendToPeer(action.To, action.Request)
		case budget.SendResponse:
			m.sendResponse(action)
		case budget.ScheduleTick:
			m.wakeAfter(action.After)
		case budget.LeaseExpiring:
			expiring = append(expiring, action)
		case budget.RequestAnswered:
			if action.ID.Kind == uint8(SlowStart) {
				servers = append(servers, balance.ServerID(action.ID.Subject))
			} else {
				answered = append(answered, action.ID)
			}
		}
	}
	for _, lease := range expiring {
		m.shedConnections(lease)
	}
	m.serveWaiters(answered)
	for _, server := range servers {
		m.loop.OnQuotaAnswer(server)
	}
}

func (m *Manager) sendResponse(action budget.SendResponse) {
	if action.ToChild {
		m.sender.SendToChild(action.To, action.Response)
	} else {
		m.sender.SendToPeer(action.To, action.Response)
	}
}

func (m *Manager) wakeAfter(delay time.Duration) {
	now := m.loop.Now()
	if at := now + delay; m.wakeAt <= now || at < m.wakeAt {
		m.wakeAt = at
		m.loop.WakeAt(at)
	}
}

// loggedState is what was last logged of the node's place among the others.
type loggedState struct {
	group       budget.State
	hasChildren bool
}

// logState logs who leads the group, with what support, and whether children follow, whenever one of these has changed.
func (m *Manager) logState() {
	state, logged := m.quotas.State(m.loop.Uptime()), &m.logged.group
	if state.Leader != logged.Leader || state.HasQuorum != logged.HasQuorum || state.Recovering != logged.Recovering {
		*logged = state
		m.log.Info("quota group", zap.Int("leader", state.Leader), zap.Bool("has_quorum", state.HasQuorum),
			zap.Bool("recovering", state.Recovering))
	}
	if m.parent == nil {
		return
	}
	children := m.parent.State(m.loop.Uptime()).Children
	if has := children > 0; has != m.logged.hasChildren {
		m.logged.hasChildren = has
		m.log.Info("children of this control machine", zap.Int("followers", children))
	}
}
