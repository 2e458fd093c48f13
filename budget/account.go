package budget

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// base holds the state that the roles of a member share: its settings, clock and accounts.
type base struct {
	settings           Settings
	incarnation        uint64
	now                time.Duration // latest time that a call has passed
	started            time.Duration
	recoveredAt        time.Duration // until then units used by an earlier incarnation may have effect
	noReservationUntil time.Duration // until then the reservations may belong to another incarnation, or are given up
	isLeaving          bool

	accounts               map[ID]*account
	rules                  map[uint8]Rule
	hasConcurrencyLimits   bool // at least one rule is a concurrency limit
	sweptAt                time.Duration
	unlistedDelegatedUntil time.Duration    // until then reservations of new accounts of rules are delegated
	pendingReleases        []pendingRelease // not yet reported to the leader
	maxWantedUnits         int              // units of one budget in one request

	actions  []Action // of the current call
	counters *Counters
	fault    fault
}

// account holds a member's reservation, delegations and grants of one budget.
type account struct {
	Spec
	rule              *Rule // rule that defines the budget, nil for none
	concurrency       concurrencyHolding
	pendingSpec       *Spec // replaces Spec, with a higher limit, at pendingFrom; nil for none
	pendingFrom       time.Duration
	reservationUses   []time.Duration // times of the uses of the reservation in the window
	delegations       []delegation
	grants            []heldGrant
	recentDemand      []time.Duration // times of recent uses and requests, granted or not
	unsentUnits       int             // requested units that no message has named yet
	deniedAt          time.Duration   // time of the leader's latest denial, 0 for none
	hasPendingRequest bool            // a call of Request is unanswered
	lastRequestSeq    uint64          // Seq of the latest request that named units of the budget
}

// delegation is a number of units that the member does not use until a time, since the leader may grant them.
type delegation struct {
	units int
	until time.Duration
}

// heldGrant is a grant that this member has received.
type heldGrant struct {
	grantor uint64 // incarnation of the leader that granted it
	number  uint64
	units   int
	used    int
	lastUse time.Duration
	until   time.Duration
}

// pendingRelease is a Release that has not been sent to its grantor. Until it is sent, SinceUse holds the time of the
// last use.
type pendingRelease struct {
	Release
	grantor uint64
}

func (g *heldGrant) release() pendingRelease {
	return pendingRelease{Release{Grant: g.number, Used: g.used, SinceUse: int64(g.lastUse)}, g.grantor}
}

// define adds a budget, or replaces its Spec. A Spec that may have a higher limit takes effect after the recovery
// delay.
func (b *base) define(spec Spec) {
	spec.Window = min(spec.Window, b.settings.MaxWindow)
	a := b.accounts[spec.ID]
	switch {
	case a == nil:
		b.accounts[spec.ID] = &account{Spec: spec}
	case a.Spec == spec:
		a.pendingSpec = nil
	case spec.mayExceed(&a.Spec):
		if a.pendingSpec == nil || *a.pendingSpec != spec {
			a.pendingSpec, a.pendingFrom = &spec, b.now+b.settings.RecoveryDelay()
		}
	default:
		a.Spec, a.pendingSpec = spec, nil
	}
}

// account returns the account of a budget after removing what has expired, or nil for an unknown budget. The account of
// a budget of a rule is created at its first use.
func (b *base) account(id ID) *account {
	a := b.accounts[id]
	if a == nil {
		if a = b.newRuleAccount(id); a == nil {
			return nil
		}
	}
	if a.pendingSpec != nil && b.now >= a.pendingFrom {
		a.Spec, a.pendingSpec = *a.pendingSpec, nil
	}
	b.expireConcurrencyLeases(a)
	a.reservationUses = dropUntil(a.reservationUses, b.now-b.settings.withDrift(a.Window))
	a.recentDemand = dropUntil(a.recentDemand, b.now-2*a.Window)
	a.delegations = slices.DeleteFunc(a.delegations, func(d delegation) bool { return d.until <= b.now })
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool {
		if g.until > b.now && g.used < g.units {
			return false
		}
		b.counters.Expired += int64(g.units - g.used)
		b.pendingReleases = append(b.pendingReleases, g.release())
		return true
	})
	return a
}

// dropUntil removes the times up to and including the cutoff from the start of an ordered list.
func dropUntil(times []time.Duration, cutoff time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= cutoff {
		times = times[1:]
	}
	return times
}

// newRuleAccount creates the account of a budget of a rule. It returns nil if the kind has no rule, or if the member
// has maxRuleAccounts accounts in use.
func (b *base) newRuleAccount(id ID) *account {
	rule, ok := b.rules[id.Kind]
	if ok && len(b.accounts) >= maxRuleAccounts {
		b.sweep()
	}
	if !ok || len(b.accounts) >= maxRuleAccounts {
		return nil
	}
	spec := Spec{ID: id, BaseLimit: rule.Limit, Window: min(rule.Window, b.settings.MaxWindow)}
	a := &account{Spec: spec, rule: &rule}
	if b.now < b.unlistedDelegatedUntil && rule.allowsDelegation() && b.fault != faultUnlistedDelegationsForgotten {
		a.delegations = []delegation{{b.shares(a).reserved, b.unlistedDelegatedUntil}}
	}
	b.accounts[id] = a
	return a
}

