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
func (r *SizeResult) bounds(usual *SizeResult) {
	thousands := float64(r.Servers) / 1000
	for _, b := range []struct {
		name      string
		got, most float64
	}{
		{"processor time, s", r.CPUSeconds, 1.4*usual.CPUSeconds + 0.02 + 0.03*thousands},
		{"peak memory, MB", r.MemoryMB, 1.5*usual.MemoryMB + 8 + 4*thousands},
		{"descriptors", float64(r.Descriptors), 2*float64(usual.Descriptors) + 40},
		{"connections made to servers", float64(r.Connections), 2.5*float64(usual.Connections) + 40},
		{"bytes of lists", float64(r.ListBytes), 2*float64(usual.ListBytes) + 64<<10 + 500_000*thousands},
		{"part served", -r.Served, -0.85 * usual.Served},
	} {
		if b.got > b.most {
			r.ExceededBounds = append(r.ExceededBounds, fmt.Sprintf("%s: %.2f, %.2f allowed", b.name, max(b.got, -b.got), max(b.most, -b.most)))
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
		r, err := s.play(servers)
		if err != nil {
			return nil, fmt.Errorf("%d servers: %w", servers, err)
		}
		if all = append(all, r); len(all) > 1 {
			r.bounds(all[0])
		}
	}
	return all, nil
}

// sizePlay is one play.
type sizePlay struct {
	SizeTest
	list        *emulator.ListService
	servers     []*emulator.Server
	connections atomic.Int64
	listBytes   atomic.Int64
	asked, up   atomic.Int64
}

func (s SizeTest) play(servers int) (*SizeResult, error) {
	p := &sizePlay{SizeTest: s}
	passes := func(int) (in, out *emulator.Direction) { return &emulator.Direction{}, &emulator.Direction{} }
	p.list = emulator.NewListService(emulator.ListConfig{}, p.told, func(emulator.Call) {})
	defer p.list.Close()
	if err := p.list.Open(passes); err != nil {
		return nil, err
	}
	kind := emulator.ServerConfig{Capacity: 1000}
	for i := range servers {
		server := emulator.NewServer(fmt.Sprintf("s-%d", i), kind, time.Time{}, p.received)
		if err := server.Open(passes); err != nil {
			return nil, err
		}
		defer server.Stop()
		p.servers = append(p.servers, server)
		p.list.UpdateServer(server, "up")
	}
	for version := int64(0); version < int64(servers); version, _ = p.list.Snapshot(0) { // each is listed in a moment
		time.Sleep(5 * time.Millisecond)
	}
	starter := process.NewStarter()
	defer starter.Close()
	node, err := starter.StartNode(s.Binary, 0, p.config(), nil, func(*process.Process, map[string]any) {})
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
	return p.day(node), nil
}

// config is the node's: one of a large fleet whose traffic is its own part.
func (p *sizePlay) config() map[string]any {
	version, known := p.list.Snapshot(0)
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": p.list.Addr(), "seed": strconv.FormatUint(p.Seed, 16),
		"source": emulator.SourceAddr(0).String(), "limits": map[string]any{"cores": 1, "sockets": 1024},
		"known": map[string]any{"version": version, "full": true, "servers": known},
		"settings": map[string]any{"balancers": p.FleetSize, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200_000, "keepalive_us": 5_000_000, "max_retry_after_us": 1_000_000, "may_probe": true,
				"retry_after": true, "send_cap": 3},
			"classes":     []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 2_000_000}},
			"family_info": map[string]any{"message_aim_us": []float64{300_000}, "tenant_quota_connections": []float64{20 * float64(len(p.servers))}},
			"report":      map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules":       map[string]any{"cold_from": 0.3, "cold_us": 8_000_000, "fall_multiple": 3, "fall_us": 2_000_000}}}
}

func (p *sizePlay) told(t emulator.Notification) {
	for _, e := range t.Endpoints {
		p.listBytes.Add(int64(len(e.ID) + len(e.Addr) + entryBytes))
	}
}

// entryBytes is what an entry of a list takes beside its id and address.
const entryBytes = 90

func (p *sizePlay) received(r emulator.Event) {
	if r.Kind == emulator.ConnectionAccepted {
		p.connections.Add(1)
	}
}

// day has clients come and the list change while the node is watched.
func (p *sizePlay) day(node *process.Process) *SizeResult {
	pid := strconv.Itoa(node.PID())
	before := process.ReadUsage(pid)
	r := &SizeResult{Servers: len(p.servers)}
	rng := rand.New(rand.NewPCG(p.Seed, 4))
	begun, end := time.Now(), time.Now().Add(p.Length)
	var clients sync.WaitGroup
	next, change := begun, begun
	for number := 0; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for now := time.Now(); next.Before(now); number++ {
			next = next.Add(time.Duration(rng.ExpFloat64() / p.ClientsPerSecond * float64(time.Second)))
			clients.Go(func() { p.client(node, number, end) })
		}
		if now := time.Now(); change.Before(now) {
			change = change.Add(time.Second)
			p.list.UpdateServer(p.servers[rng.IntN(len(p.servers))], "up")
			r.Descriptors = max(r.Descriptors, process.ReadUsage(pid).Descriptors)
		}
	}
	after := process.ReadUsage(pid)
	r.CPUSeconds, r.MemoryMB = (after.CPU - before.CPU).Seconds(), after.Peak/(1<<20)
	r.Connections, r.ListBytes = p.connections.Load(), p.listBytes.Load()
	clients.Wait()
	if n := p.asked.Load(); n > 0 {
		r.Served = float64(p.up.Load()) / float64(n)
	}
	return r
}

// client asks once, and stays for a while.
func (p *sizePlay) client(node *process.Process, number int, end time.Time) {
	addr, _ := node.Address()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	p.asked.Add(1)
	fmt.Fprintf(c, "OPEN i-%d k-%d c=c,d=2000\r\n", number, number)
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	line, _ := bufio.NewReader(c).ReadString('\n')
	if strings.HasPrefix(line, "UP ") {
		p.up.Add(1)
		c.SetReadDeadline(end)
		io.Copy(io.Discard, c)
	}
}
