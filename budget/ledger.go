package budget

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// The leader updates its totals with each request, so that the cost of a request does not depend on the number of
// followers. It keeps the units of each budget, the expiries of delegations in order, and the grants ordered by the end
// of their effect.

// leaderGrant is a number of units that are granted, or were used, and may have effect until effectUntil.
type leaderGrant struct {
	number      uint64 // 0 for ended units of concurrency leases
	id          ID
	node        int
	incarnation uint64 // of the node
	units       int
	effectUntil time.Duration
	heapIndex   int // index in the grantHeap
}

// grantHeap orders grants by the end of their effect. It implements heap.Interface.
type grantHeap []*leaderGrant

func (h grantHeap) Len() int           { return len(h) }
func (h grantHeap) Less(i, j int) bool { return h[i].effectUntil < h[j].effectUntil }
func (h grantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *grantHeap) Push(x any) {
	g := x.(*leaderGrant)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *grantHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return g
}

// indexCounter is a Fenwick tree that counts the members of a set by index.
type indexCounter []int32

func (c indexCounter) add(node int, n int32) {
	for i := node + 1; i < len(c); i += i & -i {
		c[i] += n
	}
}

// below returns the number of members with an index less than node.
func (c indexCounter) below(node int) (n int) {
	for i := node; i > 0; i -= i & -i {
		n += int(c[i])
	}
	return n
}

// budgetTotals holds a leader's totals of one budget, except for units delegated without listing the budget.
type budgetTotals struct {
	outstanding        int // granted units that may have effect
	delegated          int // units delegated by requests that list the budget
	listedReservations int // reservations of members that delegate unlisted budgets, but list this one
}

func (l *leader) totalsOf(id ID) *budgetTotals {
	totals := l.totals[id]
	if totals == nil {
		totals = &budgetTotals{}
		l.totals[id] = totals
	}
	return totals
}

func (l *leader) dropEmptyTotals(id ID) {
	if totals := l.totals[id]; totals != nil && *totals == (budgetTotals{}) {
		delete(l.totals, id)
	}
}

// recordGrant records a grant. Its units are not available again until the end of their effect.
func (l *leader) recordGrant(grant *leaderGrant) {
	heap.Push(&l.grants, grant)
	if grant.number != 0 {
		l.grantsByNumber[grant.number] = grant
	}
	l.totalsOf(grant.id).outstanding += grant.units
}

// release records the end of a grant. Its used units have effect for a window after the last use. SinceUse is a lower
// bound of the time since that use, because the message was sent earlier.
func (l *leader) release(from int, incarnation uint64, release Release) {
	grant := l.grantsByNumber[release.Grant]
	if grant == nil || grant.node != from || grant.incarnation != incarnation {
		return
	}
	used := min(max(release.Used, 0), grant.units)
	l.totalsOf(grant.id).outstanding -= grant.units - used
	grant.units = used
	if account := l.account(grant.id); account != nil {
		sinceUse := max(time.Duration(release.SinceUse), 0)
		sinceUse = time.Duration(float64(sinceUse) * (1 - driftSafetyFactor*l.settings.MaxClockDrift))
		grant.effectUntil = min(grant.effectUntil, l.now+l.settings.withDrift(account.Window)-sinceUse)
		heap.Fix(&l.grants, grant.heapIndex)
	}
}

// outstandingUnits returns the number of granted units of a budget that may have effect.
func (l *leader) outstandingUnits(id ID) (units int) {
	l.expire()
	if totals := l.totals[id]; totals != nil {
		units = totals.outstanding
	}
	if l.fault == faultFailureDetectorTrusted {
		for _, grant := range l.grants {
			record := l.followers[grant.node]
			if grant.id == id && record != nil && record.delegatedUntil < l.now+l.settings.maxEffectDuration() {
				units -= grant.units
			}
		}
	}
	return units
}

// available returns the number of units of a budget that the leader may grant: the units delegated to it until after
// the effect of a grant, and with a quorum the units that are not reserved to any member, less the outstanding units.
func (l *leader) available(id ID, hasQuorum bool) int {
	account := l.account(id)
	if account == nil {
		return 0
	}
	l.expire()
	limitShares := l.shares(account)
	units, totals := 0, l.totals[id]
	if totals != nil {
		units = totals.delegated
	}
	if account.rule != nil && account.allowsDelegation() && len(l.unlistedDelegators) > 0 {
		units += l.unlistedDelegated(id, limitShares.allReserved)
		if totals != nil {
			units -= totals.listedReservations
		}
	}
	if units = min(units, limitShares.allReserved); hasQuorum {
		units += limitShares.limit - limitShares.allReserved
	}
	return units - l.outstandingUnits(id)
}

