package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"brassmux/internal/discovery"
	"brassmux/lab/emulator"
	"brassmux/lab/process"
	"brassmux/node"
)

// RunWorker runs one worker process, which emulates nodes or the list service. It executes commands from in until
// in ends and writes its reports to out.
func RunWorker(in io.Reader, out io.Writer) error {
	p := &part{out: json.NewEncoder(out)}
	orders := bufio.NewScanner(in)
	orders.Buffer(nil, 1<<24)
	go p.clock.watch(nil)
	for orders.Scan() {
		var o order
		if err := json.Unmarshal(orders.Bytes(), &o); err != nil {
			return err
		}
		if err := p.take(o); err != nil {
			p.tell(report{Did: o.Do, Err: err.Error()})
			return err
		}
	}
	return orders.Err()
}

type part struct {
	mu   sync.Mutex
	out  *json.Encoder
	role interface {
		take(o order) error
		counted(s *span) // fills in what it counts
	}
	clock lateness
	begun time.Time
	began process.Usage
}

func (p *part) tell(r report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out.Encode(r)
}

func (p *part) take(o order) error {
	switch o.Do {
	case doSetup:
		runtime.GOMAXPROCS(2) // as on a small machine; and the collector of each is not to take them all
		var err error
		if o.Setup.Role == "list" {
			p.role, err = newListPart(p, o.Setup)
		} else {
			p.role, err = newHollowPart(p, o.Setup)
		}
		return err
	case doSpan:
		p.began, p.begun = use(), time.Now()
		p.clock.begin()
	case doEnd:
		now := use()
		s := &span{Seconds: time.Since(p.begun).Seconds(), CPU: (now.CPU - p.began.CPU).Seconds(), Resident: now.Resident, Files: now.Descriptors,
			Flows: map[string]flow{}}
		s.Late, s.Looks = p.clock.was()
		p.role.counted(s)
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		s.Live = float64(mem.HeapAlloc + mem.StackInuse)
		p.tell(report{Did: o.Do, Span: s})
		return nil
	}
	return p.role.take(o)
}

// clockEvery is how often a process looks whether it is late, lateLook by how much such a look counts: who wants a unit waits for it as long.
const (
	clockEvery = 20 * time.Millisecond
	lateLook   = unitWait
)

// lateness is how late a process is.
type lateness struct {
	mu          sync.Mutex
	most        time.Duration
	looks, late float64
}

// watch looks until over is closed.
func (l *lateness) watch(over <-chan struct{}) {
	for {
		begun := time.Now()
		select {
		case <-over:
			return
		case <-time.After(clockEvery):
		}
		by := time.Since(begun) - clockEvery
		l.mu.Lock()
		l.most = max(l.most, by)
		if l.looks++; by > lateLook {
			l.late++
		}
		l.mu.Unlock()
	}
}

func (l *lateness) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.looks, l.late = 0, 0, 0
}

// was gives the most in milliseconds, and the part of the looks that were late.
func (l *lateness) was() (most, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.most.Microseconds()) / 1000, l.late / max(l.looks, 1)
}

// use is what this process has used, its processor time to the microsecond.
func use() process.Usage {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := process.ReadUsage("self")
	u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return u
}

// listPart is the list service.
type listPart struct {
	p     *part
	list  *emulator.ListService
	links *links
	ways  ways // as the real nodes' zones see them; hollow nodes shape their own
	real  map[int]bool
	calls atomic.Int64
	fails atomic.Int64
	told  atomic.Int64
	mu    sync.Mutex
	wave  wave
}

func newListPart(p *part, s *setup) (*listPart, error) {
	l := &listPart{p: p, links: newLinks(s.Links), real: map[int]bool{}}
	for n := range s.Relays {
		l.real[n] = true
	}
	config := emulator.ListConfig{CallsPerSecond: s.Calls, QueueTimeout: 2 * time.Second}
	l.list = emulator.NewListService(config, func(emulator.Notification) { l.told.Add(1) },
		func(c emulator.Call) {
			l.calls.Add(1)
			if c.Failed {
				l.fails.Add(1)
			}
		})
	go func() {
		for range time.Tick(time.Second) {
			l.mu.Lock()
			l.wave.second(l.calls.Load(), l.told.Load()+l.calls.Load())
			l.mu.Unlock()
		}
	}()
	l.ways.set(l.links, listZone)
	var free emulator.Direction
	if err := l.list.Open(func(n int) (in, out *emulator.Direction) {
		if !l.real[n] {
			return &free, &free
		}
		return &l.ways[zoneOf(n)].in, &l.ways[zoneOf(n)].out
	}); err != nil {
		return nil, err
	}
	p.tell(report{Did: doSetup, Addr: l.list.Addr()})
	return l, nil
}

