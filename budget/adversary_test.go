package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// disturbFlat has something go wrong in a flat group.
func (w *world) disturbFlat() {
	i := w.rng.IntN(len(w.nodes))
	switch w.rng.IntN(12) {
	case 0, 1:
		w.kill(i)
	case 2, 3, 4:
		w.startNode(i)
	case 5:
		w.nodes[i].pausedUntil = w.now + time.Duration(w.rng.Float64()*float64(w.pause))
	case 6:
		w.drawNetworkFaults()
	case 7:
		w.loss, w.repeat, w.delay = 0, 0, 0
	case 8:
		half := w.rng.IntN(len(w.nodes))
		w.cut = func(from, to place) bool { return (from.at < half) != (to.at < half) }
	case 9: // it hears all and reaches nobody
		w.cut = func(from, _ place) bool { return from.at == i }
	case 10:
		w.cut = nil
	case 11:
		w.killMany(0.5)
	}
}

func (w *world) drawNetworkFaults() {
	w.loss, w.repeat = w.rng.Float64()*0.6, w.rng.Float64()*0.5
	w.delay = time.Duration(w.rng.Float64() * float64(3*time.Second))
}

// killMany has seven in ten processes end at once, a part of which start again.
func (w *world) killMany(restarted float64) {
	for i := range len(w.nodes) + len(w.parents) {
		p := place{i >= len(w.nodes), i}
		if p.isParent {
			p.at -= len(w.nodes)
		}
		if w.rng.Float64() < 0.7 {
			w.killAt(p)
			if w.rng.Float64() < restarted {
				w.startAt(p)
			}
		}
	}
}

// drawPlace gives a Parent in a third of the cases.
func (w *world) drawPlace() place {
	p := place{w.rng.IntN(3) == 0, 0}
	if p.at = w.rng.IntN(len(w.nodes)); p.isParent {
		p.at = w.rng.IntN(len(w.parents))
	}
	return p
}

// disturbTree has something go wrong among Parents and their children.
func (w *world) disturbTree() {
	at := w.drawPlace()
	p := w.process(at)
	switch kind := w.rng.IntN(16); kind {
	case 0, 1:
		w.killAt(at)
	case 2, 3, 4:
		w.startAt(at)
	case 5:
		p.pausedUntil = w.now + time.Duration(w.rng.Float64()*float64(w.pause))
	case 6, 7:
		w.drawNetworkFaults()
	case 8:
		w.loss, w.repeat, w.delay = 0, 0, 0
	case 9, 10, 11:
		w.disturbLinks(kind, at)
	case 12:
		w.killMany(0.6)
	case 13: // a node starts with another order
		i := w.rng.IntN(len(w.nodes))
		w.orderParents(i, w.rng.IntN(len(w.parents)))
		w.startNode(i)
	case 14:
		if !p.isDead && w.now >= p.pausedUntil {
			w.leave(at)
			w.killAt(at)
		}
	case 15: // another process has an index that has no reservation
		if w.settings.GuaranteedFraction == 0 {
			w.nodes[w.rng.IntN(len(w.nodes))].index = w.rng.IntN(w.settings.Nodes)
		}
	}
}

// disturbLinks cuts zones off each other, or one process off the Parents or off all, or connects all.
func (w *world) disturbLinks(kind int, at place) {
	switch kind {
	case 9:
		half := w.rng.IntN(len(w.parents) + 1)
		w.cut = func(from, to place) bool { return (w.zone(from) < half) != (w.zone(to) < half) }
	case 10:
		isAll := w.rng.IntN(2) == 0
		w.cut = func(from, to place) bool { return from == at && (isAll || to.isParent) }
	case 11:
		w.cut = nil
	}
}

// playFlat is a minute of a flat group of the seed, with its description.
func playFlat(seed uint64, f fault) (w *world, text string) {
	rng := rand.New(rand.NewPCG(seed, 3))
	nodes, guaranteed, limit := 2+rng.IntN(7), []float64{0, 0.3, 0.5, 1}[rng.IntN(4)], 1+rng.IntN(12)
	rule := drawRule(rng, limit)
	w = newFlatWorld(seed, nodes, guaranteed, limit, f, rule)
	if rule != nil { // more than a message names
		w.uses = make([][]time.Duration, []int{1, 4, 2 * MaxEntries}[rng.IntN(3)])
	}
	w.play(60 * time.Second)
	return w, w.describe(seed)
}