// unlistedDelegated returns the sum of the reservations of a budget of all members that delegate unlisted budgets. The
// members that have one unit more form a range of indexes, which may wrap around.
func (l *leader) unlistedDelegated(id ID, allReserved int) int {
	nodes := l.settings.Nodes
	firstExtra := (nodes - l.rotation(id)) % nodes
	endExtra := firstExtra + allReserved%nodes
	extraUnits := l.unlistedDelegators.below(min(endExtra, nodes)) - l.unlistedDelegators.below(firstExtra) +
		l.unlistedDelegators.below(max(endExtra-nodes, 0))
	return allReserved/nodes*l.unlistedDelegators.below(nodes) + extraUnits
}

// delegationExpiry is the time at which the delegations of a follower expire.
type delegationExpiry struct {
	until time.Duration
	node  int
}

func (e delegationExpiry) compare(other delegationExpiry) int {
	return cmp.Or(cmp.Compare(e.until, other.until), cmp.Compare(e.node, other.node))
}

// addDelegation adds a follower's delegations to the expiries, and to the totals unless they expire before the last
// effect of a grant made now.
func (l *leader) addDelegation(node int, record *followerRecord) {
	expiry := delegationExpiry{record.delegatedUntil, node}
	index, _ := slices.BinarySearchFunc(l.expiries, expiry, delegationExpiry.compare)
	l.expiries = slices.Insert(l.expiries, index, expiry)
	if record.delegatedUntil < l.now+l.settings.maxEffectDuration() {
		l.expiringSoonCount++
		return
	}
	record.isCounted = true
	l.adjustTotals(node, record, 1)
}

// removeDelegation removes a follower's delegations from the expiries and the totals.
func (l *leader) removeDelegation(node int, record *followerRecord) {
	if index, ok := slices.BinarySearchFunc(l.expiries, delegationExpiry{record.delegatedUntil, node},
		delegationExpiry.compare); ok {
		if l.expiries = slices.Delete(l.expiries, index, index+1); index < l.expiringSoonCount {
			l.expiringSoonCount--
		}
	}
	l.removeFromTotals(node, record)
}

func (l *leader) removeFromTotals(node int, record *followerRecord) {
	if record.isCounted {
		record.isCounted = false
		l.adjustTotals(node, record, -1)
	}
}

// expire removes from the totals the delegations that expire before the last effect of a grant made now, and removes
// the delegations and grants that have expired.
func (l *leader) expire() {
	for len(l.grants) > 0 && l.grants[0].effectUntil <= l.now {
		grant := heap.Pop(&l.grants).(*leaderGrant)
		delete(l.grantsByNumber, grant.number)
		l.totalsOf(grant.id).outstanding -= grant.units
		l.dropEmptyTotals(grant.id)
	}
	lastEffect := l.now + l.settings.maxEffectDuration()
	for ; l.expiringSoonCount < len(l.expiries) &&
		l.expiries[l.expiringSoonCount].until < lastEffect; l.expiringSoonCount++ {
		node := l.expiries[l.expiringSoonCount].node
		l.removeFromTotals(node, l.followers[node])
	}
	endedCount := 0
	for endedCount < len(l.expiries) && l.expiries[endedCount].until <= l.now {
		endedCount++
	}
	l.expiries, l.expiringSoonCount = slices.Delete(l.expiries, 0, endedCount), l.expiringSoonCount-endedCount
}

// adjustTotals adds a follower's delegations to the totals if sign is 1, and subtracts them if sign is -1.
func (l *leader) adjustTotals(node int, record *followerRecord, sign int) {
	for id, units := range record.delegated {
		totals := l.totalsOf(id)
		totals.delegated += sign * units
		if rule, ok := l.rules[id.Kind]; ok && record.delegatesUnlisted && rule.allowsDelegation() {
			totals.listedReservations += sign *
				l.sharesOf(node, &account{Spec: Spec{ID: id, BaseLimit: rule.Limit}}).reserved
		}
		l.dropEmptyTotals(id)
	}
	if record.delegatesUnlisted {
		if l.unlistedDelegators == nil {
			l.unlistedDelegators = make(indexCounter, l.settings.Nodes+1)
		}
		l.unlistedDelegators.add(node, int32(sign))
	}
}
