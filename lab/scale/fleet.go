package scale

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"brassmux/lab/emulator"
)

// Zones and regions that nodes are spread over. Node i is in zone i modulo Zones.
const (
	Zones   = 17
	Regions = 5
)

// place says how the machines of a fleet are numbered: nodes from 0, control machines from the next multiple of Zones, so that they are spread
// over the zones in the same way.
type place struct {
	Nodes    int `json:"nodes"`
	Control  int `json:"control"`  // control machines
	Port     int `json:"port"`     // of all hollow machines' words to others
	Children int `json:"children"` // and of control machines' words to nodes
}

func (p place) first() int { return (p.Nodes + Zones - 1) / Zones * Zones }

// is tells which control machine has a number; -1 for none.
func (p place) is(number int) int { return max(number-p.first(), -1) }

// all gives the numbers of all machines, in order.
func (p place) all() (numbers []int) {
	for i := range p.Nodes {
		numbers = append(numbers, i)
	}
	for c := range p.Control {
		numbers = append(numbers, p.first()+c)
	}
	return numbers
}

// prefers gives the control machines in a node's order: those of its zone, of its region, and the others, and nodes of one zone take turns.
func (p place) prefers(node int) (order []int) {
	zone := zoneOf(node)
	far := func(c int) int {
		switch z := zoneOf(p.first() + c); {
		case z == zone:
			return 0
		case regionOf(z) == regionOf(zone):
			return 1
		}
		return 2
	}
	for want := range 3 {
		var some []int
		for c := range p.Control {
			if far(c) == want {
				some = append(some, c)
			}
		}
		if n := len(some); n > 0 {
			turn := node / Zones % n
			order = append(append(order, some[turn:]...), some[:turn]...)
		}
	}
	return order
}

func zoneOf(node int) int   { return node % Zones }
func regionOf(zone int) int { return zone * Regions / Zones }

// listZone is where the list service is.
const listZone = 0

// Links says what the way between two machines is like, each way.
type Links struct {
	WithinZone     time.Duration `json:"zone"`    // within a zone
	WithinRegion   time.Duration `json:"region"`  // between zones of a region
	BetweenRegions time.Duration `json:"regions"` // between regions
	LossRate       float64       `json:"lose"`    // part of the datagrams between regions that is lost
}

// links is what the ways are like now. It is shared by many goroutines.
type links struct {
	Links
	apart atomic.Pointer[apart]
}

// apart says which are cut off: no way leads from there to any other place.
type apart struct {
	Zones   []int `json:"zones,omitempty"`
	Regions []int `json:"regions,omitempty"`
}

func newLinks(l Links) *links {
	n := &links{Links: l}
	n.apart.Store(&apart{})
	return n
}

// between is what the way between two zones is like now.
func (l *links) between(a, b int) (delay time.Duration, lose float64, cut bool) {
	if a == b {
		return l.WithinZone, 0, false
	}
	off, ra, rb := l.apart.Load(), regionOf(a), regionOf(b)
	cut = slices.Contains(off.Zones, a) || slices.Contains(off.Zones, b) ||
		ra != rb && (slices.Contains(off.Regions, ra) || slices.Contains(off.Regions, rb))
	if ra == rb {
		return l.WithinRegion, 0, cut
	}
	return l.BetweenRegions, l.LossRate, cut
}

// datagram is what becomes of one between two zones.
func (l *links) datagram(from, to int) (after time.Duration, ok bool) {
	after, lose, cut := l.between(from, to)
	return after, !cut && (lose == 0 || rand.Float64() >= lose)
}

// ways are those of streams between a place and each zone, one way, kept true to what the links are like.
type ways [Zones]struct{ in, out emulator.Direction }

func (w *ways) set(l *links, at int) {
	for z := range w {
		delay, _, cut := l.between(at, z)
		mode := emulator.Pass
		if cut {
			mode = emulator.Drop
		}
		w[z].in.Set(mode, delay)
		w[z].out.Set(mode, delay)
	}
}

// hollowAddr is where a hollow node takes datagrams: each has an address of its own, so that their ports need no agreement.
func hollowAddr(node, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(node / 250), byte(node%250 + 1)}), uint16(port))
}

// hollowNode is whose address it is; -1 for no hollow node's.
func hollowNode(addr netip.Addr) int {
	a := addr.Unmap().As4()
	if a[0] != 127 || a[1] != 2 || a[3] == 0 {
		return -1
	}
	return int(a[2])*250 + int(a[3]) - 1
}

// leaders gives who is to do the work of all, first and then in its place: the ranking that the nodes have for the keeper of the
// budgets. A run in which the nodes say otherwise is void.
func leaders(nodes int) []int {
	order := make([]int, nodes)
	for i := range order {
		order[i] = i
	}
	rank := func(i int) uint64 { return xxhash.Sum64([]byte{'k', byte(i >> 8), byte(i)}) }
	slices.SortFunc(order, func(x, y int) int { return cmp.Or(cmp.Compare(rank(y), rank(x)), cmp.Compare(x, y)) })
	return order
}
