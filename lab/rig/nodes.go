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
	index                int
	current              *process.Process
	duplicate            *process.Process // under the same name
	listPendingSince     time.Time        // this start, until it had word of the list
	recoveryPendingSince time.Time        // when the list service was back, until it had word of it
	disturbedSince       time.Time        // since when the rig does something to it; the zero time for not
	shim                 *shim.Shim       // under its process; nil where there is none
	usesAlternateList    bool             // its process asks the list service's other address
	listenSocket         *os.File         // on which its processes listen, one after the other; nil where each has its own
	listenAddr           string           // that socket's
	handoverDir          string           // where two of them meet in an upgrade
}

// listen opens the socket that a node's processes inherit.
func (n *node) listen() error {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer listener.Close() // the file is a copy
	n.listenAddr = listener.Addr().String()
	if n.listenSocket, err = listener.File(); err != nil {
		return err
	}
	n.handoverDir, err = os.MkdirTemp("", "n") // a socket's name must be short
	return err
}

// close gives up what listen took.
func (n *node) close() {
	if n.listenSocket != nil {
		n.listenSocket.Close()
		os.RemoveAll(n.handoverDir)
	}
}

// inherits has a command that was not started yet inherit the node's socket.
func (n *node) inheritSocket(cmd *exec.Cmd) {
	const firstExtraFD = 3
	if n.listenSocket != nil {
		cmd.Env = append(cmd.Env, fmt.Sprintf("LB_LISTEN_FD=%d", firstExtraFD+len(cmd.ExtraFiles)), "TMPDIR="+n.handoverDir)
		cmd.ExtraFiles = append(cmd.ExtraFiles, n.listenSocket)
	}
}

// under gives what is put under a process of a node that is started now, nil where the scenario wants nothing, and how its command is
// prepared. The process is started under the wall clock that the node's machine has now.
func (r *run) newShim(n *node, event int) (*shim.Shim, func(*exec.Cmd), error) {
	if r.shimLibrary == nil {
		return nil, n.inheritSocket, nil
	}
	nodeShim, err := r.shimLibrary.NewShim(r.options.Seed<<16 + uint64(n.index)<<8 + uint64(event+1))
	if err != nil {
		return nil, nil, err
	}
	r.mu.Lock()
	if n.shim != nil {
		nodeShim.SetClockOffset(n.shim.ClockOffset())
	}
	r.mu.Unlock()
	return nodeShim, func(cmd *exec.Cmd) {
		r.shimLibrary.Prepare(nodeShim, cmd)
		n.inheritSocket(cmd)
	}, nil
}

func (r *run) nodeConfig(n *node, clockOffset time.Duration) map[string]any {
	server := r.scenario.Server
	version, servers := r.listService.Snapshot(n.index)
	upServers := []emulator.Endpoint{}
	if r.scenario.ListService.EmptyInitialList {
		version, servers = 0, nil
	}
	for _, endpoint := range servers {
		if endpoint.State == "up" {
			upServers = append(upServers, endpoint)
		}
	}
	r.mu.Lock()
	seed := fmt.Sprintf("%016x", r.rng.Uint64())
	r.mu.Unlock()
	microseconds := func(duration Duration) int64 { return time.Duration(duration).Microseconds() }
	cfg := map[string]any{"name": fmt.Sprintf("n%d", n.index), "listen": "127.0.0.1:0", "discovery": r.listService.Addr(), "seed": seed, "source": emulator.SourceAddr(n.index).String(),
		"limits": map[string]any{"cores": 1, "sockets": 4096},
		"known":  map[string]any{"version": version, "full": true, "servers": upServers},
		"settings": map[string]any{"balancers": max(r.scenario.Nodes, r.scenario.FleetSize), "index": n.index, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200000, "keepalive_us": 5000000, "max_open": 2000, "max_retry_after_us": 1000000,
				"may_probe": true, "retry_after": true, "send_cap": 3, "peers": r.scenario.Quotas.Leased},
			"classes":     r.classConfigs(),
			"family_info": map[string]any{"message_aim_us": []float64{300000}, "tenant_quota_connections": []float64{r.expectedConnections()}},
			"report":      map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules": map[string]any{"cold_from": server.SlowStartMinCapacity, "cold_us": microseconds(server.SlowStartDuration), "fall_multiple": server.OverloadFactor,
				"fall_us": microseconds(server.OverloadWindow)}}}
	if n.listenSocket != nil {
		cfg["listen"] = n.listenAddr
	}
	if clockOffset != 0 {
		cfg["lab"] = map[string]any{"clock_off_ms": clockOffset.Milliseconds()}
	}
	if r.scenario.Quotas.Leased {
		cfg["peers"] = r.peerConfig(n.index)
		cfg["budgets"] = map[string]any{"lease": true, "floor": r.scenario.Quotas.GuaranteedFraction}
		for key, limit := range r.scenario.Quotas.limits() {
			cfg["budgets"].(map[string]any)[key] = limit
		}
		cfg["budgets"].(map[string]any)["open_lease_ms"] = time.Duration(r.scenario.Quotas.OpenLeaseTerm).Milliseconds()
	}
	return cfg
}