func drawRule(rng *rand.Rand, limit int) *Rule {
	if kind := rng.IntN(3); kind > 0 {
		return &Rule{Limit: limit, Window: 2 * time.Second, NoDelegation: kind == 2}
	}
	return nil
}

// playConcurrency is two minutes of a concurrency limit. Processes are paused for less than the last part of a lease.
func playConcurrency(seed uint64, f fault) (w *world, text string) {
	rng := rand.New(rand.NewPCG(seed, 5))
	const term = 6 * time.Second
	nodes, guaranteed, limit := 2+rng.IntN(6), []float64{0, 0.3, 0.5}[rng.IntN(3)], 2+rng.IntN(20)
	w = newFlatWorld(seed, nodes, guaranteed, limit, f,
		&Rule{Limit: limit, Window: 200 * time.Millisecond, ConcurrencyLeaseTerm: term})
	w.disturbance, w.pause = 0.004, (term/expiringDivisor-w.settings.HeartbeatInterval)*9/10
	w.play(120 * time.Second)
	return w, w.describe(seed)
}

func (w *world) describe(seed uint64) string {
	return fmt.Sprintf("seed %d: %d nodes, %v guaranteed, limit %d, %d used", seed, len(w.nodes),
		w.settings.GuaranteedFraction, w.spec.BaseLimit, w.maxUsed())
}

// playTree is a minute of Parents and their children.
func playTree(seed uint64, f fault) (*world, string) {
	rng := rand.New(rand.NewPCG(seed, 13))
	size := treeSize{parents: 2 + rng.IntN(3), nodes: 2 + rng.IntN(9)}
	size.guaranteed, size.upperGuaranteed = []float64{0, 0.3, 0.6, 1}[rng.IntN(4)], []float64{0, 0.5, 1}[rng.IntN(3)]
	size.limit = 1 + rng.IntN([]int{12, 12, 60}[rng.IntN(3)])
	rule := drawRule(rng, size.limit)
	w := newTreeWorld(seed, size, f, rule)
	if rule != nil {
		w.uses = make([][]time.Duration, []int{1, 4, 2 * MaxEntries}[rng.IntN(3)])
	}
	if seed%2 == 1 { // messages are late and repeated from the start, and little else happens
		w.repeat, w.delay = 0.5, time.Duration(rng.Float64()*float64(time.Second))
		w.disturbance /= 4
	}
	w.play(60 * time.Second)
	return w, fmt.Sprintf("seed %d: %+v, %d used, rule %+v", seed, size, w.maxUsed(), rule)
}

// Never more than the limit in any window, or in use at once, whatever goes wrong.
func TestLimitsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		runs, leastUsed, leastFull int // enough to prove something: used in a run, runs that reached the limit
		play                       func(uint64, fault) (*world, string)
	}{"in a window": {60, 40, 0, playFlat}, "at once": {50, 100, 15, playConcurrency}} {
		used, full, ended := 0, 0, 0
		for seed := range uint64(c.runs) {
			w, text := c.play(seed, 0)
			if w.maxUsed() > w.spec.BaseLimit {
				t.Fatal(name, text)
			} else if w.maxUsed() == w.spec.BaseLimit {
				full++
			}
			used, ended = used+w.totalUsed(), ended+w.concurrency.endedEarly
		}
		t.Logf("%s: %d used, %d ended before their leases, the limit reached in %d runs", name, used, ended, full)
		if used < c.runs*c.leastUsed || full < c.leastFull || name == "at once" && ended == 0 {
			t.Errorf("%s: %d used in all runs proves nothing", name, used)
		}
	}
}

