package budget

import (
	"slices"
	"time"
)

// A concurrency limit bounds the units in use at the same time. Its reservations are not delegated. The leader with a
// quorum leases units beyond a reservation to a member, and renews the leases as long as it responds. If it does not
// respond, the member returns LeaseExpiring to its caller, which ends the units well before their lease expires.
//
// After a change of leader the members report the units that they hold to the new leader. It renews their leases at
// once, and grants new leases only after every lease of the previous leader has expired.

// expiringDivisor defines the last part of the term of a lease, term/expiringDivisor, in which its units are to be
// ended. A process that is paused for longer than that part less a heartbeat interval may end them too late.
const expiringDivisor = 3

// concurrencyHolding counts the units of a concurrency limit that a member holds.
type concurrencyHolding struct {
	reserved         int // in use, from the reservation
	leased           int // in use, under leases
	expired          int // in use although their leases have expired
	idle             int // leased, not in use
	recordedByLeader int // leased to this member according to the leader
	leaseEnd         time.Duration
}

// totalUnits returns the sum of all counts. It is 0 if the member holds nothing and the leader records nothing for it.
func (c *concurrencyHolding) totalUnits() int {
	return c.reserved + c.leased + c.expired + c.idle + c.recordedByLeader
}

// expireConcurrencyLeases counts the units of expired leases as expired, and drops idle units near the end of their
// lease, so that they are not used any more.
func (b *base) expireConcurrencyLeases(account *account) {
	if !account.isConcurrencyLimit() {
		return
	}
	holding := &account.concurrency
	if b.now >= holding.leaseEnd {
		holding.leased, holding.idle, holding.expired = 0, 0, holding.expired+holding.leased
	} else if b.isExpiring(account) {
		holding.idle = 0
	}
}

// isExpiring reports whether the units under leases are to be ended.
func (b *base) isExpiring(account *account) bool {
	return b.now >= account.concurrency.leaseEnd-account.rule.ConcurrencyLeaseTerm/expiringDivisor
}

// acquireConcurrent takes one unit of a concurrency limit, and reports whether there was one.
func (b *base) acquireConcurrent(account *account) bool {
	holding := &account.concurrency
	switch {
	case b.availableReservation(account) > 0:
		holding.reserved++
		b.counters.Reserved++
	case holding.idle > 0:
		holding.idle--
		holding.leased++
		b.counters.Leased++
	default:
		return false
	}
	return true
}

// releaseConcurrent ends one unit. Units that other members may then use are ended before those of the reservation.
func (b *base) releaseConcurrent(account *account) {
	switch holding := &account.concurrency; {
	case holding.expired > 0:
		holding.expired--
	case holding.leased > 0:
		holding.leased--
	case holding.reserved > 0:
		holding.reserved--
		account.reservationUses = append(account.reservationUses, b.now) // the end has effect within the window
	}
}

// appendLeaseExpiring appends the actions to end the units beyond the reservation whose leases have expired or expire
// soon.
func (b *base) appendLeaseExpiring(actions []Action) []Action {
	if !b.hasConcurrencyLimits {
		return actions
	}
	for _, id := range b.ids() {
		account := b.account(id)
		if !account.isConcurrencyLimit() {
			continue
		}
		holding := &account.concurrency
		units := holding.expired
		if holding.leased > 0 && b.isExpiring(account) {
			units += holding.leased
		}
		units += max(holding.reserved-b.shares(account).reserved, 0)
		if units > 0 {
			actions = append(actions, LeaseExpiring{id, units})
		}
	}
	return actions
}

// concurrencyHeld lists the units that this member has under leases or that the leader records for it, those that
// expire first at the start. It omits idle units that no request waits for, and thereby returns them to the leader.
func (b *base) concurrencyHeld() (held []Amount) {
	if !b.hasConcurrencyLimits {
		return nil
	}
	var accounts []*account
	for _, id := range b.ids() {
		account := b.account(id)
		if holding := &account.concurrency; account.isConcurrencyLimit() &&
			holding.leased+holding.idle+holding.recordedByLeader > 0 {
			accounts = append(accounts, account)
		}
	}
	slices.SortStableFunc(accounts, func(x, y *account) int {
		return int(x.concurrency.leaseEnd - y.concurrency.leaseEnd)
	})
	for _, account := range accounts[:min(len(accounts), MaxEntries)] {
		if !account.hasPendingRequest {
			account.concurrency.idle = 0
		}
		held = append(held, Amount{ID: account.ID, Units: account.concurrency.leased + account.concurrency.idle})
	}
	return held
}

// recordConcurrencyRenewal records that the leader has received the units that a request listed, and whether it has
// renewed their leases. The term of renewed leases starts at the time of the request. Only the response to the latest
// request counts.
func (b *base) recordConcurrencyRenewal(request pendingRequest, isRenewed, isLatest bool) {
	for _, held := range request.concurrencyHeld {
		account := b.account(held.ID)
		if account == nil || !isLatest {
			continue
		}
		holding := &account.concurrency
		holding.recordedByLeader = held.Units
		if leasedUnits := holding.leased + holding.idle; isRenewed && leasedUnits > 0 && held.Units >= leasedUnits {
			holding.leaseEnd = max(holding.leaseEnd, request.sentAt+account.rule.ConcurrencyLeaseTerm)
		}
	}
}

