package rig

import (
	"errors"
	"os"
	"syscall"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

// acted notes that an event was seen to act, at who met it.
func (r *run) recordEffect(event, count int) {
	r.mu.Lock()
	r.effects[event] += count
	r.mu.Unlock()
}

// chosen gives the nodes that an event is about.
func (r *run) selectNodes(e Event) (nodes []*node) {
	if len(e.Nodes) > 0 {
		for _, i := range e.Nodes {
			nodes = append(nodes, r.nodes[i])
		}
		return nodes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group := r.nodes[:r.scenario.Nodes]
	if e.Group == "control" {
		group = r.nodes[r.scenario.Nodes:]
	}
	for _, i := range r.rng.Perm(len(group))[:countOf(len(group), e.Fraction)] {
		nodes = append(nodes, group[i])
	}
	return nodes
}

// inTurn does something to each of count, spread over the event's time one by one or in its steps, and returns when all is done.
func (r *run) stagger(e Event, count int, hit func(i int)) {
	startedAt := time.Now()
	done := make(chan struct{}, count)
	for i := range count {
		go func() {
			defer func() { done <- struct{}{} }()
			offset := float64(i) / float64(count)
			if e.Steps > 0 {
				offset = float64(i*e.Steps/count) / float64(e.Steps)
			}
			if r.sleep(time.Until(startedAt.Add(time.Duration(float64(e.Stagger) * offset)))) {
				hit(i)
			}
		}()
	}
	for range count {
		<-done
	}
}

// trouble lets an event happen, to its end.
func (r *run) inject(index int, e Event) {
	duration := time.Duration(e.Duration)
	switch e.Kind {
	case "kill", "stop":
		nodes := r.selectNodes(e)
		r.stagger(e, len(nodes), func(i int) { r.restart(index, e, nodes[i]) })
	case "pause":
		nodes := r.selectNodes(e)
		r.stagger(e, len(nodes), func(i int) {
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
			time.Sleep(200 * time.Millisecond) // what waited meanwhile
			r.setDisturbed(n, false)
		})
	case "twin":
		for _, n := range r.selectNodes(e) {
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
	case "split": // words between the two halves
		var directions []*emulator.Direction
		for i := range r.nodes {
			for j := range i {
				if r.isInFirstHalf(i) != r.isInFirstHalf(j) {
					directions = append(append(directions, r.datagramDirections(i, j)...), r.datagramDirections(j, i)...)
				}
			}
		}
		r.switchFault(index, directions, func(direction *emulator.Direction, on bool) { direction.Set(modeIf(on, emulator.Drop), 0) }, duration)
	case "link":
		r.injectLinkFault(index, e, duration)
	case "replace_servers":
		r.replaceServers(index, e)
	case "crash_servers", "hang_servers":
		for _, s := range r.selectServers(e) {
			if e.Kind == "hang_servers" {
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
		nodes := r.selectNodes(e)
		r.stagger(e, len(nodes), func(i int) { r.upgrade(index, nodes[i]) })
	case "reload":
		nodes := r.selectNodes(e)
		r.stagger(e, len(nodes), func(i int) { r.reload(index, nodes[i]) })
	case "log_stuck":
		r.applyFor(r.selectNodes(e), duration, func(n *node, p *process.Process, on bool) {
			if p.PauseLog(on); on {
				r.recordEffect(index, 1)
			}
		})
	case "clock_step":
		r.applyFor(r.selectNodes(e), duration, func(n *node, p *process.Process, on bool) {
			if on {
				r.setClockOffset(n, time.Duration(e.ClockOffset))
				r.recordEffect(index, 1)
			} else {
				r.setClockOffset(n, 0)
			}
		})
	case "syscalls":
		r.applyFor(r.selectNodes(e), duration, func(n *node, p *process.Process, on bool) { r.setSyscallFailures(index, e, n, on) })
	case "spoil_servers":
		for _, s := range r.selectServers(e) {
			s.SetMalformedFraction(e.Probability)
			r.tasks.Go(func() {
				r.sleep(duration)
				s.SetMalformedFraction(0)
				r.recordEffect(index, int(s.MalformedAnswers.Load()))
			})
		}
	case "list_stuck": // and those who ask it call anew meanwhile
		staleBefore := r.listService.StaleAnswers.Load()
		nodes := r.selectNodes(e)
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

// eachFor does something to the processes that nodes have now, and undoes it after a while.
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

// upgrade starts a node's next process beside the one that serves, which is told to stop once the next serves.
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

// stopProcess tells a process of a node to stop, and waits until it has. It tells whether it did so in time.
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

// reload has a node's process ask the other address of the list service.
func (r *run) reload(index int, n *node) {
	cfg, p := r.nodeConfig(n, 0), r.currentProcess(n)
	r.mu.Lock()
	if n.usesAlternateList = !n.usesAlternateList; n.usesAlternateList {
		cfg["discovery"] = r.alternateListAddr
	}
	r.mu.Unlock()
	if err := p.Reload(cfg); errors.Is(err, os.ErrClosed) { // the process has been killed meanwhile
		return
	} else if err != nil {
		r.fail("node %d cannot be reloaded: %v", n.index, err)
		return
	}
	r.recordEffect(index, 1)
}

// step has the wall clock of a node's machine be off.
func (r *run) setClockOffset(n *node, offset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.shim.SetClockOffset(offset)
}

// failCalls has system calls of a node's process fail by chance, or no more.
func (r *run) setSyscallFailures(index int, e Event, n *node, on bool) {
	r.mu.Lock()
	nodeShim := n.shim
	r.mu.Unlock()
	for _, call := range e.Syscalls {
		if on {
			nodeShim.SetFailureProbability(syscalls[call], e.Probability)
		} else {
			nodeShim.SetFailureProbability(syscalls[call], 0)
		}
	}
	if !on {
		r.recordEffect(index, int(nodeShim.FailedCalls.Load()))
	}
}

// half tells on which side of a split a process is: that of the first zones, or of the first nodes where there is one zone.
func (r *run) isInFirstHalf(index int) bool {
	s := r.scenario
	if s.Zones > 1 {
		return s.zone(index) < s.Zones/2
	} else if index >= s.Nodes {
		return index-s.Nodes < s.ControlMachines/2
	}
	return index < s.Nodes/2
}

// generations tells that one of two processes is the other's control machine.
func (r *run) isParentAndChild(i, j int) bool {
	return r.scenario.ControlMachines > 0 && (i < r.scenario.Nodes) != (j < r.scenario.Nodes)
}

// wordWay is the way of words from one process to another, where there is one.
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

func modeIf(on bool, mode emulator.Mode) emulator.Mode {
	if on {
		return mode
	}
	return emulator.Pass
}

// fault switches something on for a while, and counts what met it.
func (r *run) switchFault(index int, directions []*emulator.Direction, set func(w *emulator.Direction, on bool), duration time.Duration) {
	countAffected := func() (n int) {
		for _, w := range directions {
			n += int(w.RandomFaults.Load() + w.Delayed.Load())
			for i := range w.Affected {
				n += int(w.Affected[i].Load())
			}
		}
		return n
	}
	affectedBefore := countAffected()
	for _, w := range directions {
		set(w, true)
	}
	r.sleep(duration)
	r.recordEffect(index, countAffected()-affectedBefore)
	for _, w := range directions {
		set(w, false)
	}
}

func (r *run) injectLinkFault(index int, e Event, duration time.Duration) {
	var directions []*emulator.Direction
	nodes := r.selectNodes(e)
	for _, n := range nodes {
		for _, to := range []bool{true, false} {
			if to && e.Direction == "from" || !to && e.Direction == "to" {
				continue
			}
			if e.Link != "peers" && e.Link != "children" {
				directions = append(directions, r.direction(e.Link, n.index, to))
				continue
			}
			for other := range r.nodes {
				if other == n.index || e.Link == "children" != r.isParentAndChild(other, n.index) {
					continue
				} else if to {
					directions = append(directions, r.datagramDirections(other, n.index)...)
				} else {
					directions = append(directions, r.datagramDirections(n.index, other)...)
				}
			}
		}
		if e.Link == "clients" { // trouble at servers frees no request of its answer
			r.setDisturbed(n, true)
		}
	}
	startedAt := time.Now()
	r.switchFault(index, directions, func(w *emulator.Direction, on bool) {
		if w.Set(modeIf(on, linkModes[e.Mode]), time.Duration(e.Delay)); !on {
			w.Set(emulator.Pass, 0)
			w.SetRandomFaults(0, 0, 0)
		} else {
			w.SetRandomFaults(e.Loss, e.Duplicate, e.Reorder)
		}
	}, duration)
	if isDelaying := e.Mode == "drop" || e.Mode == "stall" || e.Delay > 0; isDelaying && e.Link == "servers" { // a server whose answer is held back reads no end either
		for _, n := range nodes {
			r.checker.ServerLinksImpaired(n.index, startedAt, time.Now().Add(time.Duration(e.Delay)))
		}
	}
	if e.Link == "clients" {
		time.Sleep(100 * time.Millisecond)
		for _, n := range nodes {
			r.setDisturbed(n, false)
		}
	}
}

// restart ends a node's process, at once or in order, and starts it anew with nothing remembered after a while.
func (r *run) restart(index int, e Event, n *node) {
	p := r.currentProcess(n)
	if e.AwaitReady {
		select {
		case <-p.Ready:
		case <-p.Exited:
		case <-r.ended:
		case <-time.After(readyTimeout):
		}
	}
	r.setDisturbed(n, true)
	if e.Kind == "kill" {
		if p.Kill() {
			r.recordEffect(index, 1)
		}
	} else {
		if r.stopProcess(n, p) {
			r.recordEffect(index, 1)
		}
	}
	if r.sleep(time.Duration(e.Duration)) {
		r.startNode(index, n, time.Duration(e.ClockOffset), false)
	}
	r.setDisturbed(n, false)
}

// some gives the servers that an event is about: of those that are up.
func (r *run) selectServers(e Event) (selected []*emulator.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var upServers []*emulator.Server
	for _, s := range r.servers {
		if !s.Leaving() {
			upServers = append(upServers, s)
		}
	}
	for _, i := range r.rng.Perm(len(upServers))[:countOf(len(upServers), e.Fraction)] {
		selected = append(selected, upServers[i])
	}
	return selected
}

// replace starts new servers, and has old ones drain and go.
func (r *run) replaceServers(index int, e Event) {
	old := r.selectServers(e)
	r.stagger(e, len(old), func(i int) {
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
		if r.sleep(time.Duration(e.Duration)) {
			r.reportLeaving(old[i], "removed")
			old[i].Stop()
		}
	})
}
