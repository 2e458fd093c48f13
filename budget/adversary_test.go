package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// disruptFlatGroup injects a random disruption into a flat group.
func (s *simulation) disruptFlatGroup() {
	index := s.random.IntN(len(s.nodes))
	switch s.random.IntN(12) {
	case 0, 1:
		s.killNode(index)
	case 2, 3, 4:
		s.startNode(index)
	case 5:
		s.nodes[index].pausedUntil = s.now + time.Duration(s.random.Float64()*float64(s.maxPause))
	case 6:
		s.drawNetworkFaults()
	case 7:
		s.lossRate, s.duplicationRate, s.maxExtraDelay = 0, 0, 0
	case 8:
		half := s.random.IntN(len(s.nodes))
		s.isCut = func(from, to processID) bool { return (from.index < half) != (to.index < half) }
	case 9: // the node receives all messages, but its own are lost
		s.isCut = func(from, _ processID) bool { return from.index == index }
	case 10:
		s.isCut = nil
	case 11:
		s.killRandomProcesses(0.5)
	}
}

// drawNetworkFaults sets random rates of lost and duplicated messages and a random delay.
func (s *simulation) drawNetworkFaults() {
	s.lossRate, s.duplicationRate = s.random.Float64()*0.6, s.random.Float64()*0.5
	s.maxExtraDelay = time.Duration(s.random.Float64() * float64(3*time.Second))
}

// killRandomProcesses ends seven in ten processes at the same time. It restarts a fraction of them.
func (s *simulation) killRandomProcesses(restartRate float64) {
	for i := range len(s.nodes) + len(s.parents) {
		id := processID{i >= len(s.nodes), i}
		if id.isParent {
			id.index -= len(s.nodes)
		}
		if s.random.Float64() < 0.7 {
			s.killProcess(id)
			if s.random.Float64() < restartRate {
				s.startProcess(id)
			}
		}
	}
}

// drawProcess returns a random process, a control machine in a third of the cases.
func (s *simulation) drawProcess() processID {
	id := processID{s.random.IntN(3) == 0, 0}
	if id.index = s.random.IntN(len(s.nodes)); id.isParent {
		id.index = s.random.IntN(len(s.parents))
	}
	return id
}

// disruptTree injects a random disruption among Parents and their children.
func (s *simulation) disruptTree() {
	id := s.drawProcess()
	p := s.process(id)
	switch kind := s.random.IntN(16); kind {
	case 0, 1:
		s.killProcess(id)
	case 2, 3, 4:
		s.startProcess(id)
	case 5:
		p.pausedUntil = s.now + time.Duration(s.random.Float64()*float64(s.maxPause))
	case 6, 7:
		s.drawNetworkFaults()
	case 8:
		s.lossRate, s.duplicationRate, s.maxExtraDelay = 0, 0, 0
	case 9, 10, 11:
		s.disruptLinks(kind, id)
	case 12:
		s.killRandomProcesses(0.6)
	case 13: // a node restarts with another order of its Parents
		node := s.random.IntN(len(s.nodes))
		s.orderParents(node, s.random.IntN(len(s.parents)))
		s.startNode(node)
	case 14:
		if !p.isDead && s.now >= p.pausedUntil {
			s.leave(id)
			s.killProcess(id)
		}
	case 15: // duplicate an index; only if indexes have no reservation
		if s.settings.GuaranteedFraction == 0 {
			s.nodes[s.random.IntN(len(s.nodes))].index = s.random.IntN(s.settings.Nodes)
		}
	}
}

// disruptLinks separates zones from each other, or a process from the Parents or from all processes, or restores all
// links.
func (s *simulation) disruptLinks(kind int, id processID) {
	switch kind {
	case 9:
		half := s.random.IntN(len(s.parents) + 1)
		s.isCut = func(from, to processID) bool { return (s.zone(from) < half) != (s.zone(to) < half) }
	case 10:
		isAll := s.random.IntN(2) == 0
		s.isCut = func(from, to processID) bool { return from == id && (isAll || to.isParent) }
	case 11:
		s.isCut = nil
	}
}

// simulateFlatGroup simulates one minute of a flat group that depends on the seed. It returns a description of the run.
func simulateFlatGroup(seed uint64, injected fault) (sim *simulation, description string) {
	random := rand.New(rand.NewPCG(seed, 3))
	nodes, guaranteed, limit := 2+random.IntN(7), []float64{0, 0.3, 0.5, 1}[random.IntN(4)], 1+random.IntN(12)
	rule := drawRule(random, limit)
	sim = newFlatSimulation(seed, nodes, guaranteed, limit, injected, rule)
	if rule != nil { // up to more budgets than a message lists
		sim.uses = make([][]time.Duration, []int{1, 4, 2 * MaxEntries}[random.IntN(3)])
	}
	sim.run(60 * time.Second)
	return sim, sim.describe(seed)
}

