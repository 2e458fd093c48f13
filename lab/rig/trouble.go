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
func (r *rig) acted(event, times int) {
	r.mu.Lock()
	r.effects[event] += times
	r.mu.Unlock()
}

// chosen gives the nodes that an event is about.
func (r *rig) chosen(e Event) (nodes []*node) {
	if len(e.Nodes) > 0 {
		for _, i := range e.Nodes {
			nodes = append(nodes, r.nodes[i])
		}
		return nodes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	of := r.nodes[:r.s.Nodes]
	if e.Group == "control" {
		of = r.nodes[r.s.Nodes:]
	}
	for _, i := range r.rng.Perm(len(of))[:part(len(of), e.Fraction)] {
		nodes = append(nodes, of[i])
	}
	return nodes
}

// inTurn does something to each of count, spread over the event's time one by one or in its steps, and returns when all is done.
func (r *rig) inTurn(e Event, count int, do func(i int)) {
	begun := time.Now()
	done := make(chan struct{}, count)
	for i := range count {
		go func() {
			defer func() { done <- struct{}{} }()
			turn := float64(i) / float64(count)
			if e.Steps > 0 {
				turn = float64(i*e.Steps/count) / float64(e.Steps)
			}
			if r.sleep(time.Until(begun.Add(time.Duration(float64(e.Stagger) * turn)))) {
				do(i)
			}
		}()
	}
	for range count {
		<-done
	}
}

// trouble lets an event happen, to its end.
func (r *rig) trouble(at int, e Event) {
	lasts := time.Duration(e.Duration)
	switch e.Kind {
	case "kill", "stop":
		nodes := r.chosen(e)
		r.inTurn(e, len(nodes), func(i int) { r.restart(at, e, nodes[i]) })
	case "pause":
		nodes := r.chosen(e)
		r.inTurn(e, len(nodes), func(i int) {
			n := nodes[i]
			p := r.process(n)
			r.disturb(n, true)
			stopped := time.Now()
			p.Signal(syscall.SIGSTOP)
			for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
				if p.Suspended() {
					r.acted(at, 1)
					break
				}
			}
			r.sleep(lasts)
			r.ref.NodeResumed(n.index, stopped, time.Now())
			p.Signal(syscall.SIGCONT)
			time.Sleep(200 * time.Millisecond) // what waited meanwhile
			r.disturb(n, false)
		})
	case "twin":
		for _, n := range r.chosen(e) {
			p := r.startNode(at, n, 0, true)
			if p == nil {
				return
			}
			if _, up := p.Address(); up {
				r.acted(at, 1)
			}
			r.work.Go(func() {
				if r.sleep(lasts) {
					p.Kill()
				}
			})
		}
	case "split": // words between the two halves
		var ways []*emulator.Direction
		for i := range r.nodes {
			for j := range i {
				if r.half(i) != r.half(j) {
					ways = append(append(ways, r.wordWay(i, j)...), r.wordWay(j, i)...)
				}
			}
		}
		r.fault(at, ways, func(w *emulator.Direction, on bool) { w.Set(mode(on, emulator.Drop), 0) }, lasts)
	case "link":
		r.link(at, e, lasts)
	case "replace_servers":
		r.replace(at, e)
	case "crash_servers", "hang_servers":
		for _, s := range r.some(e) {
			if e.Kind == "hang_servers" {
				s.SetHanging(true)
				r.work.Go(func() {
					r.sleep(lasts)
					s.SetHanging(false)
					r.acted(at, int(s.HangingLines.Load()))
				})
				continue
			}
			s.Stop()
			r.acted(at, 1)
			r.work.Go(func() {
				r.sleep(lasts)
				r.leave(s, "removed")
				if err := r.newServer(time.Now()); err != nil {
					r.fail("a server does not start: %v", err)
				}
			})
		}
	case "upgrade":
		nodes := r.chosen(e)
		r.inTurn(e, len(nodes), func(i int) { r.upgrade(at, nodes[i]) })
	case "reload":
		nodes := r.chosen(e)
		r.inTurn(e, len(nodes), func(i int) { r.reload(at, nodes[i]) })
	case "log_stuck":
		r.eachFor(r.chosen(e), lasts, func(n *node, p *process.Process, on bool) {
			if p.PauseLog(on); on {
				r.acted(at, 1)
			}
		})
	case "clock_step":
		r.eachFor(r.chosen(e), lasts, func(n *node, p *process.Process, on bool) {
			if on {
				r.step(n, time.Duration(e.ClockOffset))
				r.acted(at, 1)
			} else {
				r.step(n, 0)
			}
		})
	case "syscalls":
		r.eachFor(r.chosen(e), lasts, func(n *node, p *process.Process, on bool) { r.failCalls(at, e, n, on) })
	case "spoil_servers":
		for _, s := range r.some(e) {
			s.SetMalformedFraction(e.Probability)
			r.work.Go(func() {
				r.sleep(lasts)
				s.SetMalformedFraction(0)
				r.acted(at, int(s.MalformedAnswers.Load()))
			})
		}
	case "list_stuck": // and those who ask it call anew meanwhile
		before := r.list.StaleAnswers.Load()
		nodes := r.chosen(e)
		for _, n := range nodes {
			r.list.SetStale(n.index, true)
		}
		r.sleep(lasts)
		for _, n := range nodes {
			r.list.SetStale(n.index, false)
		}
		r.acted(at, int(r.list.StaleAnswers.Load()-before))
	case "list_down":
		r.mu.Lock()
		before := r.totals["list calls failed"]
		r.mu.Unlock()
		r.listDown(true)
		r.sleep(lasts)
		r.listDown(false)
		r.mu.Lock()
		r.effects[at] += r.totals["list calls failed"] - before
		r.mu.Unlock()
	}
}

