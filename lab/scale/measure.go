package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// measure runs the scenario and collects the figures of all processes over its duration.
func (f *fleet) measure(scenario func()) {
	f.mu.Lock()
	clear(f.changedAt)
	clear(f.unitCounts)
	f.mu.Unlock()
	f.delays.reset()
	go f.delays.run(f.done)
	for _, p := range f.workerProcesses() {
		p.commands.Encode(command{Action: actionBeginMeasurement})
	}
	for _, n := range f.realNodes {
		n.beginMeasurement()
	}
	go f.changeList()
	scenario()
	for _, n := range f.realNodes {
		n.endMeasurement(&f.result.Roles)
	}
	for _, p := range f.workerProcesses() {
		p.commands.Encode(command{Action: actionEndMeasurement})
	}
	byRole := map[string][]*measurement{}
	for _, p := range f.workerProcesses() {
		if p.killed {
			continue
		}
		reply, err := p.awaitReport(actionEndMeasurement, 30*time.Second)
		if err != nil {
			f.failf("%v", err)
			continue
		}
		byRole[p.role] = append(byRole[p.role], reply.Measurement)
		if p.role == "node" { // the processes of other roles may be delayed by the work that is measured
			f.result.MaxDelayMS, f.result.LateSampleRatio = max(f.result.MaxDelayMS, reply.Measurement.MaxDelayMS),
				max(f.result.LateSampleRatio, round(reply.Measurement.LateSampleRatio))
		}
	}
	maxDelay, lateRatio := f.delays.results()
	f.result.MaxDelayMS, f.result.LateSampleRatio =
		max(f.result.MaxDelayMS, maxDelay), max(f.result.LateSampleRatio, round(lateRatio))
	close(f.done)
	for role, measurements := range byRole {
		f.result.Roles[role] = aggregate(measurements)
		for _, m := range measurements {
			if m.PeakRatio > f.result.Peak.Ratio {
				f.result.Peak = Peak{round(m.PeakRatio), role, m.PeakNode}
			}
		}
	}
	var gaps []float64
	warnings := map[string]int{}
	for _, m := range byRole["node"] {
		gaps = append(gaps, m.GrantGaps...)
	}
	for _, measurements := range byRole {
		for _, m := range measurements {
			f.result.Units.Taken += m.Taken
			f.result.Units.Refused += m.Refused
			for message, count := range m.Warnings {
				warnings[message] += count
			}
		}
	}
	for _, message := range slices.Sorted(maps.Keys(warnings)) {
		f.result.Notes = append(f.result.Notes, fmt.Sprintf("%d times logged: %s", warnings[message], message))
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		f.result.Units.GapP99, f.result.Units.MaxGap =
			round(gaps[quantileIndex(len(gaps), 0.99)]), round(gaps[len(gaps)-1])
	}
}

// quantileIndex returns the index of a quantile among count sorted values.
func quantileIndex(count int, fraction float64) int {
	return max(int(math.Ceil(fraction*float64(count)))-1, 0)
}

// round rounds x to four significant digits.
func round(x float64) float64 {
	if x == 0 {
		return 0
	}
	digits := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*digits) / digits
}

// aggregate combines the measurements of the processes of a role.
func aggregate(measurements []*measurement) Role {
	role := Role{Processes: len(measurements), Counters: map[string]int64{}}
	var cpu, live, resident, descriptors float64
	for _, m := range measurements {
		role.Nodes += m.Nodes
		cpu, live, resident, descriptors =
			cpu+m.CPU/m.Seconds, live+m.LiveBytes, resident+m.ResidentBytes, descriptors+float64(m.Descriptors)
		role.MaxCPU = max(role.MaxCPU, m.CPU/m.Seconds/float64(m.Nodes))
		role.MaxResidentMB = max(role.MaxResidentMB, m.ResidentBytes/float64(m.Nodes)/1e6)
		in, out, list := m.Flows["in"], m.Flows["out"], m.Flows["list"]
		role.In.merge(in)
		role.Out.merge(out)
		role.List.merge(list)
		for k, v := range m.Counters {
			if v != 0 {
				role.Counters[k] += v
			}
		}
	}
	nodes := float64(role.Nodes)
	role.CPU, role.LiveMB, role.ResidentMB, role.Descriptors =
		round(cpu/nodes), round(live/nodes/1e6), round(resident/nodes/1e6), round(descriptors/nodes)
	role.MaxCPU, role.MaxResidentMB = round(role.MaxCPU), round(role.MaxResidentMB)
	for _, mean := range []*flow{&role.In, &role.Out, &role.List} {
		*mean = flow{round(mean.Messages / nodes), round(mean.Bytes / nodes),
			round(mean.MaxMessages), round(mean.MaxBytes)}
	}
	role.Dropped = role.Counters["peer_dropped"] + role.Counters["overruns"]
	return role
}