// drawRule returns a random kind of rule, or nil.
func drawRule(random *rand.Rand, limit int) *Rule {
	if kind := random.IntN(3); kind > 0 {
		return &Rule{Limit: limit, Window: 2 * time.Second, NoDelegation: kind == 2}
	}
	return nil
}

// simulateConcurrencyLimit simulates two minutes of a concurrency limit. Processes are paused for less than the last
// part of the term of a lease, less a heartbeat interval (see expiringDivisor).
func simulateConcurrencyLimit(seed uint64, injected fault) (sim *simulation, description string) {
	random := rand.New(rand.NewPCG(seed, 5))
	const term = 6 * time.Second
	nodes, guaranteed, limit := 2+random.IntN(6), []float64{0, 0.3, 0.5}[random.IntN(3)], 2+random.IntN(20)
	sim = newFlatSimulation(seed, nodes, guaranteed, limit, injected,
		&Rule{Limit: limit, Window: 200 * time.Millisecond, ConcurrencyLeaseTerm: term})
	sim.disruptionRate, sim.maxPause = 0.004, (term/expiringDivisor-sim.settings.HeartbeatInterval)*9/10
	sim.run(120 * time.Second)
	return sim, sim.describe(seed)
}

// describe returns a description of a run of a flat group.
func (s *simulation) describe(seed uint64) string {
	return fmt.Sprintf("seed %d: %d nodes, guaranteed fraction %v, limit %d, %d used", seed, len(s.nodes),
		s.settings.GuaranteedFraction, s.spec.BaseLimit, s.maxUsed())
}

// simulateTree simulates one minute of Parents and their children. It returns a description of the run.
func simulateTree(seed uint64, injected fault) (*simulation, string) {
	random := rand.New(rand.NewPCG(seed, 13))
	size := treeSize{parents: 2 + random.IntN(3), nodes: 2 + random.IntN(9)}
	size.guaranteed, size.groupGuaranteed = []float64{0, 0.3, 0.6, 1}[random.IntN(4)],
		[]float64{0, 0.5, 1}[random.IntN(3)]
	size.limit = 1 + random.IntN([]int{12, 12, 60}[random.IntN(3)])
	rule := drawRule(random, size.limit)
	sim := newTreeSimulation(seed, size, injected, rule)
	if rule != nil {
		sim.uses = make([][]time.Duration, []int{1, 4, 2 * MaxEntries}[random.IntN(3)])
	}
	if seed%2 == 1 { // delay and duplicate messages from the start, with few other disruptions
		sim.duplicationRate, sim.maxExtraDelay = 0.5, time.Duration(random.Float64()*float64(time.Second))
		sim.disruptionRate /= 4
	}
	sim.run(60 * time.Second)
	return sim, fmt.Sprintf("seed %d: %+v, %d used, rule %+v", seed, size, sim.maxUsed(), rule)
}

// Under random disruptions the units used in any window, or in use at the same time, must not exceed the limit.
func TestLimitsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		runs, minUsed, minFull int // minUsed per run and minFull runs at the limit make the test meaningful
		simulate               func(uint64, fault) (*simulation, string)
	}{"window limit": {60, 40, 0, simulateFlatGroup}, "concurrency limit": {50, 100, 15, simulateConcurrencyLimit}} {
		used, fullRuns, endedEarly := 0, 0, 0
		for seed := range uint64(c.runs) {
			sim, description := c.simulate(seed, 0)
			if sim.maxUsed() > sim.spec.BaseLimit {
				t.Fatal(name, description)
			} else if sim.maxUsed() == sim.spec.BaseLimit {
				fullRuns++
			}
			used, endedEarly = used+sim.totalUsed(), endedEarly+sim.concurrency.endedEarly
		}
		t.Logf("%s: %d units used, %d ended before their leases, limit reached in %d runs", name, used, endedEarly,
			fullRuns)
		if used < c.runs*c.minUsed || fullRuns < c.minFull || name == "concurrency limit" && endedEarly == 0 {
			t.Errorf("%s: the runs are not meaningful with %d units used", name, used)
		}
	}
}

