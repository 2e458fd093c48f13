package control

import (
	"time"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/internal/discovery"
)

// stateUp is the state of a listed server that takes clients.
const stateUp = "up"

// maxKnownServers bounds the servers whose first start is remembered. Past it all are forgotten, and a server that
// starts again counts as a new one.
const maxKnownServers = 8192

// slowStart holds the quotas of servers in slow start.
type slowStart struct {
	quotas map[balance.ServerID]budget.ID

	// firstStart is the start under which a server was first listed, in ms since the Unix epoch.
	firstStart map[balance.ServerID]int64

	// dropAt is when a quota that is no longer in use is dropped. A server may come back while units of it count.
	dropAt map[budget.ID]time.Duration
}

func newSlowStart() slowStart {
	return slowStart{quotas: map[balance.ServerID]budget.ID{}, firstStart: map[balance.ServerID]int64{},
		dropAt: map[budget.ID]time.Duration{}}
}

// Remaining is part of balance.SlowStartQuotas.
func (m *Manager) Remaining(server balance.ServerID) int {
	return m.quotas.Available(m.loop.Uptime(), m.slowStart.quotas[server])
}

// RequestMore is part of balance.SlowStartQuotas.
func (m *Manager) RequestMore(server balance.ServerID) bool {
	requested := m.quotas.Request(m.loop.Uptime(), m.slowStart.quotas[server])
	m.requested = m.requested || requested
	return requested
}

// Take is part of balance.SlowStartQuotas.
func (m *Manager) Take(server balance.ServerID) bool {
	return m.quotas.Acquire(m.loop.Uptime(), m.slowStart.quotas[server])
}

// InSlowStart reports whether a server has started lately, so that attempts at it are limited.
func (m *Manager) InSlowStart(server balance.ServerID) bool {
	_, ok := m.slowStart.quotas[server]
	return ok
}

// UpdateSlowStartLimits sets the limits of servers in slow start by the endpoint list and the time: in a window all
// nodes together may send each what it surely bears, and one attempt more. docs/design.md derives the bound.
func (m *Manager) UpdateSlowStartLimits() {
	if m == nil {
		return
	}
	servers := m.loop.Servers()
	if len(m.slowStart.firstStart) > maxKnownServers {
		clear(m.slowStart.firstStart)
	}
	now, uptime, ready := m.loop.Now(), m.loop.Uptime(), countReady(servers)
	for id, server := range servers {
		if _, known := m.slowStart.firstStart[id]; !known {
			m.slowStart.firstStart[id] = server.StartedAtMillis
		}
		if server.State == stateUp && server.StartedAtMillis > 0 {
			m.limitServer(id, server.StartedAtMillis, now, uptime, ready)
		}
	}
	for id, quota := range m.slowStart.quotas {
		server, inList := servers[id]
		if !inList || server.State != stateUp || now >= m.loop.StartedAt(id)+m.cfg.Settings.SlowStartWindow {
			m.dropLater(quota, uptime)
			delete(m.slowStart.quotas, id)
		}
	}
	for quota, at := range m.slowStart.dropAt {
		if uptime >= at {
			m.source.Drop(quota)
			delete(m.slowStart.dropAt, quota)
		}
	}
}

func countReady(servers map[balance.ServerID]discovery.Endpoint) (ready int) {
	for _, server := range servers {
		if server.State == stateUp {
			ready++
		}
	}
	return ready
}

// limitServer sets the limit of a server that is up, as long as it is in slow start. Start is the listed time, in ms
// since the Unix epoch.
func (m *Manager) limitServer(id balance.ServerID, start int64, now, uptime time.Duration, ready int) {
	settings := &m.cfg.Settings
	quota := budget.ID{Kind: uint8(SlowStart), Subject: uint64(id), Since: start}
	if former, known := m.slowStart.quotas[id]; known && former != quota {
		m.dropLater(former, uptime)
	}
	startedAt := m.loop.StartedAt(id)
	if now >= startedAt+settings.SlowStartWindow {
		return
	}
	m.slowStart.quotas[id] = quota
	delete(m.slowStart.dropAt, quota)
	rampLimit, baseLimit := settings.WarmServerAttemptLimit(ready), 1
	if m.slowStart.firstStart[id] != start { // it has restarted, which other nodes may not know yet
		rampLimit, baseLimit = rampLimit*balance.NotifiedNodesFraction, 0
	}
	m.source.Define(uptime, budget.Spec{
		ID:           quota,
		BaseLimit:    baseLimit,
		RampLimit:    rampLimit,
		RampFrom:     settings.SlowStartMinCapacity,
		RampStart:    startedAt - m.cfg.Epoch + settings.OverloadWindow/2,
		RampDuration: settings.SlowStartWindow,
		Window:       settings.OverloadWindow + m.cfg.sendWithin(),
	})
}

// dropLater has a quota dropped once none of its units counts any more.
func (m *Manager) dropLater(quota budget.ID, uptime time.Duration) {
	m.slowStart.dropAt[quota] = uptime + 2*m.quotas.MaxWindow()
}