// peers are the ways between the processes as one of them is told.
func (r *run) peerConfig(index int) map[string]any {
	scenario, peers, addrs := r.scenario, map[string]any{"listen": "127.0.0.1:0"}, []string{}
	if scenario.ControlMachines > 0 && index < scenario.Nodes {
		for _, control := range scenario.controlMachinesByZone(index) {
			addrs = append(addrs, r.childNetwork.Addr(control))
		}
		peers["control"] = addrs
		return peers
	}
	for i := range scenario.peerCount() {
		addrs = append(addrs, r.peerNetwork.Addr(i))
	}
	peers["nodes"] = addrs
	if scenario.ControlMachines > 0 {
		peers["children"], peers["index"] = "127.0.0.1:0", index-scenario.Nodes
	}
	return peers
}

// classes are those of the nodes' settings: one of each effect, of which the first is named like the servers' stand-ins know it.
func (r *run) classConfigs() (configs []any) {
	deadline := time.Duration(r.scenario.Clients.Deadline).Microseconds()
	return append(configs,
		map[string]any{"name": className(checker.Idempotent), "effect": "read_like", "deadline_us": deadline},
		map[string]any{"name": className(checker.NotIdempotent), "effect": "non_idempotent", "deadline_us": deadline},
		map[string]any{"name": className(checker.KeyedIdempotent), "effect": "idempotency_key", "key_scope": "all",
			"window_us": idempotencyWindow.Microseconds(), "deadline_us": deadline})
}

// dayStart stands for the event of the day's start.
const runStart = -1

// startNode starts a process of a node, as an event has it, and returns once it serves. Its known list is the service's as it is, so what it is
// told thereby counts as told.
func (r *run) startNode(event int, n *node, clockOffset time.Duration, isDuplicate bool) *process.Process {
	if !isDuplicate {
		r.checker.NodeRestarted(n.index)
		r.mu.Lock()
		n.listPendingSince = time.Now()
		r.mu.Unlock()
	}
	cfg, startedAt := r.nodeConfig(n, clockOffset), time.Now()
	for _, endpoint := range cfg["known"].(map[string]any)["servers"].([]emulator.Endpoint) {
		if endpoint.Started > 0 {
			r.checker.EndpointReported(n.index, endpoint.ID, false, time.UnixMilli(endpoint.Started), time.Now())
		}
	}
	nodeShim, prepare, err := r.newShim(n, event)
	if err != nil {
		r.fail("node %d does not start: %v", n.index, err)
		return nil
	}
	p, err := r.starter.StartNode(r.options.Binary, n.index, cfg, prepare, func(p *process.Process, line map[string]any) {
		for _, socket := range []string{"peers", "children"} {
			address, ok := line["address"].(string)
			if !ok || line["msg"] != "listening for "+socket {
				continue
			}
			addr, err := netip.ParseAddrPort(address)
			switch {
			case err != nil:
			case r.scenario.ControlMachines == 0:
				r.peerNetwork.SetNodeAddr(n.index, addr, isDuplicate)
			case n.index < r.scenario.Nodes || socket == "children":
				r.childNetwork.SetNodeAddr(n.index, addr, isDuplicate)
			default:
				r.peerNetwork.SetNodeAddr(n.index-r.scenario.Nodes, addr, isDuplicate)
			}
		}
	})
	if err != nil {
		r.fail("node %d does not start: %v", n.index, err)
		return nil
	}
	if nodeShim != nil {
		go nodeShim.Serve()
	}
	r.mu.Lock()
	if !isDuplicate {
		n.shim = nodeShim
	}
	r.startingCount++
	if r.processes = append(r.processes, p); isDuplicate {
		n.duplicate = p
	} else {
		n.current = p
	}
	r.mu.Unlock()
	r.tasks.Go(func() { r.awaitReady(event, p, startedAt) })
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
func (r *run) setDisturbed(n *node, disturbed bool) {
	r.mu.Lock()
	since := n.disturbedSince
	if disturbed && since.IsZero() {
		n.disturbedSince = time.Now()
	} else if !disturbed {
		n.disturbedSince = time.Time{}
	}
	r.mu.Unlock()
	if !disturbed && !since.IsZero() {
		r.checker.NodeDisturbed(n.index, since, time.Now())
	}
}

func (r *run) currentProcess(n *node) *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return n.current
}

func (r *run) killAll() {
	r.mu.Lock()
	processes := slices.Clone(r.processes)
	r.mu.Unlock()
	var kills sync.WaitGroup
	for _, p := range processes {
		select {
		case <-p.Exited:
		default:
			kills.Go(func() { p.Kill() })
		}
	}
	kills.Wait()
}