// eachFor does something to the processes that nodes have now, and undoes it after a while.
func (r *rig) eachFor(nodes []*node, lasts time.Duration, do func(n *node, p *process.Process, on bool)) {
	var all []*process.Process
	for _, n := range nodes {
		p := r.process(n)
		all = append(all, p)
		do(n, p, true)
	}
	r.sleep(lasts)
	for i, n := range nodes {
		do(n, all[i], false)
	}
}

// upgrade starts a node's next process beside the one that serves, which is told to stop once the next serves.
func (r *rig) upgrade(at int, n *node) {
	before := r.process(n)
	next := r.startNode(at, n, 0, false)
	if next == nil {
		return
	}
	if _, up := next.Address(); up {
		r.acted(at, 1)
	}
	r.stopProcess(n, before)
}

// stopProcess tells a process of a node to stop, and waits until it has. It tells whether it did so in time.
func (r *rig) stopProcess(n *node, p *process.Process) bool {
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
func (r *rig) reload(at int, n *node) {
	cfg, p := r.config(n, 0), r.process(n)
	r.mu.Lock()
	if n.elsewhere = !n.elsewhere; n.elsewhere {
		cfg["discovery"] = r.other
	}
	r.mu.Unlock()
	if err := p.Reload(cfg); errors.Is(err, os.ErrClosed) { // the process has been killed meanwhile
		return
	} else if err != nil {
		r.fail("node %d cannot be reloaded: %v", n.index, err)
		return
	}
	r.acted(at, 1)
}

// step has the wall clock of a node's machine be off.
func (r *rig) step(n *node, off time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.shim.SetClockOffset(off)
}

// failCalls has system calls of a node's process fail by chance, or no more.
func (r *rig) failCalls(at int, e Event, n *node, on bool) {
	r.mu.Lock()
	s := n.shim
	r.mu.Unlock()
	for _, call := range e.Syscalls {
		if on {
			s.SetFailureProbability(calls[call], e.Probability)
		} else {
			s.SetFailureProbability(calls[call], 0)
		}
	}
	if !on {
		r.acted(at, int(s.FailedCalls.Load()))
	}
}

// half tells on which side of a split a process is: that of the first zones, or of the first nodes where there is one zone.
func (r *rig) half(index int) bool {
	s := r.s
	if s.Zones > 1 {
		return s.zone(index) < s.Zones/2
	} else if index >= s.Nodes {
		return index-s.Nodes < s.ControlMachines/2
	}
	return index < s.Nodes/2
}

// generations tells that one of two processes is the other's control machine.
func (r *rig) generations(i, j int) bool {
	return r.s.ControlMachines > 0 && (i < r.s.Nodes) != (j < r.s.Nodes)
}

// wordWay is the way of words from one process to another, where there is one.
func (r *rig) wordWay(from, to int) []*emulator.Direction {
	switch n := r.s.Nodes; {
	case r.generations(from, to):
		return []*emulator.Direction{r.below.Direction(from, to)}
	case r.s.ControlMachines == 0:
		return []*emulator.Direction{r.words.Direction(from, to)}
	case from >= n:
		return []*emulator.Direction{r.words.Direction(from-n, to-n)}
	}
	return nil // two nodes below control machines
}

func mode(on bool, m emulator.Mode) emulator.Mode {
	if on {
		return m
	}
	return emulator.Pass
}

// fault switches something on for a while, and counts what met it.
func (r *rig) fault(at int, ways []*emulator.Direction, set func(w *emulator.Direction, on bool), lasts time.Duration) {
	met := func() (n int) {
		for _, w := range ways {
			n += int(w.RandomFaults.Load() + w.Delayed.Load())
			for i := range w.Affected {
				n += int(w.Affected[i].Load())
			}
		}
		return n
	}
	before := met()
	for _, w := range ways {
		set(w, true)
	}
	r.sleep(lasts)
	r.acted(at, met()-before)
	for _, w := range ways {
		set(w, false)
	}
}

func (r *rig) link(at int, e Event, lasts time.Duration) {
	var ways []*emulator.Direction
	nodes := r.chosen(e)
	for _, n := range nodes {
		for _, to := range []bool{true, false} {
			if to && e.Direction == "from" || !to && e.Direction == "to" {
				continue
			}
			if e.Link != "peers" && e.Link != "children" {
				ways = append(ways, r.way(e.Link, n.index, to))
				continue
			}
			for other := range r.nodes {
				if other == n.index || e.Link == "children" != r.generations(other, n.index) {
					continue
				} else if to {
					ways = append(ways, r.wordWay(other, n.index)...)
				} else {
					ways = append(ways, r.wordWay(n.index, other)...)
				}
			}
		}
		if e.Link == "clients" { // trouble at servers frees no request of its answer
			r.disturb(n, true)
		}
	}
	begun := time.Now()
	r.fault(at, ways, func(w *emulator.Direction, on bool) {
		if w.Set(mode(on, modes[e.Mode]), time.Duration(e.Delay)); !on {
			w.Set(emulator.Pass, 0)
			w.SetRandomFaults(0, 0, 0)
		} else {
			w.SetRandomFaults(e.Loss, e.Duplicate, e.Reorder)
		}
	}, lasts)
	if holds := e.Mode == "drop" || e.Mode == "stall" || e.Delay > 0; holds && e.Link == "servers" { // a server whose answer is held back reads no end either
		for _, n := range nodes {
			r.ref.ServerLinksImpaired(n.index, begun, time.Now().Add(time.Duration(e.Delay)))
		}
	}
	if e.Link == "clients" {
		time.Sleep(100 * time.Millisecond)
		for _, n := range nodes {
			r.disturb(n, false)
		}
	}
}

// restart ends a node's process, at once or in order, and starts it anew with nothing remembered after a while.
func (r *rig) restart(at int, e Event, n *node) {
	p := r.process(n)
	if e.AwaitReady {
		select {
		case <-p.Ready:
		case <-p.Exited:
		case <-r.over:
		case <-time.After(readyWithin):
		}
	}
	r.disturb(n, true)
	if e.Kind == "kill" {
		if p.Kill() {
			r.acted(at, 1)
		}
	} else {
		if r.stopProcess(n, p) {
			r.acted(at, 1)
		}
	}
	if r.sleep(time.Duration(e.Duration)) {
		r.startNode(at, n, time.Duration(e.ClockOffset), false)
	}
	r.disturb(n, false)
}

// some gives the servers that an event is about: of those that are up.
func (r *rig) some(e Event) (found []*emulator.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var up []*emulator.Server
	for _, s := range r.servers {
		if !s.Leaving() {
			up = append(up, s)
		}
	}
	for _, i := range r.rng.Perm(len(up))[:part(len(up), e.Fraction)] {
		found = append(found, up[i])
	}
	return found
}

// replace starts new servers, and has old ones drain and go.
func (r *rig) replace(at int, e Event) {
	old := r.some(e)
	r.inTurn(e, len(old), func(i int) {
		if err := r.newServer(time.Now().Truncate(time.Millisecond)); err != nil {
			r.fail("a server does not start: %v", err)
			return
		}
		if !r.sleep(time.Duration(r.s.ListService.PropagationDelay) + 50*time.Millisecond) {
			return
		}
		r.leave(old[i], "draining")
		old[i].Drain()
		r.acted(at, 1)
		if r.sleep(time.Duration(e.Duration)) {
			r.leave(old[i], "removed")
			old[i].Stop()
		}
	})
}
