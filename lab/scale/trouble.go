package scale

import (
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"brassmux/lab/emulator"
)

// happen is the scenario: it goes on for the time that is counted, and for as long as its trouble lasts.
func (f *fleet) happen() {
	calm := f.o.Duration / 3 // before the trouble, for the means; and as long after it
	switch f.o.Scenario {
	case "restarts":
		f.restarts()
		return
	case "leader":
		f.sleep(calm)
		f.mark()
		f.killLeader()
		f.sleep(2 * calm)
		return
	case "steady":
		f.sleep(f.o.Duration)
		return
	}
	f.sleep(calm)
	switch f.o.Scenario {
	case "zone":
		lost := f.in(func(n int) bool { return zoneOf(n) == lostZone })
		f.die(lost)
		f.sleep(f.o.OutageDuration)
		f.mark()
		f.revive(lost)
	case "region":
		cut := f.in(func(n int) bool { return regionOf(zoneOf(n)) == cutRegion })
		f.cut(&apart{Regions: []int{cutRegion}})
		f.sleep(f.o.OutageDuration)
		f.mark()
		f.cameBack(cut)
		f.cut(&apart{})
	case "cold":
		all := f.in(func(int) bool { return true })
		f.die(all)
		f.sleep(f.o.OutageDuration)
		f.mark()
		f.revive(all)
	}
	f.sleep(2 * calm)
}

// The zone that is lost, and the region that is cut off: not those of the list service.
const (
	lostZone  = 5
	cutRegion = 3
)

// restartsPart is the part of the nodes that is restarted in the wave.
const restartsPart = 0.1

func (f *fleet) in(is func(node int) bool) (nodes []int) {
	for _, i := range f.place.all() {
		if is(i) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// cameBack has what is in force at nodes counted from now on at the earliest.
func (f *fleet) cameBack(nodes []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		f.back[n] = time.Now()
	}
}

// mark has what comes from now on counted as a wave.
func (f *fleet) mark() {
	for _, p := range f.procs() {
		p.in.Encode(order{Do: doMark})
	}
}

// cut sets which places are cut off: at the hollow nodes, at the list service, and on the real nodes' relay.
func (f *fleet) cut(a *apart) {
	f.links.apart.Store(a)
	for _, p := range f.procs() {
		p.in.Encode(order{Do: doApart, Apart: a})
	}
	f.shape()
}

// shape has the real nodes' ways be as the links are.
func (f *fleet) shape() {
	for a := range Zones {
		for b := range Zones {
			delay, lose, off := f.links.between(a, b)
			mode := emulator.Pass
			if off {
				mode = emulator.Drop
			}
			f.shaped[a][b].Set(mode, delay)
			f.shaped[a][b].SetRandomFaults(lose, 0, 0)
		}
	}
}

// known is the list as nodes that start now know it.
func (f *fleet) known() json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, _ := json.Marshal(f.listed())
	return data
}

// listed is the list as it is. f.mu is held where others may change it.
func (f *fleet) listed() map[string]any {
	entries := []emulator.Endpoint{}
	for _, s := range f.servers {
		e := emulator.Endpoint{ID: s.ID, Addr: s.Addr(), State: "up", Weight: 1}
		if !s.Started.IsZero() {
			e.Started = s.Started.UnixMilli()
		}
		entries = append(entries, e)
	}
	return map[string]any{"version": f.version, "full": true, "servers": entries}
}

// order tells the parts of the nodes to do something with them.
func (f *fleet) order(do string, nodes []int, known json.RawMessage) {
	for _, p := range f.parts {
		var own []int
		for _, n := range p.numbers {
			if _, ok := slices.BinarySearch(nodes, n); ok {
				own = append(own, n)
			}
		}
		if len(own) > 0 && !p.killed {
			p.in.Encode(order{Do: do, Nodes: own, Known: known})
		}
	}
}

// real gives the real nodes among some.
func (f *fleet) real(nodes []int) (found []*realNode) {
	for _, n := range f.reals {
		if _, ok := slices.BinarySearch(nodes, n.number); ok {
			found = append(found, n)
		}
	}
	return found
}

// die has nodes die with all they hold.
func (f *fleet) die(nodes []int) {
	f.order(doDie, nodes, nil)
	for _, n := range f.real(nodes) {
		if !n.process().Kill() {
			f.fault("node %d was not killed", n.number)
		}
	}
}

// revive starts them anew, all at once, with the list that their files have: the one of the run's start.
func (f *fleet) revive(nodes []int) {
	f.cameBack(nodes)
	f.order(doBack, nodes, nil)
	for _, n := range f.real(nodes) {
		go func() {
			if err := f.startReal(n); err != nil {
				f.fault("%v", err)
			}
		}()
	}
}

// restarts has a tenth of the nodes stop in order and start anew, one after the other over two thirds of the time.
func (f *fleet) restarts() {
	begun := time.Now()
	first := f.leaders()[0] // its death is another scenario
	var nodes []int
	for i := range f.n {
		if i%int(1/restartsPart) == 3 && i != first {
			nodes = append(nodes, i)
		}
	}
	for i, n := range nodes {
		if !f.sleep(time.Until(begun.Add(f.o.Duration * 2 / 3 * time.Duration(i) / time.Duration(len(nodes))))) {
			return
		}
		f.cameBack([]int{n})
		f.order(doAgain, []int{n}, f.known())
		for _, n := range f.real([]int{n}) {
			go func() {
				p := n.process()
				p.Stop()
				<-p.Exited
				if err := f.startReal(n); err != nil {
					f.fault("%v", err)
				}
			}()
		}
	}
	f.sleep(time.Until(begun.Add(f.o.Duration)))
}

// killLeader kills the process of whoever leads.
func (f *fleet) killLeader() {
	for _, p := range f.parts {
		if p.role != "leader" {
			continue
		}
		f.mu.Lock()
		for _, n := range p.numbers {
			f.gone[n] = true
		}
		p.killed = true
		delete(f.states, p)
		f.mu.Unlock()
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.dead
	}
}
