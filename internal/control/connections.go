package control

import (
	"slices"

	"brassmux/balance"
	"brassmux/budget"
)

// HoldConnection counts a request as one of its customer's open connections until ReleaseConnection. Acquired means
// that a unit of OpenConnections was acquired for it; else it was open before, and counts even over the limit.
func (m *Manager) HoldConnection(request balance.RequestID, customer uint64, acquired bool) {
	if !m.HasLimit(OpenConnections) {
		return
	}
	id := quotaID(OpenConnections, customer)
	if !acquired {
		m.quotas.Adopt(m.loop.Uptime(), id)
	}
	m.customers[request] = id
}

// ReleaseConnection stops counting a request. It does nothing for one that does not count.
func (m *Manager) ReleaseConnection(request balance.RequestID) {
	if m == nil {
		return
	}
	if id, ok := m.customers[request]; ok {
		m.quotas.Release(m.loop.Uptime(), id)
		delete(m.customers, request)
	}
}

// shedConnections moves the latest clients of a customer, as many as have leases that are not renewed.
func (m *Manager) shedConnections(expiring budget.LeaseExpiring) {
	var requests []balance.RequestID
	for request, id := range m.customers {
		if id == expiring.ID {
			requests = append(requests, request)
		}
	}
	slices.Sort(requests)
	for _, request := range requests[max(len(requests)-expiring.Units, 0):] {
		m.loop.MoveClient(request)
	}
}