// Never more than the limit in any window with Parents, whatever goes wrong.
func TestLimitsHoldUnderFaultsWithParents(t *testing.T) {
	t.Parallel()
	const runs = 40
	used, full, counters := 0, 0, ParentCounters{}
	for seed := range uint64(runs) {
		w, text := playTree(seed, 0)
		if w.maxUsed() > w.spec.BaseLimit {
			t.Error(text)
		} else if w.maxUsed() == w.spec.BaseLimit {
			full++
		}
		used += w.totalUsed()
		counters.add(w.allCounters())
	}
	t.Logf("%d used, the limit reached in %d runs; %+v", used, full, counters)
	isEnough := used >= runs*20 && full >= runs/3
	isEnoughOfParents := counters.FromGroup >= runs*10 && counters.FromChildren >= runs && counters.Deferred >= runs
	if !isEnough || !isEnoughOfParents {
		t.Errorf("%d used proves nothing", used)
	}
}

// faultCase is a wrong variant.
type faultCase struct {
	fault     fault
	play      func(uint64, fault) (*world, string)
	firstSeed uint64 // the runs before it show nothing, and take time
}

// The same disturbances find each wrong variant of a flat group.
func TestInjectedFaultsAreFound(t *testing.T) {
	t.Parallel()
	testFaultsAreFound(t, map[string]faultCase{
		"no recovery delay":                       {faultNoRecoveryDelay, playFlat, 0},
		"a term from the response":                {faultTermFromResponse, playFlat, 0},
		"a term by the leader's clock":            {faultTermByLeaderClock, playFlat, 0},
		"what is used in the window is delegated": {faultUsedUnitsDelegated, playFlat, 0},
		"the failure detector is trusted":         {faultFailureDetectorTrusted, playFlat, 0},
		"repeated grants count twice":             {faultRepeatedResponsesAccepted, playFlat, 0},
		"two leaders are followed":                {faultTwoLeadersFollowed, playFlat, 0},
		"what was delegated unnamed is forgotten": {faultUnlistedDelegationsForgotten, playFlat, 0},
		"no recovery delay of the undelegated":    {faultNoRecoveryDelayOfUndelegated, playFlat, 0},
		"a new leader leases concurrency at once": {faultNoConcurrencyTakeoverDelay, playConcurrency, 0},
		"late concurrency leases are used":        {faultLateConcurrencyGrantsAccepted, playConcurrency, 0},
	})
}

// The same disturbances find each wrong variant with Parents.
func TestInjectedFaultsAreFoundWithParents(t *testing.T) {
	t.Parallel()
	testFaultsAreFound(t, map[string]faultCase{
		"no recovery delay":                       {faultNoRecoveryDelay, playTree, 0},
		"a term from the response":                {faultTermFromResponse, playTree, 0},
		"a term from a deferred response's send":  {faultTermFromLeaderSend, playTree, 40},
		"a term by the leader's clock":            {faultTermByLeaderClock, playTree, 0},
		"what is used in the window is delegated": {faultUsedUnitsDelegated, playTree, 0},
		"the failure detector is trusted":         {faultFailureDetectorTrusted, playTree, 0},
		"repeated grants count twice":             {faultRepeatedResponsesAccepted, playTree, 0},
		"reservations delegated to two parents":   {faultTwoLeadersFollowed, playTree, 90},
		"what was delegated unnamed is forgotten": {faultUnlistedDelegationsForgotten, playTree, 0},
		"no recovery delay of the undelegated":    {faultNoRecoveryDelayOfUndelegated, playTree, 10},
		"a window of the group without the term":  {faultGroupWindowNotExtended, playTree, 20},
		"granted and not acquired in the group":   {faultGroupUnitsNotAcquired, playTree, 0},
		"what was released is granted again":      {faultReleasedUnitsRegranted, playTree, 0},
		"the children's fraction is divided too":  {faultChildFractionIgnored, playTree, 0},
	})
}

func testFaultsAreFound(t *testing.T, cases map[string]faultCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+900; seed++ {
				if w, text := c.play(seed, c.fault); w.maxUsed() > w.spec.BaseLimit {
					t.Log(name, text)
					return
				}
			}
			t.Error("never found")
		})
	}
}