// sweep removes the idle accounts of rules, at most twice per heartbeat interval.
func (b *base) sweep() {
	if b.now < b.sweptAt+b.settings.HeartbeatInterval/2 {
		return
	}
	b.sweptAt = b.now
	for id, a := range b.accounts {
		if a.rule != nil && b.account(id).isIdle() {
			delete(b.accounts, id)
		}
	}
}

// ids returns the IDs of all accounts in order.
func (b *base) ids() []ID {
	var ids []ID
	for id := range b.accounts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, ID.Compare)
	return ids
}

// isIdle reports whether the account holds nothing that newRuleAccount would not restore.
func (a *account) isIdle() bool {
	return len(a.reservationUses)+len(a.recentDemand)+len(a.grants)+a.concurrency.totalUnits() == 0 &&
		!a.hasPendingRequest
}

func (a *account) isConcurrencyLimit() bool { return a.rule != nil && a.rule.isConcurrencyLimit() }

// allowsDelegation reports whether the reservation may be delegated.
func (a *account) allowsDelegation() bool { return a.rule == nil || a.rule.allowsDelegation() }

// delegate records that units of the reservation are delegated until a time.
func (a *account) delegate(units int, until time.Duration) {
	if last := len(a.delegations) - 1; last >= 0 && a.delegations[last].units == units {
		a.delegations[last].until = max(a.delegations[last].until, until)
		return
	}
	a.delegations = append(a.delegations, delegation{units, until})
}

// unusedGranted returns the number of granted units that are not used yet.
func (a *account) unusedGranted() (units int) {
	for i := range a.grants {
		units += a.grants[i].units - a.grants[i].used
	}
	return units
}

// recordDemand records the demand for one unit. It keeps the latest limit entries.
func (a *account) recordDemand(now time.Duration, limit int) {
	if a.recentDemand = append(a.recentDemand, now); len(a.recentDemand) > limit {
		a.recentDemand = a.recentDemand[1:]
	}
}

// demandHistoryFactor bounds the recorded demand, as a multiple of base.maxWantedUnits.
const demandHistoryFactor = 4

// shares is the division of a limit, in units.
type shares struct {
	limit       int // limit of this group, without the fraction of children
	reserved    int // reservation of one member
	allReserved int // reservations of all members
}

// shares returns the shares of a budget with the reservation of this member.
func (b *base) shares(a *account) shares { return b.sharesOf(b.settings.Index, a) }

// sharesOf returns the shares of a budget with the reservation of the member that has the index. Reservations are whole
// units. A hash of the ID selects the members that have one unit more, so that the small reservations of many budgets
// do not accumulate at the same members.
func (b *base) sharesOf(index int, a *account) shares {
	limitShares := shares{limit: a.limit(b.now)}
	if b.fault != faultChildFractionIgnored {
		limitShares.limit -= int(math.Ceil(b.settings.ChildFraction * float64(limitShares.limit)))
	}
	limitShares.allReserved = int(math.Ceil(b.settings.GuaranteedFraction * float64(limitShares.limit)))
	limitShares.reserved = limitShares.allReserved / b.settings.Nodes
	if (index+b.rotation(a.ID))%b.settings.Nodes < limitShares.allReserved%b.settings.Nodes {
		limitShares.reserved++
	}
	return limitShares
}

// rotation returns the distance, modulo the number of nodes, from the first member that has one unit more of a budget
// to index 0.
func (b *base) rotation(id ID) int {
	hash := xxhash.Sum64([]byte{id.Kind, byte(id.Subject), byte(id.Subject >> 8), byte(id.Subject >> 16),
		byte(id.Since), byte(id.Since >> 8), byte(id.Since >> 16)})
	return int(hash % uint64(b.settings.Nodes))
}

// availableReservation returns the units of its reservation that the member may use now. The result is negative if it
// uses more than its reservation.
func (b *base) availableReservation(a *account) int {
	if b.isRecovering(a) || b.now < b.noReservationUntil {
		return 0
	}
	delegated := 0
	for _, d := range a.delegations {
		delegated = max(delegated, d.units)
	}
	return b.shares(a).reserved - delegated - len(a.reservationUses) - a.concurrency.reserved - a.concurrency.expired
}

// isRecovering reports whether an earlier incarnation may still use the reservation, or have delegated it.
func (b *base) isRecovering(a *account) bool {
	until := b.recoveredAt
	if !a.allowsDelegation() {
		until = b.started + b.settings.withDrift(a.Window)
	}
	if b.fault == faultNoRecoveryDelay || b.fault == faultNoRecoveryDelayOfUndelegated && !a.allowsDelegation() {
		return false
	}
	return b.now < until
}

// acquire takes one available unit, and reports whether there was one.
func (b *base) acquire(a *account) bool {
	if a.isConcurrencyLimit() {
		return b.acquireConcurrent(a)
	}
	if b.availableReservation(a) > 0 {
		a.reservationUses = append(a.reservationUses, b.now)
		a.recordDemand(b.now, demandHistoryFactor*b.maxWantedUnits)
		b.counters.Reserved++
		return true
	}
	for i := range a.grants {
		if g := &a.grants[i]; g.used < g.units {
			g.used, g.lastUse = g.used+1, b.now
			b.counters.Leased++
			return true
		}
	}
	return false
}