// evaluate calculates the results and compares them with the targets.
func (f *fleet) evaluate() {
	nodesByLeader, _ := f.leaderCounts()
	f.mu.Lock()
	defer f.mu.Unlock()
	result := f.result
	now := time.Now()
	medianSum := 0.0
	for version, changedAt := range f.changedAt {
		delays := slices.Sorted(maps.Values(f.applied[version]))
		if len(delays) < f.size+f.options.ControlNodes && now.Sub(changedAt) < maxChangeDelay {
			// Some nodes may still apply it in time.
			continue
		}
		result.Changes.Count++
		for _, i := range f.topology.allNodes() {
			if _, ok := f.applied[version][i]; !ok && !f.killed[i] && now.Sub(f.returnedAt[i]) >= maxChangeDelay {
				result.Changes.Missing++
			}
		}
		if len(delays) > 0 {
			medianSum += delays[quantileIndex(len(delays), 0.5)].Seconds()
			result.Changes.P99 = max(result.Changes.P99, round(delays[quantileIndex(len(delays), 0.99)].Seconds()))
			result.Changes.Max = max(result.Changes.Max, round(delays[len(delays)-1].Seconds()))
		}
	}
	if result.Changes.Count > 0 {
		result.Changes.Median = round(medianSum / float64(result.Changes.Count))
	}
	result.Units.Kind, result.Units.Limit = f.traffic().Kind, unitsPerNode*f.size
	result.Units.MaxPerSecond = maxUnitsPerSecond(f.unitCounts)
	result.Clients = f.clientStats.snapshot()
	result.Targets = f.targets()
	sharedLeaderFollowers := 0
	for leader, nodes := range nodesByLeader {
		if f.options.ControlNodes == 0 && leader >= 0 && !f.hasDedicatedProcess[leader] {
			sharedLeaderFollowers += nodes
		}
	}
	result.Notes = append(result.Notes, "at the end "+describeLeaders(nodesByLeader))
	switch {
	case len(f.failures) > 0:
		result.InvalidReason = f.failures[0]
	case result.MaxDelayMS > maxDelayMS || result.LateSampleRatio > maxLateSampleRatio:
		result.InvalidReason = fmt.Sprintf("the run was %.0f ms late at most, and over %v at %g of its looks",
			result.MaxDelayMS, lateThreshold, result.LateSampleRatio)
	case sharedLeaderFollowers > f.size/100: // the cost of that leader is counted as that of ordinary nodes
		result.Notes = append(result.Notes,
			fmt.Sprintf("%d nodes ask one that shares its process", sharedLeaderFollowers))
	}
}

// maxUnitsPerSecond returns the maximum number of units in any second. A second consists of complete buckets, so that
// no unit outside it is counted.
func maxUnitsPerSecond(buckets map[int64]int) (maximum int) {
	if len(buckets) == 0 {
		return 0
	}
	first, last := int64(math.MaxInt64), int64(0)
	for i := range buckets {
		first, last = min(first, i), max(last, i)
	}
	sum := 0
	for i := first; i <= last; i++ {
		sum += buckets[i] - buckets[i-1000/unitBucketMS]
		maximum = max(maximum, sum)
	}
	return maximum
}