func (l *listPart) take(o order) error {
	switch o.Do {
	case doPut:
		l.list.Update(*o.Entry)
	case doApart:
		l.links.apart.Store(o.Apart)
		l.ways.set(l.links, listZone)
	case doMark:
		l.mu.Lock()
		l.wave.mark()
		l.mu.Unlock()
	case doStart, doSpan:
		l.calls.Store(0)
		l.fails.Store(0)
		l.told.Store(0)
		l.mu.Lock()
		l.wave.begin()
		l.mu.Unlock()
	}
	return nil
}

func (l *listPart) counted(s *span) {
	s.Nodes = 1
	s.Counters = map[string]int64{"calls": l.calls.Load(), "calls_failed": l.fails.Load(), "told": l.told.Load()}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Peak, s.PeakAt = l.wave.over(), -1
}

// hollowPart is some hollow nodes.
type hollowPart struct {
	p       *part
	s       *setup
	links   *links
	relays  map[netip.AddrPort]int
	ways    map[int]*ways // by the nodes' zone
	nodes   []*hollow
	up      atomic.Int64
	mu      sync.Mutex
	changes []change
	warned  map[string]int

	unitsAt int64
	units   []int32
	taken   atomic.Int64
	refused atomic.Int64
	overrun int64
}

// hollow is a node whose clients' traffic is drawn.
type hollow struct {
	h      *hollowPart
	number int
	node   atomic.Pointer[node.Node]
	dead   atomic.Bool // nothing goes from it and nothing comes
	stop   context.CancelFunc
	ended  chan struct{}
	conns  sync.Map     // to the list service
	list   atomic.Int64 // bytes of the list that came
	busy   bool
	shared []string // the addresses of all nodes: one copy a process is enough

	// Under h.mu.
	version  int64
	keeper   int
	followed bool

	// The sampler's.
	before   map[string]int64
	listed   int64
	past     map[string]int64 // of the starts before this one
	wave     wave
	leased   int64
	lastUnit time.Time
	gap      time.Duration
}

func newHollowPart(p *part, s *setup) (*hollowPart, error) {
	h := &hollowPart{p: p, s: s, links: newLinks(s.Links), relays: map[netip.AddrPort]int{}, ways: map[int]*ways{}, warned: map[string]int{}}
	for n, addr := range s.Relays {
		at, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		h.relays[at] = n
	}
	for _, n := range s.Numbers {
		if z := zoneOf(n); h.ways[z] == nil {
			h.ways[z] = &ways{}
			h.ways[z].set(h.links, z)
		}
		h.nodes = append(h.nodes, &hollow{h: h, number: n, keeper: -1, busy: s.Traffic.busy(n)})
	}
	return h, nil
}

func (h *hollowPart) take(o order) error {
	switch o.Do {
	case doStart:
		for _, n := range h.nodes {
			if err := n.start(); err != nil {
				return fmt.Errorf("node %d: %w", n.number, err)
			}
		}
		for h.up.Load() < int64(len(h.nodes)) {
			time.Sleep(10 * time.Millisecond)
		}
		h.p.tell(report{Did: doStart, Up: len(h.nodes)})
		go h.draw()
		go h.sample()
	case doApart:
		h.links.apart.Store(o.Apart)
		for z, w := range h.ways {
			w.set(h.links, z)
		}
	case doDie:
		for _, n := range h.some(o.Nodes) {
			n.die()
		}
	case doBack, doAgain:
		h.mu.Lock()
		h.s.Known = o.Known
		h.mu.Unlock()
		go func() {
			for _, n := range h.some(o.Nodes) {
				if err := n.again(); err != nil {
					h.p.tell(report{Did: o.Do, Err: fmt.Sprintf("node %d: %v", n.number, err)})
				}
			}
		}()
	case doMark:
		h.mu.Lock()
		for _, n := range h.nodes {
			n.wave.mark()
			n.lastUnit, n.gap = time.Now(), 0
		}
		h.mu.Unlock()
	case doSpan:
		h.mu.Lock()
		h.taken.Store(0)
		h.refused.Store(0)
		for _, n := range h.nodes {
			n.before, n.listed = n.counters(), n.list.Load()
			n.wave.begin()
			n.lastUnit, n.gap = time.Now(), 0
		}
		h.overrun = h.overruns()
		h.mu.Unlock()
	}
	return nil
}