// Under random disruptions the units used in any window below Parents must not exceed the limit.
func TestLimitsHoldUnderFaultsWithParents(t *testing.T) {
	t.Parallel()
	const runs = 40
	used, fullRuns, counters := 0, 0, ParentCounters{}
	for seed := range uint64(runs) {
		sim, description := simulateTree(seed, 0)
		if sim.maxUsed() > sim.spec.BaseLimit {
			t.Error(description)
		} else if sim.maxUsed() == sim.spec.BaseLimit {
			fullRuns++
		}
		used += sim.totalUsed()
		counters.add(sim.totalParentCounters())
	}
	t.Logf("%d units used, limit reached in %d runs; %+v", used, fullRuns, counters)
	hasEnoughUse := used >= runs*20 && fullRuns >= runs/3
	hasEnoughParentGrants := counters.FromGroup >= runs*10 && counters.FromChildren >= runs && counters.Deferred >= runs
	if !hasEnoughUse || !hasEnoughParentGrants {
		t.Errorf("the runs are not meaningful with %d units used", used)
	}
}

// faultCase is an injected fault and the simulation that has to detect it.
type faultCase struct {
	fault     fault
	simulate  func(uint64, fault) (*simulation, string)
	firstSeed uint64 // skips earlier seeds, which do not detect the fault and take time
}

// The simulations of a flat group have to detect each injected fault; otherwise their success proves nothing.
func TestInjectedFaultsAreDetected(t *testing.T) {
	t.Parallel()
	testFaultsAreDetected(t, map[string]faultCase{
		"no recovery delay":                        {faultNoRecoveryDelay, simulateFlatGroup, 0},
		"term starts at response":                  {faultTermFromResponse, simulateFlatGroup, 0},
		"term by leader clock":                     {faultTermByLeaderClock, simulateFlatGroup, 0},
		"used units delegated":                     {faultUsedUnitsDelegated, simulateFlatGroup, 0},
		"failure detector trusted":                 {faultFailureDetectorTrusted, simulateFlatGroup, 0},
		"duplicated responses accepted":            {faultRepeatedResponsesAccepted, simulateFlatGroup, 0},
		"two leaders followed":                     {faultTwoLeadersFollowed, simulateFlatGroup, 0},
		"unlisted delegations forgotten":           {faultUnlistedDelegationsForgotten, simulateFlatGroup, 0},
		"no recovery delay of undelegated budgets": {faultNoRecoveryDelayOfUndelegated, simulateFlatGroup, 0},
		"no concurrency takeover delay":            {faultNoConcurrencyTakeoverDelay, simulateConcurrencyLimit, 0},
		"late concurrency grants accepted":         {faultLateConcurrencyGrantsAccepted, simulateConcurrencyLimit, 0},
	})
}

// The simulations with Parents have to detect each injected fault; otherwise their success proves nothing.
func TestInjectedFaultsAreDetectedWithParents(t *testing.T) {
	t.Parallel()
	testFaultsAreDetected(t, map[string]faultCase{
		"no recovery delay":                        {faultNoRecoveryDelay, simulateTree, 0},
		"term starts at response":                  {faultTermFromResponse, simulateTree, 0},
		"term starts when leader sends":            {faultTermFromLeaderSend, simulateTree, 40},
		"term by leader clock":                     {faultTermByLeaderClock, simulateTree, 0},
		"used units delegated":                     {faultUsedUnitsDelegated, simulateTree, 0},
		"failure detector trusted":                 {faultFailureDetectorTrusted, simulateTree, 0},
		"duplicated responses accepted":            {faultRepeatedResponsesAccepted, simulateTree, 0},
		"two parents followed":                     {faultTwoLeadersFollowed, simulateTree, 90},
		"unlisted delegations forgotten":           {faultUnlistedDelegationsForgotten, simulateTree, 0},
		"no recovery delay of undelegated budgets": {faultNoRecoveryDelayOfUndelegated, simulateTree, 10},
		"group window not extended":                {faultGroupWindowNotExtended, simulateTree, 20},
		"group units not acquired":                 {faultGroupUnitsNotAcquired, simulateTree, 0},
		"released units granted again":             {faultReleasedUnitsRegranted, simulateTree, 0},
		"child fraction ignored":                   {faultChildFractionIgnored, simulateTree, 0},
	})
}

// testFaultsAreDetected fails for each fault with which no run of 900 seeds exceeds the limit.
func testFaultsAreDetected(t *testing.T, cases map[string]faultCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+900; seed++ {
				if sim, description := c.simulate(seed, c.fault); sim.maxUsed() > sim.spec.BaseLimit {
					t.Log(name, description)
					return
				}
			}
			t.Error("fault not detected")
		})
	}
}
