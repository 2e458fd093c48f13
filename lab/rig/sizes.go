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

// SizeTest says how one node of a large fleet is played beside more and more servers.
type SizeTest struct {
	Servers          []int         // the first is the usual size, against which the others are held
	FleetSize        int           // nodes, by the node's settings
	ClientsPerSecond float64       // new clients, each with a key of its own
	Length           time.Duration // of each play
	Seed             uint64
	Binary           string // of the program; "" for the one that runs
}

// SizeResult is what the node needed beside so many servers.
type SizeResult struct {
	Servers     int     `json:"servers"`
	CPUSeconds  float64 `json:"cpu_s"`
	MemoryMB    float64 `json:"memory_mb"` // at its peak
	Descriptors int     `json:"descriptors"`
	Connections int64   `json:"connections"` // made to servers
	ListBytes   int64   `json:"list_bytes"`  // told while it ran
	Served      float64 `json:"served"`      // part of the clients

	ExceededBounds []string `json:"over"` // the bounds that are exceeded
}

// bounds are what the operators' page allows a node beside servers, against what it needs at the usual size.
func (r *SizeResult) checkBounds(baseline *SizeResult) {
	thousands := float64(r.Servers) / 1000
	for _, bound := range []struct {
		name         string
		value, limit float64
	}{
		{"processor time, s", r.CPUSeconds, 1.4*baseline.CPUSeconds + 0.02 + 0.03*thousands},
		{"peak memory, MB", r.MemoryMB, 1.5*baseline.MemoryMB + 8 + 4*thousands},
		{"descriptors", float64(r.Descriptors), 2*float64(baseline.Descriptors) + 40},
		{"connections made to servers", float64(r.Connections), 2.5*float64(baseline.Connections) + 40},
		{"bytes of lists", float64(r.ListBytes), 2*float64(baseline.ListBytes) + 64<<10 + 500_000*thousands},
		{"part served", -r.Served, -0.85 * baseline.Served},
	} {
		if bound.value > bound.limit {
			r.ExceededBounds = append(r.ExceededBounds, fmt.Sprintf("%s: %.2f, %.2f allowed", bound.name, max(bound.value, -bound.value), max(bound.limit, -bound.limit)))
		}
	}
}

// Run plays all sizes, one after the other.
func (s SizeTest) Run() (all []*SizeResult, err error) {
	if s.Binary == "" {
		if s.Binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	descriptors := 3*slices.Max(s.Servers) + 1000 // a listener each, and connections
	if err := process.RaiseDescriptorLimit(descriptors); err != nil {
		return nil, err
	}
	for _, servers := range s.Servers {
		result, err := s.runSize(servers)
		if err != nil {
			return nil, fmt.Errorf("%d servers: %w", servers, err)
		}
		if all = append(all, result); len(all) > 1 {
			result.checkBounds(all[0])
		}
	}
	return all, nil
}

// sizePlay is one play.
type sizeRun struct {
	SizeTest
	listService         *emulator.ListService
	servers             []*emulator.Server
	connections         atomic.Int64
	listBytes           atomic.Int64
	requests, connected atomic.Int64
}

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
	for version := int64(0); version < int64(servers); version, _ = run.listService.Snapshot(0) { // each is listed in a moment
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
		return nil, fmt.Errorf("the node ended at its start: %s", node.LogExcerpt(""))
	case <-time.After(30 * time.Second):
		return nil, fmt.Errorf("the node does not serve within 30 s")
	}
	return run.observe(node), nil
}

// config is the node's: one of a large fleet whose traffic is its own part.
func (p *sizeRun) nodeConfig() map[string]any {
	version, servers := p.listService.Snapshot(0)
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": p.listService.Addr(), "seed": strconv.FormatUint(p.Seed, 16),
		"source": emulator.SourceAddr(0).String(), "limits": map[string]any{"cores": 1, "sockets": 1024},
		"known": map[string]any{"version": version, "full": true, "servers": servers},
		"settings": map[string]any{"balancers": p.FleetSize, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200_000, "keepalive_us": 5_000_000, "max_retry_after_us": 1_000_000, "may_probe": true,
				"retry_after": true, "send_cap": 3},
			"classes":     []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 2_000_000}},
			"family_info": map[string]any{"message_aim_us": []float64{300_000}, "tenant_quota_connections": []float64{20 * float64(len(p.servers))}},
			"report":      map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules":       map[string]any{"cold_from": 0.3, "cold_us": 8_000_000, "fall_multiple": 3, "fall_us": 2_000_000}}}
}

func (p *sizeRun) onNotification(notification emulator.Notification) {
	for _, e := range notification.Endpoints {
		p.listBytes.Add(int64(len(e.ID) + len(e.Addr) + listEntryBytes))
	}
}

// entryBytes is what an entry of a list takes beside its id and address.
const listEntryBytes = 90

func (p *sizeRun) onServerEvent(event emulator.Event) {
	if event.Kind == emulator.ConnectionAccepted {
		p.connections.Add(1)
	}
}

// day has clients come and the list change while the node is watched.
func (p *sizeRun) observe(node *process.Process) *SizeResult {
	pid := strconv.Itoa(node.PID())
	before := process.ReadUsage(pid)
	result := &SizeResult{Servers: len(p.servers)}
	rng := rand.New(rand.NewPCG(p.Seed, 4))
	start, end := time.Now(), time.Now().Add(p.Length)
	var clients sync.WaitGroup
	nextClient, nextChange := start, start
	for number := 0; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for now := time.Now(); nextClient.Before(now); number++ {
			nextClient = nextClient.Add(time.Duration(rng.ExpFloat64() / p.ClientsPerSecond * float64(time.Second)))
			clients.Go(func() { p.runClient(node, number, end) })
		}
		if now := time.Now(); nextChange.Before(now) {
			nextChange = nextChange.Add(time.Second)
			p.listService.UpdateServer(p.servers[rng.IntN(len(p.servers))], "up")
			result.Descriptors = max(result.Descriptors, process.ReadUsage(pid).Descriptors)
		}
	}
	after := process.ReadUsage(pid)
	result.CPUSeconds, result.MemoryMB = (after.CPU - before.CPU).Seconds(), after.Peak/(1<<20)
	result.Connections, result.ListBytes = p.connections.Load(), p.listBytes.Load()
	clients.Wait()
	if requests := p.requests.Load(); requests > 0 {
		result.Served = float64(p.connected.Load()) / float64(requests)
	}
	return result
}

// client asks once, and stays for a while.
func (p *sizeRun) runClient(node *process.Process, number int, end time.Time) {
	addr, _ := node.Address()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	p.requests.Add(1)
	fmt.Fprintf(conn, "OPEN i-%d k-%d c=c,d=2000\r\n", number, number)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	if strings.HasPrefix(line, "UP ") {
		p.connected.Add(1)
		conn.SetReadDeadline(end)
		io.Copy(io.Discard, conn)
	}
}
