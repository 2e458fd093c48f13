package control

import (
	"time"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/internal/discovery"
)

// stateUp is the state of a listed server that accepts clients.
const stateUp = "up"

// maxKnownServers is the maximum number of servers whose first start is recorded. When it is exceeded, all records are
// deleted, and a server that restarts after that is treated as a new one.
const maxKnownServers = 8192

// slowStart holds the quotas of servers in slow start.
type slowStart struct {
	quotas map[balance.ServerID]budget.ID

	// firstStart is the start time with which a server was first listed, in ms since the Unix epoch.
	firstStart map[balance.ServerID]int64

	// dropAt is the uptime at which a quota that is no longer in use is dropped. It is kept until then, as units of it
	// still count and the server may be listed again.
	dropAt map[budget.ID]time.Duration
}

func newSlowStart() slowStart {
	return slowStart{quotas: map[balance.ServerID]budget.ID{}, firstStart: map[balance.ServerID]int64{},
		dropAt: map[budget.ID]time.Duration{}}
}

// Remaining implements balance.SlowStartQuotas.
func (m *Manager) Remaining(server balance.ServerID) int {
	return m.member.Available(m.loop.Uptime(), m.slowStart.quotas[server])
}

// RequestMore implements balance.SlowStartQuotas.
func (m *Manager) RequestMore(server balance.ServerID) bool {
	requested := m.member.Request(m.loop.Uptime(), m.slowStart.quotas[server])
	m.hasUnsentRequest = m.hasUnsentRequest || requested
	return requested
}

// Take implements balance.SlowStartQuotas.
func (m *Manager) Take(server balance.ServerID) bool {
	return m.member.Acquire(m.loop.Uptime(), m.slowStart.quotas[server])
}

// InSlowStart reports whether attempts at a server are limited because it started recently.
func (m *Manager) InSlowStart(server balance.ServerID) bool {
	_, ok := m.slowStart.quotas[server]
	return ok
}

// UpdateSlowStartLimits sets the limits of servers in slow start from the endpoint list and the current time. In a
// window, all nodes together may send each server as many attempts as it is sure to bear, plus one. docs/design.md
// derives the limit.
func (m *Manager) UpdateSlowStartLimits() {
	if m == nil {
		return
	}
	servers := m.loop.Servers()
	if len(m.slowStart.firstStart) > maxKnownServers {
		clear(m.slowStart.firstStart)
	}
	now, uptime, upServerCount := m.loop.Now(), m.loop.Uptime(), countUpServers(servers)
	for id, server := range servers {
		if _, known := m.slowStart.firstStart[id]; !known {
			m.slowStart.firstStart[id] = server.StartedAtMillis
		}
		if server.State == stateUp && server.StartedAtMillis > 0 {
			m.setServerLimit(id, server.StartedAtMillis, now, uptime, upServerCount)
		}
	}
	for id, quota := range m.slowStart.quotas {
		server, inList := servers[id]
		if !inList || server.State != stateUp || now >= m.loop.StartedAt(id)+m.cfg.Settings.SlowStartWindow {
			m.scheduleDrop(quota, uptime)
			delete(m.slowStart.quotas, id)
		}
	}
	for quota, at := range m.slowStart.dropAt {
		if uptime >= at {
			m.participant.Drop(quota)
			delete(m.slowStart.dropAt, quota)
		}
	}
}

func countUpServers(servers map[balance.ServerID]discovery.Endpoint) (count int) {
	for _, server := range servers {
		if server.State == stateUp {
			count++
		}
	}
	return count
}

// setServerLimit sets the limit of a server that is up, if it is in slow start. startMillis is its listed start time in
// ms since the Unix epoch.
func (m *Manager) setServerLimit(id balance.ServerID, startMillis int64, now, uptime time.Duration,
	upServerCount int) {
	settings := &m.cfg.Settings
	quota := budget.ID{Kind: uint8(SlowStart), Subject: uint64(id), Since: startMillis}
	if previous, known := m.slowStart.quotas[id]; known && previous != quota {
		m.scheduleDrop(previous, uptime)
	}
	startedAt := m.loop.StartedAt(id)
	if now >= startedAt+settings.SlowStartWindow {
		return
	}
	m.slowStart.quotas[id] = quota
	delete(m.slowStart.dropAt, quota)
	rampLimit, baseLimit := settings.WarmServerAttemptLimit(upServerCount), 1
	if m.slowStart.firstStart[id] != startMillis { // a restart, of which other nodes may not be notified yet
		rampLimit, baseLimit = rampLimit*balance.NotifiedNodesFraction, 0
	}
	m.participant.Define(uptime, budget.Spec{
		ID:           quota,
		BaseLimit:    baseLimit,
		RampLimit:    rampLimit,
		RampFrom:     settings.SlowStartMinCapacity,
		RampStart:    startedAt - m.cfg.Epoch + settings.OverloadWindow/2,
		RampDuration: settings.SlowStartWindow,
		Window:       settings.OverloadWindow + m.cfg.maxSendDelay(),
	})
}

// scheduleDrop schedules a quota to be dropped when none of its units counts any more.
func (m *Manager) scheduleDrop(quota budget.ID, uptime time.Duration) {
	m.slowStart.dropAt[quota] = uptime + 2*m.member.MaxWindow()
}
