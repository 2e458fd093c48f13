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

// node is a node or a control machine. It has one process at a time, two during an upgrade or with a duplicate.
type node struct {
	index     int
	current   *process.Process
	duplicate *process.Process // a second process with the same name
	// listPendingSince is when the current process started, until the list service notifies it; then zero.
	listPendingSince time.Time
	// recoveryPendingSince is when the list service was reachable again, until it notifies the node; then zero.
	recoveryPendingSince time.Time
	disturbedSince       time.Time  // start of an injected fault; zero without one
	shim                 *shim.Shim // of the current process; nil without one
	usesAlternateList    bool       // the process calls the list service at its alternate address
	// listenSocket is inherited by the node's processes in turn; nil if each process opens its own.
	listenSocket *os.File
	listenAddr   string // of listenSocket
	handoverDir  string // where two processes meet during an upgrade
}

// listen opens the socket that a node's processes inherit.
func (n *node) listen() error {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer listener.Close() // File duplicates the descriptor
	n.listenAddr = listener.Addr().String()
	if n.listenSocket, err = listener.File(); err != nil {
		return err
	}
	n.handoverDir, err = os.MkdirTemp("", "n") // short, as the length of a socket's path is limited
	return err
}

// close releases the socket and the directory of listen.
func (n *node) close() {
	if n.listenSocket != nil {
		n.listenSocket.Close()
		os.RemoveAll(n.handoverDir)
	}
}

// inheritSocket makes a command that has not started yet inherit the node's socket.
func (n *node) inheritSocket(cmd *exec.Cmd) {
	const firstExtraFD = 3
	if n.listenSocket != nil {
		cmd.Env = append(cmd.Env, fmt.Sprintf("LB_LISTEN_FD=%d", firstExtraFD+len(cmd.ExtraFiles)),
			"TMPDIR="+n.handoverDir)
		cmd.ExtraFiles = append(cmd.ExtraFiles, n.listenSocket)
	}
}

// newShim returns the shim for a process of a node that is about to start, nil if the scenario uses none, and the
// function that prepares its command. The shim starts with the current clock offset of the node.
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

// nodeConfig returns the configuration of a node's process.
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
	cfg := map[string]any{"name": fmt.Sprintf("n%d", n.index), "listen": "127.0.0.1:0",
		"discovery": r.listService.Addr(), "seed": seed, "source": emulator.SourceAddr(n.index).String(),
		"limits": map[string]any{"cores": 1, "sockets": 4096},
		"known":  map[string]any{"version": version, "full": true, "servers": upServers},
		"settings": map[string]any{"balancers": max(r.scenario.Nodes, r.scenario.FleetSize), "index": n.index,
			"tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200000, "keepalive_us": 5000000, "max_open": 2000,
				"max_retry_after_us": 1000000, "may_probe": true, "retry_after": true, "send_cap": 3,
				"peers": r.scenario.Quotas.Leased},
			"classes": r.classConfigs(),
			"family_info": map[string]any{"message_aim_us": []float64{300000},
				"tenant_quota_connections": []float64{r.expectedConnections()}},
			"report": map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules": map[string]any{"cold_from": server.SlowStartMinCapacity,
				"cold_us": microseconds(server.SlowStartDuration), "fall_multiple": server.OverloadFactor,
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

// peerConfig returns the addresses over which a process exchanges leases with the others.
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

// classConfigs returns the classes in the nodes' settings, one for each kind of idempotency. The first one has the
// name that the stand-in servers expect.
func (r *run) classConfigs() (configs []any) {
	deadline := time.Duration(r.scenario.Clients.Deadline).Microseconds()
	return append(configs,
		map[string]any{"name": className(checker.Idempotent), "effect": "read_like", "deadline_us": deadline},
		map[string]any{"name": className(checker.NotIdempotent), "effect": "non_idempotent", "deadline_us": deadline},
		map[string]any{"name": className(checker.KeyedIdempotent), "effect": "idempotency_key", "key_scope": "all",
			"window_us": idempotencyWindow.Microseconds(), "deadline_us": deadline})
}

// runStart is the event index of the processes that start with the run.
const runStart = -1

// startNode starts a process of a node on behalf of an event and returns once it listens. It returns nil if the process
// cannot be started. A process that exits or does not listen in time makes the run invalid. The configuration has the
// current list, so the starts of servers in it are reported to the checker.
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
	p, err := r.starter.StartNode(r.options.Binary, n.index, cfg, prepare,
		func(started *process.Process, entry map[string]any) {
			for _, socket := range []string{"peers", "children"} {
				address, ok := entry["address"].(string)
				if !ok || entry["msg"] != "listening for "+socket {
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
		if !p.StopRequested() { // by another event during its start
			r.fail("node %d exited during its start: %s", n.index, p.LogExcerpt(""))
		}
	case <-time.After(30 * time.Second):
		r.fail("node %d does not listen within 30 s", n.index)
	}
	return p
}

// setDisturbed records that a fault at a node begins or ends, and reports its interval to the checker at the end.
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

// killAll kills all processes that are still running and waits for their end.
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
