package scale

import (
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"brassmux/lab/emulator"
)

// runScenario runs the scenario for the measured duration. The length of an outage is added to that.
func (f *fleet) runScenario() {
	phase := f.options.Duration / 3 // before the fault, to measure the baseline; the rest follows the fault
	switch f.options.Scenario {
	case "restarts":
		f.restartInTurn()
		return
	case "leader":
		f.sleep(phase)
		f.markPeak()
		f.killLeader()
		f.sleep(2 * phase)
		return
	case "steady":
		f.sleep(f.options.Duration)
		return
	}
	f.sleep(phase)
	switch f.options.Scenario {
	case "zone":
		lost := f.nodesWhere(func(n int) bool { return zoneOf(n) == failedZone })
		f.killNodes(lost)
		f.sleep(f.options.OutageDuration)
		f.markPeak()
		f.reviveNodes(lost)
	case "region":
		isolated := f.nodesWhere(func(n int) bool { return regionOf(zoneOf(n)) == isolatedRegion })
		f.setPartition(&partition{Regions: []int{isolatedRegion}})
		f.sleep(f.options.OutageDuration)
		f.markPeak()
		f.markReturned(isolated)
		f.setPartition(&partition{})
	case "cold":
		all := f.nodesWhere(func(int) bool { return true })
		f.killNodes(all)
		f.sleep(f.options.OutageDuration)
		f.markPeak()
		f.reviveNodes(all)
	}
	f.sleep(2 * phase)
}

// The zone that fails and the region that is cut off. The list service is in neither.
const (
	failedZone     = 5
	isolatedRegion = 3
)

// restartFraction is the fraction of the nodes that scenario "restarts" restarts.
const restartFraction = 0.1

// nodesWhere returns the indexes of the nodes for which matches returns true, in ascending order.
func (f *fleet) nodesWhere(matches func(node int) bool) (nodes []int) {
	for _, i := range f.topology.allNodes() {
		if matches(i) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// markReturned records that nodes return now: for earlier list changes, their delay counts from now on.
func (f *fleet) markReturned(nodes []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		f.returnedAt[n] = time.Now()
	}
}

// mark ends the baseline of the load peaks in all worker processes.
func (f *fleet) markPeak() {
	for _, p := range f.workerProcesses() {
		p.commands.Encode(command{Action: actionMark})
	}
}

// setPartition replaces the partition at the emulated nodes, at the list service and in the relay of the real nodes.
func (f *fleet) setPartition(partition *partition) {
	f.links.partition.Store(partition)
	for _, p := range f.workerProcesses() {
		p.commands.Encode(command{Action: actionPartition, Partition: partition})
	}
	f.updateRealNodeLinks()
}

// updateRealNodeLinks applies the current state of the links to the relay of the real nodes.
func (f *fleet) updateRealNodeLinks() {
	for from := range Zones {
		for to := range Zones {
			delay, lossRate, blocked := f.links.between(from, to)
			mode := emulator.Pass
			if blocked {
				mode = emulator.Drop
			}
			f.realNodeLinks[from][to].Set(mode, delay)
			f.realNodeLinks[from][to].SetRandomFaults(lossRate, 0, 0)
		}
	}
}

// knownList returns the current endpoint list as JSON, for nodes that start now.
func (f *fleet) knownList() json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, _ := json.Marshal(f.listSnapshot())
	return data
}

// listSnapshot returns the current endpoint list. The caller holds f.mu if other goroutines may change the list.
func (f *fleet) listSnapshot() map[string]any {
	endpoints := []emulator.Endpoint{}
	for _, server := range f.servers {
		endpoint := emulator.Endpoint{ID: server.ID, Addr: server.Addr(), State: "up", Weight: 1}
		if !server.Started.IsZero() {
			endpoint.Started = server.Started.UnixMilli()
		}
		endpoints = append(endpoints, endpoint)
	}
	return map[string]any{"version": f.listVersion, "full": true, "servers": endpoints}
}

// sendCommand sends a command for some nodes to the worker processes that run them. The nodes are in ascending order.
func (f *fleet) sendCommand(action string, nodes []int, knownList json.RawMessage) {
	for _, p := range f.nodeWorkers {
		var assigned []int
		for _, n := range p.nodes {
			if _, ok := slices.BinarySearch(nodes, n); ok {
				assigned = append(assigned, n)
			}
		}
		if len(assigned) > 0 && !p.killed {
			p.commands.Encode(command{Action: action, Nodes: assigned, KnownList: knownList})
		}
	}
}

// realNodesAmong returns the real nodes among some nodes, which are in ascending order.
func (f *fleet) realNodesAmong(nodes []int) (found []*realNode) {
	for _, n := range f.realNodes {
		if _, ok := slices.BinarySearch(nodes, n.index); ok {
			found = append(found, n)
		}
	}
	return found
}

// killNodes stops nodes abruptly. They lose their state.
func (f *fleet) killNodes(nodes []int) {
	f.sendCommand(actionKill, nodes, nil)
	for _, n := range f.realNodesAmong(nodes) {
		if !n.process().Kill() {
			f.failf("node %d was not killed", n.index)
		}
	}
}

// reviveNodes starts killed nodes again, all at once, with the endpoint list of their configuration: that of the start
// of the run.
func (f *fleet) reviveNodes(nodes []int) {
	f.markReturned(nodes)
	f.sendCommand(actionRevive, nodes, nil)
	for _, n := range f.realNodesAmong(nodes) {
		go func() {
			if err := f.startRealNode(n); err != nil {
				f.failf("%v", err)
			}
		}()
	}
}

// restartInTurn shuts down and restarts a tenth of the nodes, one after the other, spread over two thirds of the
// measured duration.
func (f *fleet) restartInTurn() {
	started := time.Now()
	leader := f.leaderCandidates()[0] // scenario "leader" covers its failure
	var nodes []int
	for i := range f.size {
		if i%int(1/restartFraction) == 3 && i != leader {
			nodes = append(nodes, i)
		}
	}
	for i, n := range nodes {
		if !f.sleep(time.Until(
			started.Add(f.options.Duration * 2 / 3 * time.Duration(i) / time.Duration(len(nodes))))) {
			return
		}
		f.markReturned([]int{n})
		f.sendCommand(actionRestart, []int{n}, f.knownList())
		for _, n := range f.realNodesAmong([]int{n}) {
			go func() {
				p := n.process()
				p.Stop()
				<-p.Exited
				if err := f.startRealNode(n); err != nil {
					f.failf("%v", err)
				}
			}()
		}
	}
	f.sleep(time.Until(started.Add(f.options.Duration)))
}

// killLeader kills the worker process of the leader. It does not come back.
func (f *fleet) killLeader() {
	for _, p := range f.nodeWorkers {
		if p.role != "leader" {
			continue
		}
		f.mu.Lock()
		for _, n := range p.nodes {
			f.killed[n] = true
		}
		p.killed = true
		delete(f.leaderStates, p)
		f.mu.Unlock()
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
}
