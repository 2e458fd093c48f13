package scale

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"brassmux/lab/process"
)

// leaderCandidates returns the nodes that may become leader, first choice first. Each runs in a separate process.
func (f *fleet) leaderCandidates() []int {
	if f.options.ControlNodes == 0 {
		return leaderRanking(f.size)[:candidateCount]
	}
	candidates := leaderRanking(f.options.ControlNodes)
	for i := range candidates {
		candidates[i] += f.topology.firstControlNode()
	}
	return candidates
}

// leaderCounts returns the number of emulated nodes by leader, and the number of nodes whose leader has a quorum.
func (f *fleet) leaderCounts() (nodesByLeader map[int]int, inQuorum int) {
	nodesByLeader = map[int]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, state := range f.leaderStates {
		for leader, nodes := range state.NodesByLeader {
			nodesByLeader[leader] += nodes
		}
		inQuorum += state.InQuorum
	}
	return nodesByLeader, inQuorum
}

// describeLeaders returns a summary of the number of nodes by leader.
func describeLeaders(nodesByLeader map[int]int) string {
	leaders, mainLeader, followers := 0, -1, 0
	for _, leader := range slices.Sorted(maps.Keys(nodesByLeader)) {
		if nodes := nodesByLeader[leader]; leader >= 0 {
			if leaders++; nodes > followers {
				mainLeader, followers = leader, nodes
			}
		}
	}
	return fmt.Sprintf("%d nodes ask nobody, the others %d keepers, most (%d) number %d",
		nodesByLeader[-1], leaders, followers, mainLeader)
}

// settle waits until all nodes have applied the list and follow a leader, and until the effects of the start are over.
func (f *fleet) settle() {
	if err := f.addServer(time.Now()); err != nil {
		f.failf("starting a server: %v", err)
	}
	if f.result.Settled = f.awaitApplied(f.listVersion, 45*time.Second); !f.result.Settled {
		f.mu.Lock()
		applied := len(f.applied[f.listVersion])
		f.mu.Unlock()
		f.result.Notes = append(f.result.Notes, fmt.Sprintf("the first change was at %d nodes after 45 s", applied))
		f.logf("%s", f.result.Notes[len(f.result.Notes)-1])
	}
	for i := 0; i < 40; i++ {
		if _, inQuorum := f.leaderCounts(); inQuorum > (f.size+f.options.ControlNodes-f.options.RealNodes)*99/100 {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	nodesByLeader, inQuorum := f.leaderCounts()
	f.result.Settled = f.result.Settled && inQuorum > (f.size+f.options.ControlNodes-f.options.RealNodes)*99/100
	f.logf("%s; %d nodes have a leader with a quorum", describeLeaders(nodesByLeader), inQuorum)
	resident := 0.0
	for _, p := range f.workerProcesses() {
		resident += process.ReadUsage(strconv.Itoa(p.cmd.Process.Pid)).Resident
	}
	if f.logf("%.0f MB resident", resident/1e6); resident > totalMemory()/2 {
		f.failf("worker processes use %.0f MB, more than half of the machine's memory", resident/1e6)
	}
	go f.startClients()
	time.Sleep(6 * time.Second) // longer than the term of any lease
}