// some gives those of its nodes that are named.
func (h *hollowPart) some(numbers []int) (found []*hollow) {
	for _, n := range h.nodes {
		if slices.Contains(numbers, n.number) {
			found = append(found, n)
		}
	}
	return found
}

// die has the node fall silent, as one that has lost its power does. That it stops in order after it nobody sees.
func (n *hollow) die() {
	n.dead.Store(true)
	n.conns.Range(func(c, _ any) bool {
		c.(net.Conn).Close()
		return true
	})
	n.stop()
}

// again starts the node anew, once it has stopped.
func (n *hollow) again() error {
	n.stop()
	<-n.ended
	n.h.mu.Lock()
	n.past = n.counters()
	n.h.mu.Unlock()
	n.dead.Store(false)
	return n.start()
}

// closeWithin is the time in which the goroutines of a node that has stopped have closed its sockets. A process's end closes them at once.
const closeWithin = 5 * time.Second

// start makes the node and runs it.
func (n *hollow) start() error {
	var c node.Config
	if err := json.Unmarshal(n.h.s.Config, &c); err != nil {
		return err
	}
	if first := n.h.nodes[0]; n != first { // flat: of all nodes
		c.Peers.NodeAddrs = first.shared
	}
	n.shared = c.Peers.NodeAddrs
	zone := zoneOf(n.number)
	c.Name, c.Listen = "h"+strconv.Itoa(n.number), "127.0.0.1:0"
	c.Settings.NodeIndex, c.Seed = n.number, strconv.FormatUint(n.h.s.Seed<<20+uint64(n.number)+1, 16)
	place := n.h.s.Place
	c.Peers.Listen = hollowAddr(n.number, place.Port).String()
	if own := place.is(n.number); place.Control > 0 && own >= 0 {
		c.Peers.ChildListen, c.Peers.ControlIndex = hollowAddr(n.number, place.Children).String(), own
		for i := range place.Control {
			c.Peers.NodeAddrs = append(c.Peers.NodeAddrs, hollowAddr(place.first()+i, place.Port).String())
		}
	} else if place.Control > 0 {
		for _, i := range place.prefers(n.number) {
			c.Peers.ControlAddrs = append(c.Peers.ControlAddrs, hollowAddr(place.first()+i, place.Children).String())
		}
	}
	c.Source = emulator.SourceAddr(n.number).String()
	c.TestOptions.LogEndpointLists = true
	n.h.mu.Lock()
	known := n.h.s.Known
	n.h.mu.Unlock()
	if known != nil {
		c.InitialEndpoints = discovery.EndpointList{}
		if err := json.Unmarshal(known, &c.InitialEndpoints); err != nil {
			return err
		}
	}
	n.h.mu.Lock()
	n.version, n.keeper, n.followed = c.InitialEndpoints.Version, -1, false
	n.h.mu.Unlock()
	c.TestOptions.PeerLink = func(to netip.AddrPort) (time.Duration, bool) {
		if n.dead.Load() {
			return 0, false
		}
		at := hollowNode(to.Addr())
		if at < 0 {
			at = n.h.relays[to]
		}
		return n.h.links.datagram(zone, zoneOf(at))
	}
	source := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(emulator.SourceAddr(n.number), 0))}
	way := &n.h.ways[zone][listZone]
	c.TestOptions.DialDiscovery = func(ctx context.Context, network, addr string) (net.Conn, error) {
		delay, _, cut := n.h.links.between(zone, listZone)
		if cut || n.dead.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		select {
		case <-time.After(2 * delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := source.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		link := &counted{emulator.Wrap(conn.(*net.TCPConn), &way.in, &way.out), n}
		n.conns.Store(link, true)
		return link, nil
	}
	made, err := node.New(c, zap.New(&ear{n}))
	for end := time.Now().Add(closeWithin); err != nil && errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); { // the start before this one is closing it
		time.Sleep(10 * time.Millisecond)
		made, err = node.New(c, zap.New(&ear{n}))
	}
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	n.stop, n.ended = stop, ended
	n.node.Store(made)
	go func() {
		made.Run(ctx)
		close(ended)
	}()
	return nil
}

