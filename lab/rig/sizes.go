package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

// SizeTest measures one node of a large fleet with an increasing number of servers.
type SizeTest struct {
	Servers          []int         // numbers of servers; the first is the baseline of the others
	FleetSize        int           // nodes in the fleet according to the node's settings
	ClientsPerSecond float64       // new clients, each with its own key
	Length           time.Duration // of the run at each size
	Seed             uint64
	Binary           string // path of the program; "" for this executable
}

// SizeResult is the resource usage of the node with a number of servers.
type SizeResult struct {
	Servers     int     `json:"servers"`
	CPUSeconds  float64 `json:"cpu_s"`
	MemoryMB    float64 `json:"memory_mb"` // peak
	Descriptors int     `json:"descriptors"`
	Connections int64   `json:"connections"` // made to servers
	ListBytes   int64   `json:"list_bytes"`  // reported by the list service during the run
	Served      float64 `json:"served"`      // fraction of the clients

	ExceededBounds []string `json:"over"` // descriptions
}

// checkBounds sets ExceededBounds. The bounds are those that the operators' documentation gives for the usage with more
// servers, relative to the usage at the baseline.
func (r *SizeResult) checkBounds(baseline *SizeResult) {
	thousandServers := float64(r.Servers) / 1000
	for _, bound := range []struct {
		name         string
		value, limit float64
	}{
		{"processor time, s", r.CPUSeconds, 1.4*baseline.CPUSeconds + 0.02 + 0.03*thousandServers},
		{"peak memory, MB", r.MemoryMB, 1.5*baseline.MemoryMB + 8 + 4*thousandServers},
		{"descriptors", float64(r.Descriptors), 2*float64(baseline.Descriptors) + 40},
		{"connections made to servers", float64(r.Connections), 2.5*float64(baseline.Connections) + 40},
		{"bytes of lists", float64(r.ListBytes), 2*float64(baseline.ListBytes) + 64<<10 + 500_000*thousandServers},
		{"part served", -r.Served, -0.85 * baseline.Served}, // negated, as the bound is a minimum
	} {
		if bound.value > bound.limit {
			r.ExceededBounds = append(r.ExceededBounds, fmt.Sprintf("%s: %.2f, %.2f allowed", bound.name,
				max(bound.value, -bound.value), max(bound.limit, -bound.limit)))
		}
	}
}

// Run measures all sizes, one after another.
func (s SizeTest) Run() (results []*SizeResult, err error) {
	if s.Binary == "" {
		if s.Binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	descriptors := 3*slices.Max(s.Servers) + 1000 // a listener and connections for each server
	if err := process.RaiseDescriptorLimit(descriptors); err != nil {
		return nil, err
	}
	for _, servers := range s.Servers {
		result, err := s.runSize(servers)
		if err != nil {
			return nil, fmt.Errorf("%d servers: %w", servers, err)
		}
		if results = append(results, result); len(results) > 1 {
			result.checkBounds(results[0])
		}
	}
	return results, nil
}

// sizeRun is the run at one size.
type sizeRun struct {
	SizeTest
	listService         *emulator.ListService
	servers             []*emulator.Server
	connections         atomic.Int64
	listBytes           atomic.Int64
	requests, connected atomic.Int64
}

// runSize measures the node with a number of servers.
func (s SizeTest) runSize(servers int) (*SizeResult, error) {
	run := &sizeRun{SizeTest: s}
	unimpaired := func(int) (in, out *emulator.Direction) { return &emulator.Direction{}, &emulator.Direction{} }
	run.listService = emulator.NewListService(emulator.ListConfig{}, run.onNotification, func(emulator.Call) {})
	defer run.listService.Close()
	if err := run.listService.Open(unimpaired); err != nil {
		return nil, err
	}
	config := emulator.ServerConfig{Capacity: 1000}
	for i := range servers {
		server := emulator.NewServer(fmt.Sprintf("s-%d", i), config, time.Time{}, run.onServerEvent)
		if err := server.Open(unimpaired); err != nil {
			return nil, err
		}
		defer server.Stop()
		run.servers = append(run.servers, server)
		run.listService.UpdateServer(server, "up")
	}
	// Servers are added to the list asynchronously.
	for version := int64(0); version < int64(servers); version, _ = run.listService.Snapshot(0) {
		time.Sleep(5 * time.Millisecond)
	}
	starter := process.NewStarter()
	defer starter.Close()
	node, err := starter.StartNode(s.Binary, 0, run.nodeConfig(), nil, func(*process.Process, map[string]any) {})
	if err != nil {
		return nil, err
	}
	defer node.Kill()
	select {
	case <-node.Listening:
	case <-node.Exited:
		return nil, fmt.Errorf("node exited during its start: %s", node.LogExcerpt(""))
	case <-time.After(30 * time.Second):
		return nil, fmt.Errorf("node does not listen within 30 s")
	}
	return run.observe(node), nil
}

// nodeConfig returns the configuration of the node, as one of a large fleet.
func (r *sizeRun) nodeConfig() map[string]any {
	version, servers := r.listService.Snapshot(0)
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": r.listService.Addr(),
		"seed":   strconv.FormatUint(r.Seed, 16),
		"source": emulator.SourceAddr(0).String(), "limits": map[string]any{"cores": 1, "sockets": 1024},
		"known": map[string]any{"version": version, "full": true, "servers": servers},
		"settings": map[string]any{"balancers": r.FleetSize, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200_000, "keepalive_us": 5_000_000,
				"max_retry_after_us": 1_000_000, "may_probe": true, "retry_after": true, "send_cap": 3},
			"classes": []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 2_000_000}},
			"family_info": map[string]any{"message_aim_us": []float64{300_000},
				"tenant_quota_connections": []float64{20 * float64(len(r.servers))}},
			"report": map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules":  map[string]any{"cold_from": 0.3, "cold_us": 8_000_000, "fall_multiple": 3, "fall_us": 2_000_000}}}
}

