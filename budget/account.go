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
	existing := b.accounts[spec.ID]
	switch {
	case existing == nil:
		b.accounts[spec.ID] = &account{Spec: spec}
	case existing.Spec == spec:
		existing.pendingSpec = nil
	case spec.mayExceed(&existing.Spec):
		if existing.pendingSpec == nil || *existing.pendingSpec != spec {
			existing.pendingSpec, existing.pendingFrom = &spec, b.now+b.settings.RecoveryDelay()
		}
	default:
		existing.Spec, existing.pendingSpec = spec, nil
	}
}

// account returns the account of a budget after removing expired entries, or nil for an unknown budget. The account of
// a budget of a rule is created at its first use.
func (b *base) account(id ID) *account {
	account := b.accounts[id]
	if account == nil {
		if account = b.newRuleAccount(id); account == nil {
			return nil
		}
	}
	if account.pendingSpec != nil && b.now >= account.pendingFrom {
		account.Spec, account.pendingSpec = *account.pendingSpec, nil
	}
	b.expireConcurrencyLeases(account)
	account.reservationUses = dropUntil(account.reservationUses, b.now-b.settings.withDrift(account.Window))
	account.recentDemand = dropUntil(account.recentDemand, b.now-2*account.Window)
	account.delegations = slices.DeleteFunc(account.delegations, func(d delegation) bool { return d.until <= b.now })
	account.grants = slices.DeleteFunc(account.grants, func(g heldGrant) bool {
		if g.until > b.now && g.used < g.units {
			return false
		}
		b.counters.Expired += int64(g.units - g.used)
		b.pendingReleases = append(b.pendingReleases, g.release())
		return true
	})
	return account
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
	created := &account{Spec: spec, rule: &rule}
	if b.now < b.unlistedDelegatedUntil && rule.allowsDelegation() && b.fault != faultUnlistedDelegationsForgotten {
		created.delegations = []delegation{{b.shares(created).reserved, b.unlistedDelegatedUntil}}
	}
	b.accounts[id] = created
	return created
}

// sweep removes the idle accounts of rules, at most twice per heartbeat interval.
func (b *base) sweep() {
	if b.now < b.sweptAt+b.settings.HeartbeatInterval/2 {
		return
	}
	b.sweptAt = b.now
	for id, account := range b.accounts {
		if account.rule != nil && b.account(id).isIdle() {
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

// isIdle reports whether the account may be dropped: newRuleAccount would create it again in the same state.
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
func (b *base) shares(account *account) shares { return b.sharesOf(b.settings.Index, account) }

// sharesOf returns the shares of a budget with the reservation of the member that has the index. Reservations are whole
// units. A hash of the ID selects the members that have one unit more, so that the small reservations of many budgets
// do not accumulate at the same members.
func (b *base) sharesOf(index int, account *account) shares {
	limitShares := shares{limit: account.limit(b.now)}
	if b.fault != faultChildFractionIgnored {
		limitShares.limit -= int(math.Ceil(b.settings.ChildFraction * float64(limitShares.limit)))
	}
	limitShares.allReserved = int(math.Ceil(b.settings.GuaranteedFraction * float64(limitShares.limit)))
	limitShares.reserved = limitShares.allReserved / b.settings.Nodes
	if (index+b.rotation(account.ID))%b.settings.Nodes < limitShares.allReserved%b.settings.Nodes {
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
func (b *base) availableReservation(account *account) int {
	if b.isRecovering(account) || b.now < b.noReservationUntil {
		return 0
	}
	delegated := 0
	for _, d := range account.delegations {
		delegated = max(delegated, d.units)
	}
	return b.shares(account).reserved - delegated - len(account.reservationUses) -
		account.concurrency.reserved - account.concurrency.expired
}

// isRecovering reports whether an earlier incarnation may still use the reservation, or have delegated it.
func (b *base) isRecovering(account *account) bool {
	until := b.recoveredAt
	if !account.allowsDelegation() {
		until = b.started + b.settings.withDrift(account.Window)
	}
	if b.fault == faultNoRecoveryDelay || b.fault == faultNoRecoveryDelayOfUndelegated && !account.allowsDelegation() {
		return false
	}
	return b.now < until
}

// acquire takes one available unit, and reports whether there was one.
func (b *base) acquire(account *account) bool {
	if account.isConcurrencyLimit() {
		return b.acquireConcurrent(account)
	}
	if b.availableReservation(account) > 0 {
		account.reservationUses = append(account.reservationUses, b.now)
		account.recordDemand(b.now, demandHistoryFactor*b.maxWantedUnits)
		b.counters.Reserved++
		return true
	}
	for i := range account.grants {
		if g := &account.grants[i]; g.used < g.units {
			g.used, g.lastUse = g.used+1, b.now
			b.counters.Leased++
			return true
		}
	}
	return false
}