// counted counts what is read.
type counted struct {
	net.Conn
	of *hollow
}

func (c *counted) Close() error {
	c.of.conns.Delete(c)
	return c.Conn.Close()
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.of.list.Add(int64(n))
	return n, err
}

// ear is a log that hears what a node says of itself.
type ear struct{ n *hollow }

func (e *ear) Enabled(l zapcore.Level) bool      { return l >= zapcore.InfoLevel }
func (e *ear) With([]zapcore.Field) zapcore.Core { return e }
func (e *ear) Sync() error                       { return nil }
func (e *ear) Check(ent zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Enabled(ent.Level) {
		return c.AddCore(ent, e)
	}
	return c
}

func (e *ear) Write(ent zapcore.Entry, fields []zapcore.Field) error {
	h := e.n.h
	switch ent.Message {
	case "serving":
		h.up.Add(1)
	case "list in force":
		now := time.Now().UnixNano()
		h.mu.Lock()
		for _, f := range fields {
			if f.Key == "version" && f.Integer > e.n.version {
				h.changes = append(h.changes, change{e.n.number, e.n.version, f.Integer, now})
				e.n.version = f.Integer
			}
		}
		h.mu.Unlock()
	case "quota group":
		h.mu.Lock()
		for _, f := range fields {
			switch f.Key {
			case "leader":
				e.n.keeper = int(f.Integer)
			case "has_quorum":
				e.n.followed = f.Integer == 1
			}
		}
		h.mu.Unlock()
	}
	if ent.Level >= zapcore.WarnLevel {
		h.mu.Lock()
		h.warned[ent.Message]++
		h.mu.Unlock()
	}
	return nil
}

// below tells whether a node asks control machines.
func (h *hollowPart) below(n *hollow) bool {
	return h.s.Place.Control > 0 && h.s.Place.is(n.number) < 0
}

// counters are the node's own.
func (n *hollow) counters() map[string]int64 {
	m := maps.Clone(n.past)
	if m == nil {
		m = map[string]int64{}
	}
	for _, f := range n.node.Load().Counters() {
		m[f.Key] += f.Integer
	}
	return m
}

// draw has the nodes ask for units as their clients would: each at its own moment, whatever became of those before.
func (h *hollowPart) draw() {
	t := h.s.Traffic
	rng := rand.New(rand.NewPCG(h.s.Seed, uint64(h.s.Numbers[0])+7))
	var busy, calm []*hollow
	for _, n := range h.nodes {
		if n.busy {
			busy = append(busy, n)
		} else {
			calm = append(calm, n)
		}
	}
	b, c := float64(len(busy))*t.Busy, float64(len(calm))*t.Calm
	if b+c <= 0 {
		return
	}
	for at := time.Now(); ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / (b + c) * float64(time.Second)))
		time.Sleep(time.Until(at))
		from := calm
		if rng.Float64()*(b+c) < b {
			from = busy
		}
		n := from[rng.IntN(len(from))]
		if n.dead.Load() { // its clients are elsewhere
			continue
		}
		if err := n.node.Load().Acquire(t.Kind, 0, unitWait, h.answered); err != nil {
			h.p.tell(report{Did: "draw", Err: err.Error()})
			return
		}
	}
}

// unitWait is how long who wants a unit waits for it, as the program's own requests do.
const unitWait = 100 * time.Millisecond

func (h *hollowPart) answered(ok bool) {
	if !ok {
		h.refused.Add(1)
		return
	}
	h.taken.Add(1)
	at := time.Now().UnixMilli() / unitEvery
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.units) == 0 {
		h.unitsAt = at
	}
	for int64(len(h.units)) <= at-h.unitsAt {
		h.units = append(h.units, 0)
	}
	if at >= h.unitsAt {
		h.units[at-h.unitsAt]++
	}
}

// sampleEvery is how often a part looks at its nodes, and tells what has happened.
const sampleEvery = 200 * time.Millisecond

