package rig

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"brassmux/lab/checker"
	"brassmux/lab/emulator"
	"brassmux/lab/process"
	"brassmux/lab/shim"
)

// node is a place among the nodes, through the starts of its processes.
type node struct {
	index     int
	now       *process.Process
	second    *process.Process // under the same name
	began     time.Time        // this start, until it had word of the list
	back      time.Time        // when the list service was back, until it had word of it
	disturbed time.Time        // since when the rig does something to it; the zero time for not
	shim      *shim.Shim       // under its process; nil where there is none
	elsewhere bool             // its process asks the list service's other address
	socket    *os.File         // on which its processes listen, one after the other; nil where each has its own
	addr      string           // that socket's
	folder    string           // where two of them meet in an upgrade
}

// listen opens the socket that a node's processes inherit.
func (n *node) listen() error {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer l.Close() // the file is a copy
	n.addr = l.Addr().String()
	if n.socket, err = l.File(); err != nil {
		return err
	}
	n.folder, err = os.MkdirTemp("", "n") // a socket's name must be short
	return err
}

// close gives up what listen took.
func (n *node) close() {
	if n.socket != nil {
		n.socket.Close()
		os.RemoveAll(n.folder)
	}
}

// inherits has a command that was not started yet inherit the node's socket.
func (n *node) inherits(cmd *exec.Cmd) {
	const firstExtra = 3
	if n.socket != nil {
		cmd.Env = append(cmd.Env, fmt.Sprintf("LB_LISTEN_FD=%d", firstExtra+len(cmd.ExtraFiles)), "TMPDIR="+n.folder)
		cmd.ExtraFiles = append(cmd.ExtraFiles, n.socket)
	}
}

// under gives what is put under a process of a node that is started now, nil where the scenario wants nothing, and how its command is
// prepared. The process is started under the wall clock that the node's machine has now.
func (r *rig) under(n *node, event int) (*shim.Shim, func(*exec.Cmd), error) {
	if r.library == nil {
		return nil, n.inherits, nil
	}
	s, err := r.library.NewShim(r.o.Seed<<16 + uint64(n.index)<<8 + uint64(event+1))
	if err != nil {
		return nil, nil, err
	}
	r.mu.Lock()
	if n.shim != nil {
		s.SetClockOffset(n.shim.ClockOffset())
	}
	r.mu.Unlock()
	return s, func(cmd *exec.Cmd) {
		r.library.Prepare(s, cmd)
		n.inherits(cmd)
	}, nil
}

func (r *rig) config(n *node, clock time.Duration) map[string]any {
	v := r.s.Server
	version, known := r.list.Snapshot(n.index)
	up := []emulator.Endpoint{}
	if r.s.ListService.EmptyInitialList {
		version, known = 0, nil
	}
	for _, e := range known {
		if e.State == "up" {
			up = append(up, e)
		}
	}
	r.mu.Lock()
	seed := fmt.Sprintf("%016x", r.rng.Uint64())
	r.mu.Unlock()
	us := func(d Duration) int64 { return time.Duration(d).Microseconds() }
	cfg := map[string]any{"name": fmt.Sprintf("n%d", n.index), "listen": "127.0.0.1:0", "discovery": r.list.Addr(), "seed": seed, "source": emulator.SourceAddr(n.index).String(),
		"limits": map[string]any{"cores": 1, "sockets": 4096},
		"known":  map[string]any{"version": version, "full": true, "servers": up},
		"settings": map[string]any{"balancers": max(r.s.Nodes, r.s.FleetSize), "index": n.index, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200000, "keepalive_us": 5000000, "max_open": 2000, "max_retry_after_us": 1000000,
				"may_probe": true, "retry_after": true, "send_cap": 3, "peers": r.s.Quotas.Leased},
			"classes":     r.classes(),
			"family_info": map[string]any{"message_aim_us": []float64{300000}, "tenant_quota_connections": []float64{r.connections()}},
			"report":      map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules": map[string]any{"cold_from": v.SlowStartMinCapacity, "cold_us": us(v.SlowStartDuration), "fall_multiple": v.OverloadFactor,
				"fall_us": us(v.OverloadWindow)}}}
	if n.socket != nil {
		cfg["listen"] = n.addr
	}
	if clock != 0 {
		cfg["lab"] = map[string]any{"clock_off_ms": clock.Milliseconds()}
	}
	if r.s.Quotas.Leased {
		cfg["peers"] = r.peers(n.index)
		cfg["budgets"] = map[string]any{"lease": true, "floor": r.s.Quotas.GuaranteedFraction}
		for key, n := range r.s.Quotas.rates() {
			cfg["budgets"].(map[string]any)[key] = n
		}
		cfg["budgets"].(map[string]any)["open_lease_ms"] = time.Duration(r.s.Quotas.OpenLeaseTerm).Milliseconds()
	}
	return cfg
}

