package rig

import (
	"errors"
	"os"
	"syscall"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

// recordEffect records that an event was observed to affect its targets.
func (r *run) recordEffect(event, count int) {
	r.mu.Lock()
	r.effects[event] += count
	r.mu.Unlock()
}

// selectNodes returns the nodes of an event: those that it names, or a random fraction.
func (r *run) selectNodes(event Event) (nodes []*node) {
	if len(event.Nodes) > 0 {
		for _, i := range event.Nodes {
			nodes = append(nodes, r.nodes[i])
		}
		return nodes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group := r.nodes[:r.scenario.Nodes]
	if event.Group == "control" {
		group = r.nodes[r.scenario.Nodes:]
	}
	for _, i := range r.rng.Perm(len(group))[:countOf(len(group), event.Fraction)] {
		nodes = append(nodes, group[i])
	}
	return nodes
}

// stagger calls hit for each of count targets, spread over the event's Stagger one by one or in its steps. It returns
// when all calls have.
func (r *run) stagger(event Event, count int, hit func(i int)) {
	startedAt := time.Now()
	done := make(chan struct{}, count)
	for i := range count {
		go func() {
			defer func() { done <- struct{}{} }()
			offset := float64(i) / float64(count)
			if event.Steps > 0 {
				offset = float64(i*event.Steps/count) / float64(event.Steps)
			}
			if r.sleep(time.Until(startedAt.Add(time.Duration(float64(event.Stagger) * offset)))) {
				hit(i)
			}
		}()
	}
	for range count {
		<-done
	}
}

// inject injects the fault of an event. It returns when the fault is over, or leaves the rest to tasks of the run.
func (r *run) inject(index int, event Event) {
	duration := time.Duration(event.Duration)
	switch event.Kind {
	case "kill", "stop":
		nodes := r.selectNodes(event)
		r.stagger(event, len(nodes), func(i int) { r.restart(index, event, nodes[i]) })
	case "pause":
		nodes := r.selectNodes(event)
		r.stagger(event, len(nodes), func(i int) {
			n := nodes[i]
			p := r.currentProcess(n)
			r.setDisturbed(n, true)
			suspendedAt := time.Now()
			p.Signal(syscall.SIGSTOP)
			for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if p.Suspended() {
					r.recordEffect(index, 1)
					break
				}
			}
			r.sleep(duration)
			r.checker.NodeResumed(n.index, suspendedAt, time.Now())
			p.Signal(syscall.SIGCONT)
			time.Sleep(200 * time.Millisecond) // until it has processed what arrived while it was suspended
			r.setDisturbed(n, false)
		})
	case "twin":
		for _, n := range r.selectNodes(event) {
			p := r.startNode(index, n, 0, true)
			if p == nil {
				return
			}
			if _, up := p.Address(); up {
				r.recordEffect(index, 1)
			}
			r.tasks.Go(func() {
				if r.sleep(duration) {
					p.Kill()
				}
			})
		}
	case "split": // drops all datagrams between the two halves of the processes
		var directions []*emulator.Direction
		for i := range r.nodes {
			for j := range i {
				if r.isInFirstHalf(i) != r.isInFirstHalf(j) {
					directions = append(append(directions, r.datagramDirections(i, j)...),
						r.datagramDirections(j, i)...)
				}
			}
		}
		r.switchFault(index, directions, func(direction *emulator.Direction, on bool) {
			direction.Set(modeIf(on, emulator.Drop), 0)
		}, duration)
	case "link":
		r.injectLinkFault(index, event, duration)
	case "replace_servers":
		r.replaceServers(index, event)
	case "crash_servers", "hang_servers":
		for _, s := range r.selectServers(event) {
			if event.Kind == "hang_servers" {
				s.SetHanging(true)
				r.tasks.Go(func() {
					r.sleep(duration)
					s.SetHanging(false)
					r.recordEffect(index, int(s.HangingLines.Load()))
				})
				continue
			}
			s.Stop()
			r.recordEffect(index, 1)
			r.tasks.Go(func() {
				r.sleep(duration)
				r.reportLeaving(s, "removed")
				if err := r.newServer(time.Now()); err != nil {
					r.fail("a server does not start: %v", err)
				}
			})
		}
	case "upgrade":
		nodes := r.selectNodes(event)
		r.stagger(event, len(nodes), func(i int) { r.upgrade(index, nodes[i]) })
	case "reload":
		nodes := r.selectNodes(event)
		r.stagger(event, len(nodes), func(i int) { r.reload(index, nodes[i]) })
	case "log_stuck":
		r.applyFor(r.selectNodes(event), duration, func(n *node, p *process.Process, on bool) {
			if p.PauseLog(on); on {
				r.recordEffect(index, 1)
			}
		})
	case "clock_step":
		r.applyFor(r.selectNodes(event), duration, func(n *node, p *process.Process, on bool) {
			if on {
				r.setClockOffset(n, time.Duration(event.ClockOffset))
				r.recordEffect(index, 1)
			} else {
				r.setClockOffset(n, 0)
			}
		})
	case "syscalls":
		r.applyFor(r.selectNodes(event), duration, func(n *node, p *process.Process, on bool) {
			r.setSyscallFailures(index, event, n, on)
		})
	case "spoil_servers":
		for _, s := range r.selectServers(event) {
			s.SetMalformedFraction(event.Probability)
			r.tasks.Go(func() {
				r.sleep(duration)
				s.SetMalformedFraction(0)
				r.recordEffect(index, int(s.MalformedAnswers.Load()))
			})
		}
	case "list_stuck": // the nodes' watches get stale lists
		staleBefore := r.listService.StaleAnswers.Load()
		nodes := r.selectNodes(event)
		for _, n := range nodes {
			r.listService.SetStale(n.index, true)
		}
		r.sleep(duration)
		for _, n := range nodes {
			r.listService.SetStale(n.index, false)
		}
		r.recordEffect(index, int(r.listService.StaleAnswers.Load()-staleBefore))
	case "list_down":
		r.mu.Lock()
		failedBefore := r.totals["list calls failed"]
		r.mu.Unlock()
		r.setListDown(true)
		r.sleep(duration)
		r.setListDown(false)
		r.mu.Lock()
		r.effects[index] += r.totals["list calls failed"] - failedBefore
		r.mu.Unlock()
	}
}

// applyFor applies a fault to the current processes of nodes and reverts it, on the same processes, after a duration.
func (r *run) applyFor(nodes []*node, duration time.Duration, apply func(n *node, p *process.Process, on bool)) {
	var processes []*process.Process
	for _, n := range nodes {
		p := r.currentProcess(n)
		processes = append(processes, p)
		apply(n, p, true)
	}
	r.sleep(duration)
	for i, n := range nodes {
		apply(n, processes[i], false)
	}
}

// upgrade starts a node's next process beside the current one, and stops the current one once the next one listens.
func (r *run) upgrade(index int, n *node) {
	old := r.currentProcess(n)
	next := r.startNode(index, n, 0, false)
	if next == nil {
		return
	}
	if _, up := next.Address(); up {
		r.recordEffect(index, 1)
	}
	r.stopProcess(n, old)
}

// stopProcess stops a process of a node with SIGTERM and waits for its exit. It reports whether it exited in time; if
// not, the run is invalid.
func (r *run) stopProcess(n *node, p *process.Process) bool {
	p.Stop()
	select {
	case <-p.Exited:
		return true
	case <-time.After(10 * time.Second):
		r.fail("node %d did not stop within 10 s of SIGTERM: %s", n.index, p.LogExcerpt(""))
		p.Kill()
		return false
	}
}

// reload reloads the configuration of a node's process with the other address of the list service.
func (r *run) reload(index int, n *node) {
	cfg, p := r.nodeConfig(n, 0), r.currentProcess(n)
	r.mu.Lock()
	if n.usesAlternateList = !n.usesAlternateList; n.usesAlternateList {
		cfg["discovery"] = r.alternateListAddr
	}
	r.mu.Unlock()
	if err := p.Reload(cfg); errors.Is(err, os.ErrClosed) { // another event has ended the process
		return
	} else if err != nil {
		r.fail("node %d cannot be reloaded: %v", n.index, err)
		return
	}
	r.recordEffect(index, 1)
}

// setClockOffset sets the offset of the wall clock of a node.
func (r *run) setClockOffset(n *node, offset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.shim.SetClockOffset(offset)
}

// setSyscallFailures makes system calls of a node's process fail at random, or ends that and records the failed calls.
func (r *run) setSyscallFailures(index int, event Event, n *node, on bool) {
	r.mu.Lock()
	nodeShim := n.shim
	r.mu.Unlock()
	for _, name := range event.Syscalls {
		if on {
			nodeShim.SetFailureProbability(syscalls[name], event.Probability)
		} else {
			nodeShim.SetFailureProbability(syscalls[name], 0)
		}
	}
	if !on {
		r.recordEffect(index, int(nodeShim.FailedCalls.Load()))
	}
}

// isInFirstHalf reports whether a process is in the first half of a split: the first half of the zones, or with one
// zone of the nodes and of the control machines.
func (r *run) isInFirstHalf(index int) bool {
	s := r.scenario
	if s.Zones > 1 {
		return s.zone(index) < s.Zones/2
	} else if index >= s.Nodes {
		return index-s.Nodes < s.ControlMachines/2
	}
	return index < s.Nodes/2
}

// isParentAndChild reports whether one of two processes is a node and the other a control machine.
func (r *run) isParentAndChild(i, j int) bool {
	return r.scenario.ControlMachines > 0 && (i < r.scenario.Nodes) != (j < r.scenario.Nodes)
}

// datagramDirections returns the direction of the datagrams from one process to another, or none if they exchange none.
func (r *run) datagramDirections(from, to int) []*emulator.Direction {
	switch n := r.scenario.Nodes; {
	case r.isParentAndChild(from, to):
		return []*emulator.Direction{r.childNetwork.Direction(from, to)}
	case r.scenario.ControlMachines == 0:
		return []*emulator.Direction{r.peerNetwork.Direction(from, to)}
	case from >= n:
		return []*emulator.Direction{r.peerNetwork.Direction(from-n, to-n)}
	}
	return nil // two nodes below control machines
}

// modeIf returns mode, or Pass if the fault is not on.
func modeIf(on bool, mode emulator.Mode) emulator.Mode {
	if on {
		return mode
	}
	return emulator.Pass
}

// switchFault switches a fault of links on for a duration, and records the traffic that it affected.
func (r *run) switchFault(index int, directions []*emulator.Direction,
	set func(direction *emulator.Direction, on bool), duration time.Duration) {
	countAffected := func() (n int) {
		for _, direction := range directions {
			n += int(direction.RandomFaults.Load() + direction.Delayed.Load())
			for i := range direction.Affected {
				n += int(direction.Affected[i].Load())
			}
		}
		return n
	}
	affectedBefore := countAffected()
	for _, direction := range directions {
		set(direction, true)
	}
	r.sleep(duration)
	r.recordEffect(index, countAffected()-affectedBefore)
	for _, direction := range directions {
		set(direction, false)
	}
}

// injectLinkFault impairs links of the event's nodes for a duration.
func (r *run) injectLinkFault(index int, event Event, duration time.Duration) {
	var directions []*emulator.Direction
	nodes := r.selectNodes(event)
	for _, n := range nodes {
		for _, toNode := range []bool{true, false} {
			if toNode && event.Direction == "from" || !toNode && event.Direction == "to" {
				continue
			}
			if event.Link != "peers" && event.Link != "children" {
				directions = append(directions, r.direction(event.Link, n.index, toNode))
				continue
			}
			for other := range r.nodes {
				if other == n.index || event.Link == "children" != r.isParentAndChild(other, n.index) {
					continue
				} else if toNode {
					directions = append(directions, r.datagramDirections(other, n.index)...)
				} else {
					directions = append(directions, r.datagramDirections(n.index, other)...)
				}
			}
		}
		if event.Link == "clients" { // with faults at other links the node still owes every request an answer
			r.setDisturbed(n, true)
		}
	}
	startedAt := time.Now()
	r.switchFault(index, directions, func(direction *emulator.Direction, on bool) {
		if direction.Set(modeIf(on, linkModes[event.Mode]), time.Duration(event.Delay)); !on {
			direction.Set(emulator.Pass, 0)
			direction.SetRandomFaults(0, 0, 0)
		} else {
			direction.SetRandomFaults(event.Loss, event.Duplicate, event.Reorder)
		}
	}, duration)
	// With answers held back, a server also receives the ends of attempts late.
	if isDelaying := event.Mode == "drop" || event.Mode == "stall" || event.Delay > 0; isDelaying &&
		event.Link == "servers" {
		for _, n := range nodes {
			r.checker.ServerLinksImpaired(n.index, startedAt, time.Now().Add(time.Duration(event.Delay)))
		}
	}
	if event.Link == "clients" {
		time.Sleep(100 * time.Millisecond)
		for _, n := range nodes {
			r.setDisturbed(n, false)
		}
	}
}

// restart kills or stops a node's process, and after the event's Duration starts a new one without any state.
func (r *run) restart(index int, event Event, n *node) {
	p := r.currentProcess(n)
	if event.AwaitReady {
		select {
		case <-p.Ready:
		case <-p.Exited:
		case <-r.ended:
		case <-time.After(readyTimeout):
		}
	}
	r.setDisturbed(n, true)
	if event.Kind == "kill" {
		if p.Kill() {
			r.recordEffect(index, 1)
		}
	} else {
		if r.stopProcess(n, p) {
			r.recordEffect(index, 1)
		}
	}
	if r.sleep(time.Duration(event.Duration)) {
		r.startNode(index, n, time.Duration(event.ClockOffset), false)
	}
	r.setDisturbed(n, false)
}

// selectServers returns a random fraction of the servers that are up.
func (r *run) selectServers(event Event) (selected []*emulator.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var upServers []*emulator.Server
	for _, s := range r.servers {
		if !s.Leaving() {
			upServers = append(upServers, s)
		}
	}
	for _, i := range r.rng.Perm(len(upServers))[:countOf(len(upServers), event.Fraction)] {
		selected = append(selected, upServers[i])
	}
	return selected
}

// replaceServers starts new servers, then drains and removes as many old ones.
func (r *run) replaceServers(index int, event Event) {
	old := r.selectServers(event)
	r.stagger(event, len(old), func(i int) {
		if err := r.newServer(time.Now().Truncate(time.Millisecond)); err != nil {
			r.fail("a server does not start: %v", err)
			return
		}
		if !r.sleep(time.Duration(r.scenario.ListService.PropagationDelay) + 50*time.Millisecond) {
			return
		}
		r.reportLeaving(old[i], "draining")
		old[i].Drain()
		r.recordEffect(index, 1)
		if r.sleep(time.Duration(event.Duration)) {
			r.reportLeaving(old[i], "removed")
			old[i].Stop()
		}
	})
}