// onNotification counts the bytes of a notification by the list service.
func (r *sizeRun) onNotification(notification emulator.Notification) {
	for _, endpoint := range notification.Endpoints {
		r.listBytes.Add(int64(len(endpoint.ID) + len(endpoint.Addr) + listEntryBytes))
	}
}

// listEntryBytes is the size of an entry in a list without its ID and address.
const listEntryBytes = 90

// onServerEvent counts the connections made to servers.
func (r *sizeRun) onServerEvent(event emulator.Event) {
	if event.Kind == emulator.ConnectionAccepted {
		r.connections.Add(1)
	}
}

// observe measures the node's usage while clients arrive and one entry of the list changes each second.
func (r *sizeRun) observe(node *process.Process) *SizeResult {
	pid := strconv.Itoa(node.PID())
	before := process.ReadUsage(pid)
	result := &SizeResult{Servers: len(r.servers)}
	rng := rand.New(rand.NewPCG(r.Seed, 4))
	start, end := time.Now(), time.Now().Add(r.Length)
	var clients sync.WaitGroup
	nextClient, nextChange := start, start
	for number := 0; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for now := time.Now(); nextClient.Before(now); number++ {
			nextClient = nextClient.Add(time.Duration(rng.ExpFloat64() / r.ClientsPerSecond * float64(time.Second)))
			clients.Go(func() { r.runClient(node, number, end) })
		}
		if now := time.Now(); nextChange.Before(now) {
			nextChange = nextChange.Add(time.Second)
			r.listService.UpdateServer(r.servers[rng.IntN(len(r.servers))], "up")
			result.Descriptors = max(result.Descriptors, process.ReadUsage(pid).Descriptors)
		}
	}
	after := process.ReadUsage(pid)
	result.CPUSeconds, result.MemoryMB = (after.CPU - before.CPU).Seconds(), after.Peak/(1<<20)
	result.Connections, result.ListBytes = r.connections.Load(), r.listBytes.Load()
	clients.Wait()
	if requests := r.requests.Load(); requests > 0 {
		result.Served = float64(r.connected.Load()) / float64(requests)
	}
	return result
}

// runClient sends one request, and holds the connection until end if it is accepted.
func (r *sizeRun) runClient(node *process.Process, number int, end time.Time) {
	addr, _ := node.Address()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	r.requests.Add(1)
	fmt.Fprintf(conn, "OPEN i-%d k-%d c=c,d=2000\r\n", number, number)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	if strings.HasPrefix(line, "UP ") {
		r.connected.Add(1)
		conn.SetReadDeadline(end)
		io.Copy(io.Discard, conn)
	}
}
