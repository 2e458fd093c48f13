package scale

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

// realNode is a process of the program that serves real clients.
type realNode struct {
	f       *fleet
	number  int
	p       *process.Process
	version int64
	told    chan struct{}

	began    process.Usage
	begun    time.Time
	counters map[string]float64
	pid      int
}

func (f *fleet) startReal(n *realNode) error {
	c := maps.Clone(f.template)
	settings := maps.Clone(c["settings"].(map[string]any))
	ceilings := maps.Clone(settings["ceilings"].(map[string]any))
	ceilings["may_probe"] = true
	settings["ceilings"], settings["index"] = ceilings, n.number
	peers := map[string]any{"listen": "127.0.0.1:0"}
	var addrs []string
	if f.o.ControlNodes > 0 {
		for _, i := range f.place.prefers(n.number) {
			addrs = append(addrs, f.relay.Addr(f.place.first()+i))
		}
		peers["control"] = addrs
	} else {
		for i := range f.n {
			addrs = append(addrs, f.relay.Addr(i))
		}
		peers["nodes"] = addrs
	}
	c["settings"] = settings
	c["name"], c["listen"] = fmt.Sprintf("r%d", n.number), "127.0.0.1:0"
	c["seed"] = strconv.FormatUint(f.o.Seed<<20+uint64(n.number)+1, 16)
	c["source"] = emulator.SourceAddr(n.number).String()
	c["peers"] = peers
	c["lab"] = map[string]any{"tell_lists": true}
	f.mu.Lock()
	n.version = f.template["known"].(map[string]any)["version"].(int64)
	f.mu.Unlock()
	n.told = make(chan struct{}, 1)
	p, err := f.starter.StartNode(f.o.Binary, n.number, c, nil, func(_ *process.Process, line map[string]any) {
		switch line["msg"] {
		case "listening for peers":
			if text, ok := line["address"].(string); ok {
				if addr, err := netip.ParseAddrPort(text); err == nil {
					f.relay.SetNodeAddr(n.number, addr, false)
				}
			}
		case "list in force":
			v, _ := line["version"].(float64)
			f.mu.Lock()
			if to := int64(v); to > n.version {
				f.inForce(n.number, n.version, to, time.Now())
				n.version = to
			}
			f.mu.Unlock()
		case "counters":
			select {
			case n.told <- struct{}{}:
			default:
			}
		}
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	n.p = p
	f.mu.Unlock()
	select {
	case <-p.Listening:
		return nil
	case <-p.Exited:
		return fmt.Errorf("node %d ended at its start: %s", n.number, p.LogExcerpt(""))
	case <-time.After(time.Minute):
		return fmt.Errorf("node %d does not serve within a minute", n.number)
	}
}

func (n *realNode) process() *process.Process {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.p
}

func (n *realNode) ask() map[string]float64 {
	select {
	case <-n.told:
	default:
	}
	n.process().Signal(syscall.SIGUSR1)
	select {
	case <-n.told:
	case <-time.After(5 * time.Second):
	}
	return n.process().Counters()
}

func (n *realNode) begin() {
	n.counters = n.ask()
	n.pid = n.process().PID()
	n.began, n.begun = process.ReadUsage(strconv.Itoa(n.process().PID())), time.Now()
}

// finish adds what it used to its role.
func (n *realNode) finish(roles *map[string]Role) {
	now, took := process.ReadUsage(strconv.Itoa(n.process().PID())), time.Since(n.begun).Seconds()
	d := n.ask()
	if n.process().PID() == n.pid { // else it has started anew, and so have they
		for k, v := range n.counters {
			d[k] -= v
		}
	} else {
		n.began.CPU = 0
	}
	r := (*roles)["real"]
	r.Nodes, r.Processes = r.Nodes+1, r.Processes+1
	mean := func(to *float64, x float64) { *to = round(*to + (x-*to)/float64(r.Nodes)) }
	cores, mb := (now.CPU-n.began.CPU).Seconds()/took, now.Resident/1e6
	mean(&r.CPU, cores)
	mean(&r.ResidentMB, mb)
	mean(&r.Descriptors, float64(now.Descriptors))
	r.MaxCPU, r.MaxResidentMB = max(r.MaxCPU, round(cores)), max(r.MaxResidentMB, round(mb))
	for _, x := range []struct {
		f            *flow
		words, bytes float64
	}{{&r.In, d["peer_words"] / took, d["peer_bytes"] / took}, {&r.Out, d["peer_words_sent"] / took, d["peer_bytes_sent"] / took}} {
		mean(&x.f.Messages, x.words)
		mean(&x.f.Bytes, x.bytes)
		x.f.MaxMessages, x.f.MaxBytes = max(x.f.MaxMessages, round(x.words)), max(x.f.MaxBytes, round(x.bytes))
	}
	r.Dropped += int64(d["peer_dropped"])
	(*roles)["real"] = r
}

// clients are those of the real nodes. Each wants one connection that stands, and comes again where it ends.
type clients struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *clients) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = map[string]int{}
	}
	c.count[what]++
}

func (c *clients) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.count)
}

func (c *clients) received(r emulator.Event) {
	if r.Kind == emulator.AttemptReceived {
		c.add("attempts at servers")
	}
}

func (f *fleet) serveClients() {
	for i := range f.o.RealNodes * clientsEach {
		go func() {
			rng := rand.New(rand.NewPCG(f.o.Seed, uint64(i)))
			for again := 0; f.sleep(time.Duration(rng.Int64N(int64(time.Second)))); again++ {
				f.client(i, again, rng)
			}
		}()
	}
}

func (f *fleet) client(i, again int, rng *rand.Rand) {
	n := f.reals[rng.IntN(len(f.reals))]
	addr, up := n.process().Address()
	if !up {
		return
	}
	conn, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", addr)
	if err != nil {
		f.clients.add("node not there")
		return
	}
	defer conn.Close()
	end := make(chan struct{})
	defer close(end)
	go func() {
		select {
		case <-f.over:
			conn.Close()
		case <-end:
		}
	}()
	f.clients.add("asked")
	fmt.Fprintf(conn, "OPEN c%d-%d-%d k%d c=c,d=2000\r\n", f.o.Seed, i, again, i)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); {
	case err != nil && f.ended():
		return
	case err != nil:
		f.clients.add("without an answer")
		return
	case word == "BUSY":
		f.clients.add("refused")
		return
	case word != "UP":
		f.clients.add("failed")
		return
	}
	f.clients.add("up")
	conn.SetReadDeadline(time.Time{})
	go func() {
		for f.sleep(2 * time.Second) {
			if _, err := io.WriteString(conn, "m\r\n"); err != nil {
				return
			}
		}
	}()
	for {
		line, err := in.ReadString('\n')
		if f.ended() {
			return
		} else if err != nil {
			f.clients.add("cut off")
			return
		} else if strings.HasPrefix(line, "MOVE") {
			f.clients.add("moved")
			return
		}
	}
}

func (f *fleet) ended() bool {
	select {
	case <-f.over:
		return true
	default:
		return false
	}
}
