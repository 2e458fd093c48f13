package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HandoverState is the state that one process of a node passes to its successor: its observations and its use
// of limits. It does not contain established connections; the successor receives each as an
// ExistingConnection.
type HandoverState struct {
	// TakenAt is the time at which the state was taken, by the clock of the process that took it; 0 if
	// unknown. The clock of the successor may differ.
	TakenAt        time.Duration `json:"now"`
	ConnectionRate float64       `json:"rate"` // new connections per second
	RateUpdatedAt  time.Duration `json:"rated"`

	// Outage is the last outage of the discovery service, nil if there was none since the list was received.
	Outage *OutageRecord `json:"outage,omitempty"`

	Servers    []ServerRecord   `json:"servers"`
	Affinities []AffinityRecord `json:"clients"`
}

// OutageRecord is an outage of the discovery service.
type OutageRecord struct {
	StartedAt  time.Duration `json:"started"` // of the first call that failed at once
	LastCallAt time.Duration `json:"last"`    // of the last such call
	Ongoing    bool          `json:"ongoing"` // no other call has been made since
}

// ServerRecord is the state of a server that its entry in the endpoint list does not contain.
type ServerRecord struct {
	ID                  ServerID      `json:"id"`
	StartedAt           time.Duration `json:"up_since"`
	EjectedUntil        time.Duration `json:"aside"`
	ConsecutiveFailures int           `json:"signs"`

	Utilisation            float64       `json:"load"`
	ReportedAt             time.Duration `json:"loaded"`
	ConnectionsSinceReport int           `json:"since"`

	LatestStart time.Duration `json:"started"` // latest time at which the server may have started
	// StartLearnedAt is the time at which the node learned of that start; 0 if it did not.
	StartLearnedAt time.Duration `json:"told"`
	// AcceptedAt is a time after which the server has accepted clients; 0 if it has not for long.
	AcceptedAt time.Duration `json:"accepted,omitempty"`
}

// AffinityRecord is a client's entry in the affinity table.
type AffinityRecord struct {
	ClientKey string        `json:"key"`
	Server    ServerID      `json:"server"`
	StartedAt time.Duration `json:"up_since"` // start time of the server
	ExpiresAt time.Duration `json:"until"`
}

// HandoverState returns the state for the successor process of this node.
func (b *Balancer) HandoverState(now time.Duration) HandoverState {
	b.updateConnectionRate(0)
	state := HandoverState{
		TakenAt: now, ConnectionRate: b.connectionRate, RateUpdatedAt: b.connectionRateUpdatedAt,
		Outage: b.listAge.record(),
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		record := b.servers[id].record()
		record.AcceptedAt = b.listAge.recordAccepted(now, b.servers[id])
		state.Servers = append(state.Servers, record)
	}
	for _, key := range slices.Sorted(maps.Keys(b.affinity.entries)) {
		state.Affinities = append(state.Affinities, b.affinity.entries[key].record(now))
	}
	return state
}

func (s *server) record() ServerRecord {
	record := ServerRecord{
		ID: s.ID, StartedAt: s.StartedAt,
		EjectedUntil: s.ejectedUntil, ConsecutiveFailures: s.consecutiveFailures,
		Utilisation: s.utilisation, ReportedAt: s.reportedAt,
		ConnectionsSinceReport: s.connectionsSinceReport,
	}
	if s.StartedAt > 0 {
		record.LatestStart, record.StartLearnedAt = s.start.latestStart, s.start.learnedAt
	}
	return record
}

func (e *affinityEntry) record(now time.Duration) AffinityRecord {
	record := AffinityRecord{
		ClientKey: e.key, Server: e.server.ID, StartedAt: e.serverStartedAt, ExpiresAt: e.expiresAt,
	}
	if e.connections > 0 {
		record.ExpiresAt = now + affinityTTL
	}
	return record
}

