package budget

import (
	"slices"
	"time"
)

// concurrencyUsage records the use of a concurrency limit.
type concurrencyUsage struct {
	unitDuration time.Duration   // mean duration of a unit
	effectEnds   []time.Duration // last effects of units that their nodes have ended
	maxInUse     int             // most units in use at the same time
	endedEarly   int             // units ended because their leases were expiring
}

// useAny lets a node try to use one unit of a random budget, and reports whether it did.
func (s *simulation) useAny(index int) bool { return s.useBudget(index, s.random.IntN(len(s.uses))) }

// useBudget lets a node try to use one unit of a budget, and request one if none is available. It reports whether the
// node used a unit.
func (s *simulation) useBudget(index, budget int) bool {
	node, budgetID := s.nodes[index], s.spec.ID
	budgetID.Subject += uint64(budget)
	if node.isDead || s.now < node.pausedUntil {
		return false
	}
	now := s.nodeClock(index)
	if node.member.Acquire(now, budgetID) {
		s.uses[budget] = append(s.uses[budget], s.now)
		if s.hasConcurrencyLimit() {
			node.unitEnds = append(node.unitEnds,
				s.now+time.Duration(s.random.ExpFloat64()*float64(s.concurrency.unitDuration)))
		}
		return true
	}
	if node.member.Request(now, budgetID) {
		if s.waiting != nil {
			s.waiting[waitKey{index, budget}]++
		}
		s.apply(processID{false, index}, node.member.Tick(now))
	}
	return false
}

func (s *simulation) hasConcurrencyLimit() bool { return s.rule != nil && s.rule.isConcurrencyLimit() }

// endUnit ends a unit of a concurrency limit. The unit has effect for up to 190 ms more, less than the window of 200
// ms.
func (s *simulation) endUnit(index, unit int) {
	const maxEffect = 190 * time.Millisecond
	node := s.nodes[index]
	node.unitEnds = slices.Delete(node.unitEnds, unit, unit+1)
	s.concurrency.effectEnds = append(s.concurrency.effectEnds,
		s.now+time.Duration(s.random.Float64()*float64(maxEffect)))
	if !node.isDead {
		node.member.Release(s.nodeClock(index), s.spec.ID)
	}
}

// endUnits ends the units of a concurrency limit whose end times have passed, and records the units in use.
func (s *simulation) endUnits() {
	usage := &s.concurrency
	usage.effectEnds = slices.DeleteFunc(usage.effectEnds, func(at time.Duration) bool { return at <= s.now })
	count := len(usage.effectEnds)
	for i, node := range s.nodes {
		count += len(node.unitEnds)
		for unit := 0; unit < len(node.unitEnds) && s.now >= node.pausedUntil; {
			if s.now >= node.unitEnds[unit] {
				s.endUnit(i, unit)
			} else {
				unit++
			}
		}
	}
	usage.maxInUse = max(usage.maxInUse, count)
}

// maxUsed returns the most units of a budget used in a window, or of a concurrency limit in use at the same time.
func (s *simulation) maxUsed() (highest int) {
	if s.hasConcurrencyLimit() {
		return s.concurrency.maxInUse
	}
	for _, uses := range s.uses {
		first := 0
		for i, at := range uses {
			for at-uses[first] >= s.spec.Window {
				first++
			}
			highest = max(highest, i+1-first)
		}
	}
	return highest
}

func (s *simulation) totalUsed() (total int) {
	for _, uses := range s.uses {
		total += len(uses)
	}
	return total
}
