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

// Zones and Regions are the numbers of zones and regions that nodes are spread over. Node i is in zone i modulo Zones.
const (
	Zones   = 17
	Regions = 5
)

// topology describes how the nodes of a fleet are numbered: ordinary nodes from 0, control nodes from the next
// multiple of Zones, so that both are spread over the zones in the same way.
type topology struct {
	Nodes        int `json:"nodes"`
	ControlNodes int `json:"control"`  // number of control nodes
	PeerPort     int `json:"port"`     // UDP port of all emulated nodes for their peers
	ChildPort    int `json:"children"` // UDP port of emulated control nodes for ordinary nodes
}

// firstControlNode returns the index of the first control node.
func (t topology) firstControlNode() int { return (t.Nodes + Zones - 1) / Zones * Zones }

// controlIndex returns the position of a node among the control nodes, or -1 if it is an ordinary node.
func (t topology) controlIndex(index int) int { return max(index-t.firstControlNode(), -1) }

// allNodes returns the indexes of all nodes, ordinary and control, in ascending order.
func (t topology) allNodes() (indexes []int) {
	for i := range t.Nodes {
		indexes = append(indexes, i)
	}
	for c := range t.ControlNodes {
		indexes = append(indexes, t.firstControlNode()+c)
	}
	return indexes
}

// controlOrder returns the control nodes in the order in which a node tries them: those of its zone, then of its
// region, then the others. Nodes of one zone start at different positions, so that load is spread evenly.
func (t topology) controlOrder(node int) (order []int) {
	zone := zoneOf(node)
	distance := func(c int) int {
		switch z := zoneOf(t.firstControlNode() + c); {
		case z == zone:
			return 0
		case regionOf(z) == regionOf(zone):
			return 1
		}
		return 2
	}
	for wanted := range 3 {
		var candidates []int
		for c := range t.ControlNodes {
			if distance(c) == wanted {
				candidates = append(candidates, c)
			}
		}
		if count := len(candidates); count > 0 {
			offset := node / Zones % count
			order = append(append(order, candidates[offset:]...), candidates[:offset]...)
		}
	}
	return order
}

// zoneOf returns the zone of a node.
func zoneOf(node int) int { return node % Zones }

// regionOf returns the region of a zone.
func regionOf(zone int) int { return zone * Regions / Zones }

// listServiceZone is the zone of the list service.
const listServiceZone = 0

// Links describes the links between two nodes. Delays are one-way.
type Links struct {
	WithinZone     time.Duration `json:"zone"`    // delay between nodes of one zone
	WithinRegion   time.Duration `json:"region"`  // delay between zones of one region
	BetweenRegions time.Duration `json:"regions"` // delay between regions
	LossRate       float64       `json:"lose"`    // fraction of the datagrams between regions that are lost
}

// links holds the current state of all links. It is safe for concurrent use.
type links struct {
	Links
	partition atomic.Pointer[partition]
}

// partition lists the zones and regions that are cut off from all others. Traffic within them continues.
type partition struct {
	Zones   []int `json:"zones,omitempty"`
	Regions []int `json:"regions,omitempty"`
}

func newLinks(properties Links) *links {
	created := &links{Links: properties}
	created.partition.Store(&partition{})
	return created
}

// between returns the current one-way delay and loss rate between two zones, and whether the link is blocked.
func (l *links) between(zoneA, zoneB int) (delay time.Duration, lossRate float64, blocked bool) {
	if zoneA == zoneB {
		return l.WithinZone, 0, false
	}
	partition, regionA, regionB := l.partition.Load(), regionOf(zoneA), regionOf(zoneB)
	blocked = slices.Contains(partition.Zones, zoneA) || slices.Contains(partition.Zones, zoneB) ||
		regionA != regionB &&
			(slices.Contains(partition.Regions, regionA) || slices.Contains(partition.Regions, regionB))
	if regionA == regionB {
		return l.WithinRegion, 0, blocked
	}
	return l.BetweenRegions, l.LossRate, blocked
}

// datagramDelay returns the delay of a datagram between two zones, and whether it arrives.
func (l *links) datagramDelay(from, to int) (delay time.Duration, ok bool) {
	delay, lossRate, blocked := l.between(from, to)
	return delay, !blocked && (lossRate == 0 || rand.Float64() >= lossRate)
}

// streamLinks shapes the streams between one zone and each other zone, in both directions.
type streamLinks [Zones]struct{ in, out emulator.Direction }

// update applies the current state of the links to the streams of a zone.
func (s *streamLinks) update(links *links, zone int) {
	for peerZone := range s {
		delay, _, blocked := links.between(zone, peerZone)
		mode := emulator.Pass
		if blocked {
			mode = emulator.Drop
		}
		s[peerZone].in.Set(mode, delay)
		s[peerZone].out.Set(mode, delay)
	}
}

// emulatedAddr returns the address at which an emulated node receives datagrams. Each node has its own IP address, so
// that all can use the same port.
func emulatedAddr(node, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(node / 250), byte(node%250 + 1)}), uint16(port))
}

// emulatedNodeAt returns the index of the emulated node with an address, or -1 if there is none.
func emulatedNodeAt(addr netip.Addr) int {
	octets := addr.Unmap().As4()
	if octets[0] != 127 || octets[1] != 2 || octets[3] == 0 {
		return -1
	}
	return int(octets[2])*250 + int(octets[3]) - 1
}

// leaderRanking returns the nodes in the order in which they become leader of the budgets. It repeats the ranking of
// package budget. The result of a run has a note if over 1% of the nodes follow a leader that is not among the first.
func leaderRanking(nodes int) []int {
	ranking := make([]int, nodes)
	for i := range ranking {
		ranking[i] = i
	}
	hash := func(i int) uint64 { return xxhash.Sum64([]byte{'k', byte(i >> 8), byte(i)}) }
	slices.SortFunc(ranking, func(x, y int) int { return cmp.Or(cmp.Compare(hash(y), hash(x)), cmp.Compare(x, y)) })
	return ranking
}
