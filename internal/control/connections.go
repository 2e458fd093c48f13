package control

import (
	"slices"

	"brassmux/balance"
	"brassmux/budget"
)

// HoldConnection counts a request as one of its customer's open connections until ReleaseConnection is called. acquired
// is true if a unit of OpenConnections was acquired for it. Otherwise the connection was open before, and is counted
// even if that exceeds the limit.
func (m *Manager) HoldConnection(request balance.RequestID, customer uint64, acquired bool) {
	if !m.HasLimit(OpenConnections) {
		return
	}
	id := quotaID(OpenConnections, customer)
	if !acquired {
		m.member.Adopt(m.loop.Uptime(), id)
	}
	m.openConnections[request] = id
}

// ReleaseConnection stops counting a request as an open connection. It does nothing if the request is not counted.
func (m *Manager) ReleaseConnection(request balance.RequestID) {
	if m == nil {
		return
	}
	if id, ok := m.openConnections[request]; ok {
		m.member.Release(m.loop.Uptime(), id)
		delete(m.openConnections, request)
	}
}

// moveClients moves the most recent clients of a customer, one for each unit whose lease expires.
func (m *Manager) moveClients(expiring budget.LeaseExpiring) {
	var requests []balance.RequestID
	for request, id := range m.openConnections {
		if id == expiring.ID {
			requests = append(requests, request)
		}
	}
	slices.Sort(requests)
	for _, request := range requests[max(len(requests)-expiring.Units, 0):] {
		m.loop.MoveClient(request)
	}
}
