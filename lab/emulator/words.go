package emulator

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Words is the network for datagrams among nodes: each node has one address here, at which all others reach it and
// from which all others hear it, and each pair of nodes a way for either direction.
type Words struct {
	Between func(from, to int) *Way // where many pairs share a way, set before any word; nil where each has its own

	mu    sync.Mutex
	rng   *rand.Rand
	ends  []*end
	from  map[netip.AddrPort]int // the nodes' own addresses
	ways  map[[2]int]*Way
	close sync.WaitGroup

	sent map[int][2]int64 // words and bytes that each node sent
}

type end struct {
	conn *net.UDPConn
	node []netip.AddrPort // where its processes themselves listen: one, or two under one name
}

// NewWords opens an address for each of n nodes. The seed decides what happens by chance.
func NewWords(n int, seed uint64) (*Words, error) {
	w := &Words{rng: rand.New(rand.NewPCG(seed, 2)), from: map[netip.AddrPort]int{}, ways: map[[2]int]*Way{}, sent: map[int][2]int64{}}
	for i := range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			w.Close()
			return nil, err
		}
		w.ends = append(w.ends, &end{conn: c})
		w.close.Go(func() { w.carry(i, c) })
	}
	return w, nil
}

// Addr is where all others reach a node.
func (w *Words) Addr(node int) string { return w.ends[node].conn.LocalAddr().String() }

// Way is the direction from one node to another.
func (w *Words) Way(from, to int) *Way {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.way(from, to)
}

func (w *Words) way(from, to int) *Way {
	if w.Between != nil {
		return w.Between(from, to)
	}
	key := [2]int{from, to}
	if w.ways[key] == nil {
		w.ways[key] = &Way{}
	}
	return w.ways[key]
}

// At tells where a node itself listens now, or a second process under its name. Else its earlier address is known no more.
func (w *Words) At(node int, addr netip.AddrPort, second bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.ends[node]
	if !second {
		for _, old := range e.node {
			delete(w.from, old)
		}
		e.node = nil
	}
	e.node, w.from[addr] = append(e.node, addr), node
}

// Sent gives the words and bytes that a node has sent.
func (w *Words) Sent(node int) (words, bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sent[node]
	return s[0], s[1]
}

func (w *Words) carry(to int, c *net.UDPConn) {
	buf := make([]byte, 1<<16)
	for {
		n, addr, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		word := append([]byte(nil), buf[:n]...)
		w.mu.Lock()
		from, ok := w.from[addr]
		if !ok { // of a process that is gone
			w.mu.Unlock()
			continue
		}
		s := w.sent[from]
		w.sent[from] = [2]int64{s[0] + 1, s[1] + int64(n)}
		way := w.way(from, to)
		lose, again, late := w.rng.Float64(), w.rng.Float64(), w.rng.Float64()
		held := time.Duration(w.rng.Float64() * float64(300*time.Millisecond))
		w.mu.Unlock()
		w.pass(way, from, to, word, lose, again, late, held)
	}
}

func (w *Words) pass(way *Way, from, to int, word []byte, lose, again, late float64, held time.Duration) {
	way.mu.Lock()
	mode, delay := way.mode, way.delay
	lost, twice, reorder := lose < way.lose, again < way.twice, late < way.late
	way.mu.Unlock()
	switch {
	case mode == Stall:
		way.Met[Stall].Add(1)
		_, _, changed := way.now()
		go func() {
			select {
			case <-changed:
				w.pass(way, from, to, word, 1, 1, 1, 0)
			case <-time.After(time.Minute):
			}
		}()
		return
	case mode != Pass:
		way.Met[mode].Add(1)
		return
	case lost:
		way.Odd.Add(1)
		return
	}
	deliver := func(after time.Duration) {
		if after == 0 {
			w.deliver(from, to, word)
		} else {
			time.AfterFunc(after, func() { w.deliver(from, to, word) })
		}
	}
	if delay > 0 {
		way.Was.Add(1)
	}
	if reorder {
		way.Odd.Add(1)
		delay += held
	}
	deliver(delay)
	if twice {
		way.Odd.Add(1)
		deliver(delay + held)
	}
}

func (w *Words) deliver(from, to int, word []byte) {
	w.mu.Lock()
	out, all := w.ends[from].conn, slices.Clone(w.ends[to].node)
	w.mu.Unlock()
	for _, at := range all {
		out.WriteToUDPAddrPort(word, at)
	}
}

// Close ends it.
func (w *Words) Close() {
	for _, e := range w.ends {
		e.conn.Close()
	}
	w.close.Wait()
}