// acceptConcurrencyLease accepts a grant of a concurrency limit. All leases of a limit end with the one that expires
// first.
func (b *base) acceptConcurrencyLease(account *account, requestedAt time.Duration, units int) {
	expiry, c := requestedAt+account.rule.ConcurrencyLeaseTerm, &account.concurrency
	if c.leased+c.idle > 0 {
		expiry = min(expiry, c.leaseEnd)
	}
	if expiry > b.now {
		c.idle, c.leaseEnd, account.deniedAt = c.idle+max(units, 0), expiry, 0
		c.recordedByLeader += units
	}
}

// concurrencyLease records the units of a concurrency limit that a leader has leased to one incarnation of a member.
type concurrencyLease struct {
	units       int
	pending     []pendingLease
	effectUntil time.Duration
}

// pendingLease is a lease granted in a response that the member has not acknowledged.
type pendingLease struct {
	seq   uint64
	units int
}

// concurrencyLeaseKey identifies a concurrencyLease.
type concurrencyLeaseKey struct {
	id          ID
	node        int
	incarnation uint64
}

// totalUnits returns the acknowledged and pending units of the lease.
func (l *concurrencyLease) totalUnits() int {
	units := l.units
	for _, p := range l.pending {
		units += p.units
	}
	return units
}

// leasedConcurrencyUnits returns the number of leased units of a concurrency limit that may be in use. It removes
// expired leases.
func (l *leader) leasedConcurrencyUnits(id ID) (units int) {
	for key, lease := range l.concurrencyLeases {
		if lease.effectUntil <= l.now {
			delete(l.concurrencyLeases, key)
		} else if key.id == id {
			units += lease.totalUnits()
		}
	}
	return units
}

// availableConcurrencyUnits returns how many units of a concurrency limit the leader may lease now.
func (l *leader) availableConcurrencyUnits(account *account, hasQuorum bool) int {
	earliest := l.quorumSince + l.settings.withDrift(account.rule.ConcurrencyLeaseTerm+account.Window)
	if !hasQuorum || l.now < earliest && l.fault != faultNoConcurrencyTakeoverDelay {
		return 0
	}
	limitShares := l.shares(account)
	return limitShares.limit - limitShares.allReserved - l.outstandingUnits(account.ID) -
		l.leasedConcurrencyUnits(account.ID)
}

// renewConcurrencyLeases records the units that a member reports as held, and renews their leases.
func (l *leader) renewConcurrencyLeases(from int, request *LeaseRequest) {
	for _, held := range request.ConcurrencyHeld {
		account := l.account(held.ID)
		if account == nil || !account.isConcurrencyLimit() || held.Units < 0 {
			continue
		}
		key := concurrencyLeaseKey{held.ID, from, request.Incarnation}
		l.renewConcurrencyLease(key, account, held.Units, request.Acknowledged)
	}
}

// renewConcurrencyLease records the units that a member holds of one concurrency limit. Units that it no longer holds
// were ended before it sent the request, and may have effect for one more window.
func (l *leader) renewConcurrencyLease(key concurrencyLeaseKey, account *account, units int, acknowledged uint64) {
	lease := l.concurrencyLeases[key]
	if lease == nil {
		lease = &concurrencyLease{}
	}
	unitsBefore := lease.totalUnits()
	lease.units = units
	lease.pending = slices.DeleteFunc(lease.pending, func(p pendingLease) bool { return p.seq <= acknowledged })
	if endedUnits := unitsBefore - lease.totalUnits(); endedUnits > 0 {
		l.recordGrant(&leaderGrant{id: key.id, node: key.node, incarnation: key.incarnation, units: endedUnits,
			effectUntil: l.now + l.settings.withDrift(account.Window)})
	}
	if lease.totalUnits() > 0 {
		lease.effectUntil = l.now + l.settings.withDrift(account.rule.ConcurrencyLeaseTerm+account.Window)
		l.concurrencyLeases[key] = lease
	} else {
		delete(l.concurrencyLeases, key)
	}
}

// leaseConcurrency leases units of a concurrency limit in the response to a request.
func (l *leader) leaseConcurrency(
	from int, request *LeaseRequest, account *account, wanted int, hasQuorum bool,
) (units int) {
	if units = min(wanted, maxWantedUnits, l.availableConcurrencyUnits(account, hasQuorum)); units <= 0 {
		return 0
	}
	key := concurrencyLeaseKey{account.ID, from, request.Incarnation}
	lease := l.concurrencyLeases[key]
	if lease == nil {
		lease = &concurrencyLease{}
		l.concurrencyLeases[key] = lease
	}
	lease.pending = append(lease.pending, pendingLease{request.Seq, units})
	lease.effectUntil = l.now + l.settings.withDrift(account.rule.ConcurrencyLeaseTerm+account.Window)
	return units
}