func (h *hollowPart) sample() {
	for turn := 0; ; turn++ {
		time.Sleep(sampleEvery)
		now := time.Now()
		r := report{Did: "sample", State: &state{Keepers: map[int]int{}}}
		h.mu.Lock()
		r.Force, h.changes = h.changes, nil
		if len(h.units) > 0 {
			r.Units = &units{h.unitsAt, h.units}
			h.units = nil
		}
		for _, n := range h.nodes {
			r.State.Keepers[n.keeper]++
			if n.followed || h.below(n) && n.keeper >= 0 {
				r.State.Followed++
			}
		}
		h.mu.Unlock()
		h.p.tell(r)
		for _, n := range h.nodes {
			second := turn%int(time.Second/sampleEvery) == 0
			if !n.busy && !second {
				continue
			}
			h.mu.Lock()
			counters := n.counters()
			if second {
				words := counters["peer_words"] + counters["child_words"]
				n.wave.second(words, words)
			}
			leased := counters["budget_leased"]
			n.gap = max(n.gap, now.Sub(n.lastUnit))
			if leased > n.leased {
				n.leased, n.lastUnit = leased, now
			}
			h.mu.Unlock()
		}
	}
}

func (h *hollowPart) counted(s *span) {
	s.Nodes, s.Counters = len(h.nodes), map[string]int64{}
	var in, out, list flow
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.nodes {
		d := n.counters()
		for k, v := range n.before {
			if k != "budget_followers" && k != "budget_children" { // as they are
				d[k] -= v
			}
		}
		for k, v := range d {
			s.Counters[k] += v
		}
		in.add(float64(d["peer_words"]+d["child_words"])/s.Seconds, float64(d["peer_bytes"]+d["child_bytes"])/s.Seconds)
		out.add(float64(d["peer_words_sent"]+d["child_words_sent"])/s.Seconds, float64(d["peer_bytes_sent"]+d["child_bytes_sent"])/s.Seconds)
		list.add(float64(d["list_changes"])/s.Seconds, float64(n.list.Load()-n.listed)/s.Seconds)
		if p := n.wave.over(); p > s.Peak {
			s.Peak, s.PeakAt = p, n.number
		}
		if n.busy {
			s.Gaps = append(s.Gaps, n.gap.Seconds())
		}
	}
	s.Counters["overruns"] = h.overruns() - h.overrun
	s.Flows["in"], s.Flows["out"], s.Flows["list"] = in, out, list
	s.Taken, s.Refused, s.Warned = h.taken.Load(), h.refused.Load(), maps.Clone(h.warned)
}

// overruns counts the datagrams that came to the nodes' sockets and found no room there.
func (h *hollowPart) overruns() (n int64) {
	own := map[string]bool{}
	for _, x := range h.nodes {
		for _, port := range []int{h.s.Place.Port, h.s.Place.Children} {
			a := hollowAddr(x.number, port)
			ip := a.Addr().As4()
			own[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())] = true
		}
	}
	data, err := os.ReadFile("/proc/self/net/udp")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 12 && own[f[1]] {
			drops, _ := strconv.ParseInt(f[12], 10, 64)
			n += drops
		}
	}
	return n
}

// memory is the machine's, in bytes.
func memory() float64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return float64(info.Totalram) * float64(info.Unit)
}

// wave looks, second by second, at one receiver: at the mean of its work until the mark, and at the most that comes to it in any second after that.
type wave struct {
	met, first int64
	most       float64
	from       time.Time
	marked     time.Time
	mean       float64
	at         time.Time // of last
}

// calmWords is the least mean that a wave is held against: a second of who hears less is chance.
const calmWords = 10

func (w *wave) begin() { *w = wave{} }

// second takes what has come by now, and all that was work by now.
func (w *wave) second(met, done int64) {
	now := time.Now()
	switch {
	case w.from.IsZero():
		w.first, w.from = done, now
	case w.marked.IsZero():
		w.mean = float64(done-w.first) / now.Sub(w.from).Seconds()
	default: // of the second in which the mark fell all counts
		w.most = max(w.most, float64(met-w.met)/now.Sub(w.at).Seconds())
	}
	w.met, w.at = met, now
}

func (w *wave) mark() { w.marked = time.Now() }

// over is the most over the mean; 0 where there was no mark.
func (w *wave) over() float64 { return w.most / max(w.mean, calmWords) }