// Restore loads the state of the previous process. It has to be called after the first endpoint list. Records
// that do not match the list, or have times in the future, are ignored. Compared with an empty state, the
// loaded state can make this process more cautious and better informed, but has no other effect.
func (b *Balancer) Restore(now time.Duration, state HandoverState) {
	b.now = max(b.now, now)
	state.shiftClock(now)
	if state.ConnectionRate >= 0 && state.RateUpdatedAt <= now {
		b.connectionRate, b.connectionRateUpdatedAt = state.ConnectionRate, state.RateUpdatedAt
	}
	if o := state.Outage; o != nil && o.StartedAt <= o.LastCallAt && o.LastCallAt <= now {
		b.listAge.restore(*o)
	}
	for _, record := range state.Servers {
		if s := b.servers[record.ID]; s != nil && s.StartedAt == record.StartedAt {
			b.restoreServer(s, record, now)
		}
	}
	// By time of expiry, as affinityTable.idle requires.
	slices.SortFunc(state.Affinities, func(x, y AffinityRecord) int {
		return cmp.Or(cmp.Compare(x.ExpiresAt, y.ExpiresAt), cmp.Compare(x.ClientKey, y.ClientKey))
	})
	for _, record := range state.Affinities {
		b.restoreAffinity(record, now)
	}
}

func (b *Balancer) restoreServer(s *server, record ServerRecord, now time.Duration) {
	if s.StartedAt > 0 && record.StartLearnedAt <= now {
		b.startTimes.inherit(s.start, record.LatestStart, record.StartLearnedAt)
	}
	s.ejectedUntil = min(record.EjectedUntil, now+freshnessWindow<<maxEjectionDoublings)
	s.consecutiveFailures = min(max(record.ConsecutiveFailures, 0), maxEjectionDoublings)
	if record.AcceptedAt <= now {
		b.listAge.observeAccepted(s, record.AcceptedAt)
	}
	if record.ReportedAt <= now && record.Utilisation >= 0 {
		s.utilisation, s.reportedAt = record.Utilisation, max(record.ReportedAt, 0)
		s.inheritedSinceReport = max(record.ConnectionsSinceReport, 0)
	}
}

func (b *Balancer) restoreAffinity(record AffinityRecord, now time.Duration) {
	s := b.servers[record.Server]
	tableFull := len(b.affinity.entries) >= b.affinity.maxEntries
	if s == nil || record.ClientKey == "" || record.ExpiresAt <= now || tableFull {
		return
	}
	restored := &affinityEntry{key: record.ClientKey, server: s, serverStartedAt: record.StartedAt,
		expiresAt: min(record.ExpiresAt, now+affinityTTL)}
	b.affinity.entries[restored.key] = restored
	b.affinity.idle = append(b.affinity.idle, *restored)
}

// shiftClock converts times by the clock of the previous process to the clock of this one, whose current time
// is now.
func (s *HandoverState) shiftClock(now time.Duration) {
	if s.TakenAt == 0 {
		return
	}
	offset := now - s.TakenAt
	shift := func(at *time.Duration) {
		if *at > 0 { // 0 means that there is no time
			*at = max(*at+offset, 1)
		}
	}
	shift(&s.RateUpdatedAt)
	if s.Outage != nil {
		shift(&s.Outage.StartedAt)
		shift(&s.Outage.LastCallAt)
	}
	for i := range s.Servers {
		record := &s.Servers[i]
		shift(&record.EjectedUntil)
		shift(&record.ReportedAt)
		shift(&record.LatestStart)
		shift(&record.StartLearnedAt)
		shift(&record.AcceptedAt)
	}
	for i := range s.Affinities {
		shift(&s.Affinities[i].ExpiresAt)
	}
	s.TakenAt = now
}

// handleExistingConnection adds a connection that was established before this process started.
func (b *Balancer) handleExistingConnection(ev ExistingConnection) {
	r, s := b.admit(ev.Request), b.ensureServer(ev.Server)
	r.established, r.answered = true, true
	b.recordAttempt(r, s)
	switch {
	case ev.Inherited && s.inheritedSinceReport > 0:
		s.inheritedSinceReport-- // the load report does not include the connection
	case ev.Inherited:
		s.connectionsSinceReport--
	}
}

// handleHandedOver blocks attempts on servers in slow start for an OverloadWindow, in both directions of the
// handover, because both processes may have made some within that window.
func (b *Balancer) handleHandedOver(ev HandedOver) {
	b.handedOver = ev.ToSuccessor
	b.startTimes.block(b.now + b.config.OverloadWindow)
}