// peers are the ways between the processes as one of them is told.
func (r *rig) peers(index int) map[string]any {
	s, p, addrs := r.s, map[string]any{"listen": "127.0.0.1:0"}, []string{}
	if s.ControlMachines > 0 && index < s.Nodes {
		for _, c := range s.preference(index) {
			addrs = append(addrs, r.below.Addr(c))
		}
		p["control"] = addrs
		return p
	}
	for i := range s.group() {
		addrs = append(addrs, r.words.Addr(i))
	}
	p["nodes"] = addrs
	if s.ControlMachines > 0 {
		p["children"], p["index"] = "127.0.0.1:0", index-s.Nodes
	}
	return p
}

// classes are those of the nodes' settings: one of each effect, of which the first is named like the servers' stand-ins know it.
func (r *rig) classes() (all []any) {
	deadline := time.Duration(r.s.Clients.Deadline).Microseconds()
	return append(all,
		map[string]any{"name": className(checker.Idempotent), "effect": "read_like", "deadline_us": deadline},
		map[string]any{"name": className(checker.NotIdempotent), "effect": "non_idempotent", "deadline_us": deadline},
		map[string]any{"name": className(checker.KeyedIdempotent), "effect": "idempotency_key", "key_scope": "all",
			"window_us": keyedWindow.Microseconds(), "deadline_us": deadline})
}

// dayStart stands for the event of the day's start.
const dayStart = -1

// startNode starts a process of a node, as an event has it, and returns once it serves. Its known list is the service's as it is, so what it is
// told thereby counts as told.
func (r *rig) startNode(event int, n *node, clock time.Duration, second bool) *process.Process {
	if !second {
		r.ref.NodeRestarted(n.index)
		r.mu.Lock()
		n.began = time.Now()
		r.mu.Unlock()
	}
	cfg, begun := r.config(n, clock), time.Now()
	for _, e := range cfg["known"].(map[string]any)["servers"].([]emulator.Endpoint) {
		if e.Started > 0 {
			r.ref.EndpointReported(n.index, e.ID, false, time.UnixMilli(e.Started), time.Now())
		}
	}
	under, prepare, err := r.under(n, event)
	if err != nil {
		r.fail("node %d does not start: %v", n.index, err)
		return nil
	}
	p, err := r.starter.StartNode(r.o.Binary, n.index, cfg, prepare, func(p *process.Process, line map[string]any) {
		for _, kind := range []string{"peers", "children"} {
			at, ok := line["address"].(string)
			if !ok || line["msg"] != "listening for "+kind {
				continue
			}
			addr, err := netip.ParseAddrPort(at)
			switch {
			case err != nil:
			case r.s.ControlMachines == 0:
				r.words.SetNodeAddr(n.index, addr, second)
			case n.index < r.s.Nodes || kind == "children":
				r.below.SetNodeAddr(n.index, addr, second)
			default:
				r.words.SetNodeAddr(n.index-r.s.Nodes, addr, second)
			}
		}
	})
	if err != nil {
		r.fail("node %d does not start: %v", n.index, err)
		return nil
	}
	if under != nil {
		go under.Serve()
	}
	r.mu.Lock()
	if !second {
		n.shim = under
	}
	r.starting++
	if r.logs = append(r.logs, p); second {
		n.second = p
	} else {
		n.now = p
	}
	r.mu.Unlock()
	r.work.Go(func() { r.awaitReady(event, p, begun) })
	select {
	case <-p.Listening:
	case <-p.Exited:
		if !p.StopRequested() { // else another event met it as it started
			r.fail("node %d ended at its start: %s", n.index, p.LogExcerpt(""))
		}
	case <-time.After(30 * time.Second):
		r.fail("node %d does not serve within 30 s", n.index)
	}
	return p
}

// disturb notes that the rig does something to a node from now on, or no more.
func (r *rig) disturb(n *node, on bool) {
	r.mu.Lock()
	from := n.disturbed
	if on && from.IsZero() {
		n.disturbed = time.Now()
	} else if !on {
		n.disturbed = time.Time{}
	}
	r.mu.Unlock()
	if !on && !from.IsZero() {
		r.ref.NodeDisturbed(n.index, from, time.Now())
	}
}

func (r *rig) process(n *node) *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return n.now
}

func (r *rig) killAll() {
	r.mu.Lock()
	all := slices.Clone(r.logs)
	r.mu.Unlock()
	var gone sync.WaitGroup
	for _, p := range all {
		select {
		case <-p.Exited:
		default:
			gone.Go(func() { p.Kill() })
		}
	}
	gone.Wait()
}
