package control

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/budget"
)

// Tick updates the limits of servers in slow start, which grow over time, and sends the messages that are due. It may
// be called earlier than scheduled.
func (m *Manager) Tick() {
	if m != nil {
		m.UpdateSlowStartLimits()
		m.sendDueMessages()
	}
}

// sendDueMessages sends the messages that are due, applies the other actions that result, and logs and publishes the
// node's state.
func (m *Manager) sendDueMessages() {
	m.hasUnsentRequest = false
	m.applyActions(m.participant.Tick(m.loop.Uptime()))
	m.logState()
	m.publishCounters()
}

// HandlePeerMessage handles a message from a member of this node's group or from one of its control machines.
func (m *Manager) HandlePeerMessage(from int, message budget.Message) {
	if m.parent == nil {
		m.applyActions(m.member.HandleMessage(m.loop.Uptime(), from, message))
		return
	}
	actions := m.parent.HandlePeerMessage(m.loop.Uptime(), from, message)
	m.applyActions(append(actions, budget.ScheduleTick{After: m.parent.NextTick()}))
}

// HandleChildMessage handles a message from a child at a control machine. Responses are sent to the address from which
// the message was received.
func (m *Manager) HandleChildMessage(from int, addr netip.AddrPort, message budget.Message) {
	m.recordChildAddress(from, message.SenderIncarnation(), addr)
	actions := m.parent.HandleChildMessage(m.loop.Uptime(), from, message)
	m.applyActions(append(actions, budget.ScheduleTick{After: m.parent.NextTick()}))
}

// Leave returns all units that this node holds to the other nodes. The limits of servers in slow start are left to the
// next process of this node, which may already be running.
func (m *Manager) Leave() {
	if m != nil {
		m.applyActions(m.participant.Leave(m.loop.Uptime()))
	}
}

// ReplaceControlMachines replaces the control machines of a node. The addresses are in order of preference and have to
// be valid.
func (m *Manager) ReplaceControlMachines(addrs []string) {
	if err := m.peers.SetPeers(addrs); err != nil {
		m.log.Error("invalid addresses of control machines", zap.Error(err))
		return
	}
	m.member.ReplaceParents(m.loop.Uptime(), len(addrs))
	m.log.Info("control machines replaced", zap.Strings("control", addrs))
	m.sendDueMessages()
}

// State returns the node's state in its group.
func (m *Manager) State() budget.State { return m.member.State(m.loop.Uptime()) }

// applyActions carries out actions. It sends all messages first, because the other actions may acquire units again and
// so change the quotas.
func (m *Manager) applyActions(actions []budget.Action) {
	var answeredServers []balance.ServerID
	var answeredQuotas []budget.ID
	var expiringLeases []budget.LeaseExpiring
	for _, action := range actions {
		switch action := action.(type) {
		case budget.SendRequest:
			m.sender.SendToPeer(action.To, action.Request)
		case budget.SendResponse:
			m.sendResponse(action)
		case budget.ScheduleTick:
			m.scheduleTick(action.After)
		case budget.LeaseExpiring:
			expiringLeases = append(expiringLeases, action)
		case budget.RequestAnswered:
			if action.ID.Kind == uint8(SlowStart) {
				answeredServers = append(answeredServers, balance.ServerID(action.ID.Subject))
			} else {
				answeredQuotas = append(answeredQuotas, action.ID)
			}
		}
	}
	for _, lease := range expiringLeases {
		m.moveClients(lease)
	}
	m.completeWaiters(answeredQuotas)
	for _, server := range answeredServers {
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

func (m *Manager) scheduleTick(delay time.Duration) {
	now := m.loop.Now()
	if at := now + delay; m.nextTick <= now || at < m.nextTick {
		m.nextTick = at
		m.loop.WakeAt(at)
	}
}

// loggedState is the state of the node's group and its children that was last logged.
type loggedState struct {
	group       budget.State
	hasChildren bool
}

// logState logs the leader of the group, its quorum and the recovery of this node when one of them changes. At a
// control machine it also logs the number of children when the first one starts to follow or none is left.
func (m *Manager) logState() {
	state, lastLogged := m.member.State(m.loop.Uptime()), &m.lastLogged.group
	if state.Leader != lastLogged.Leader || state.HasQuorum != lastLogged.HasQuorum ||
		state.Recovering != lastLogged.Recovering {
		*lastLogged = state
		m.log.Info("quota group", zap.Int("leader", state.Leader), zap.Bool("has_quorum", state.HasQuorum),
			zap.Bool("recovering", state.Recovering))
	}
	if m.parent == nil {
		return
	}
	children := m.parent.State(m.loop.Uptime()).Children
	if hasChildren := children > 0; hasChildren != m.lastLogged.hasChildren {
		m.lastLogged.hasChildren = hasChildren
		m.log.Info("children of this control machine", zap.Int("followers", children))
	}
}
