package balance

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Recorded event streams: seeded drivers feed every kind of event under every setting, and the digest of all
// that the instances do is kept in testdata/streams.txt. The text that is digested is made of values only.

const (
	streamSeeds = 4
	streamSteps = 2500
)

// streamSettings gives the deployments that the streams run under.
func streamConfigs() map[string]Config {
	plain := testConfig()
	plain.Classes["timed"] = Class{Idempotency: Idempotent, MessageObjective: 80 * ms,
		ConnectObjective: 400 * ms, MaxTimeout: 3 * time.Second}
	change := func(with func(config *Config)) Config {
		config := plain
		with(&config)
		return config
	}
	return map[string]Config{
		"plain": plain,
		"checks": change(func(config *Config) {
			config.HealthChecksAllowed, config.EndpointsPushed, config.NodeCount,
				config.ConnectionCapacity = true, false,
				3, 300
		}),
		"late messages": change(func(config *Config) {
			config.HealthChecksAllowed, config.LateMessagesReported, config.NodeCount,
				config.MaxRetryAfter = true, true,
				2, 0
			config.TimeoutUncertainty = 300 * ms
		}),
		"gossip": change(func(config *Config) {
			config.GossipEnabled, config.CoresPerWeight, config.NodeCount, config.Zone,
				config.CrossZoneCost = true, 1, 3,
				"z1", 0.2
			config.ConnectionCapacity = 500
		}),
		"slow start": change(func(config *Config) {
			config.ConnectionCapacity, config.ClockUntrusted, config.StartTimeUncertainty,
				config.KeepUnlistedServers = 900, true, 500*ms, true
			config.NodeCount, config.HealthChecksAllowed = 2, true
		}),
		"quotas": change(func(config *Config) {
			config.ConnectionCapacity, config.HealthChecksAllowed, config.NodeCount,
				config.KeepUnlistedServers = 900,
				true, 2, true
			config.SlowStartQuotas = &streamQuotas{left: map[ServerID]int{}}
		}),
		"many servers": change(func(config *Config) {
			config.NodeCount, config.HealthChecksAllowed, config.EndpointsPushed, config.MaxOpenRequests,
				config.MaxAttempts = 300, true, false, 40, 0
			config.LateMessagesReported = true
		}),
	}
}

// streamParts grants by turns, and is the same for every run.
type streamQuotas struct {
	left      map[ServerID]int
	requested int
}

func (p *streamQuotas) Remaining(id ServerID) int {
	if p.left[id] > 0 {
		return p.left[id]
	}
	return -(p.requested % 2)
}

func (p *streamQuotas) RequestMore(id ServerID) bool {
	if p.requested++; p.requested%3 != 0 {
		p.left[id] += 2
	}
	return p.requested%4 != 0
}

func (p *streamQuotas) Take(id ServerID) bool {
	p.left[id]--
	return p.left[id] >= 0
}

// stream drives some instances of one deployment.
type stream struct {
	nodes   []*Balancer
	config  Config
	rng     *rand.Rand
	now     time.Duration
	queue   []streamEvent
	open    []Attempt // with the node in open's place
	at      []int
	lastID  RequestID
	servers int
	out     io.Writer
	kinds   map[string]int
}

type streamEvent struct {
	at   time.Duration
	node int
	ev   Event
}

func newStream(config Config, servers int, seed uint64, out io.Writer) *stream {
	s := &stream{config: config, rng: rand.New(rand.NewPCG(seed, 52)), now: time.Hour, servers: servers,
		out:   out,
		kinds: map[string]int{}}
	fmt.Fprintln(out, config.WarmServerAttemptLimit(servers))
	for i := range min(config.NodeCount, 3) {
		config.NodeIndex = i
		s.nodes = append(s.nodes, New(config, seed*10+uint64(i)))
		s.handle(i, EndpointUpdate{Kind: ListCached, Servers: s.list(servers)})
	}
	return s
}

func (s *stream) list(n int) (list []Server) {
	for i := range n {
		list = append(list, s.server(ServerID(i+1)))
	}
	return list
}

func (s *stream) server(id ServerID) Server {
	e := Server{ID: id, State: Ready, Zone: fmt.Sprint("z", id%2), Cell: int(id % 3), Weight: float64(id % 4)}
	switch s.rng.IntN(12) {
	case 0:
		e.State = Draining
	case 1:
		e.State = Removed
	case 2, 3:
		e.StartedAt = s.now - time.Duration(s.rng.IntN(9000))*ms
	}
	return e
}

func (s *stream) handle(node int, ev Event) {
	for _, a := range s.nodes[node].Handle(s.now, ev) {
		fmt.Fprintf(s.out, "%d %d %s\n", node, s.now, s.record(node, a))
	}
}

// record gives an action in words of its own and queues what follows from it.
func (s *stream) record(node int, a Action) string {
	later := func(d time.Duration, node int, ev Event) {
		s.queue = append(s.queue, streamEvent{s.now + d, node, ev})
	}
	soon := func() time.Duration { return time.Duration(1+s.rng.IntN(60)) * ms }
	switch a := a.(type) {
	case Attempt:
		s.kinds["attempt"]++
		s.open, s.at = append(s.open, a), append(s.at, node)
		return fmt.Sprint("attempt ", uint64(a.ID), " ", uint64(a.Server), " ", int64(a.Timeout), " ",
			int64(a.SendWithin))
	case Reject:
		s.kinds["reject"]++
		return fmt.Sprint("reject ", uint64(a.ID), " ", int64(a.RetryAfter), " ", a.Reason)
	case Fail:
		s.kinds["fail"]++
		return fmt.Sprint("fail ", uint64(a.ID))
	case Migrate:
		s.kinds["migrate"]++
		return fmt.Sprint("migrate ", uint64(a.ID))
	case HealthCheck:
		s.kinds["check"]++
		later(soon(), node, s.checked(a.Server))
		return fmt.Sprint("check ", uint64(a.Server))
	case SendGossip:
		s.kinds["gossip"]++
		if s.rng.IntN(8) > 0 && a.ToNode < len(s.nodes) {
			later(soon(), a.ToNode, GossipReceived{FromNode: node, Message: a.Message})
		}
		return fmt.Sprint("gossip ", a.ToNode, " ", int(a.Message.Kind), " ", a.Message.Incarnation, " ",
			uint64(a.Message.Server), " ",
			a.Message.Load, " ", a.Message.Groups)
	case SetTimer:
		later(a.After, node, TimerFired{Token: a.Token})
		return fmt.Sprint("timer ", int64(a.After), " ", a.Token)
	case WatchEndpoints:
		s.kinds["watch"]++
		return "watch"
	}
	return fmt.Sprint("unknown ", a)
}

func (s *stream) checked(id ServerID) HealthCheckResult {
	p := HealthCheckResult{Server: id, Outcome: OK, Elapsed: 3 * ms,
		Report: &LoadReport{Utilisation: s.rng.Float64()*1.5 - 0.1}}
	if s.rng.IntN(6) == 0 {
		p.Outcome, p.Report = Outcome(s.rng.IntN(9)), nil
	}
	return p
}

// step plays what is due and then one event.
func (s *stream) step() {
	s.now += time.Duration(s.rng.IntN(120)) * ms
	for {
		due := -1
		for i, e := range s.queue {
			if e.at <= s.now && (due < 0 || e.at < s.queue[due].at) {
				due = i
			}
		}
		if due < 0 {
			break
		}
		e := s.queue[due]
		s.queue = slices.Delete(s.queue, due, due+1)
		s.handle(e.node, e.ev)
	}
	node := s.rng.IntN(len(s.nodes))
	switch draw := s.rng.IntN(100); {
	case draw < 40:
		s.handle(node, s.request())
	case draw < 75:
		s.outcome()
	default:
		s.rare(node, draw)
	}
}

func (s *stream) request() Request {
	s.lastID++
	classes := []string{"safe", "timed", "unsafe", "zone", "cell", "all", "unknown"}
	return Request{ID: s.lastID, Class: classes[s.rng.IntN(len(classes))], Reconnect: s.rng.IntN(3) == 0,
		ClientKey: []string{"", fmt.Sprint("k", s.rng.IntN(90))}[min(s.rng.IntN(9), 1)],
		Group:     []string{"", fmt.Sprint("g", s.rng.IntN(12))}[s.rng.IntN(2)],
		Timeout:   time.Duration(1+s.rng.IntN(4000)) * ms}
}

// outcome accepts or ends one of the attempts.
func (s *stream) outcome() {
	if len(s.open) == 0 {
		return
	}
	i := s.rng.IntN(len(s.open))
	a, node := s.open[i], s.at[i]
	r := s.nodes[node].requests[a.ID]
	if r == nil {
		s.open, s.at = slices.Delete(s.open, i, i+1), slices.Delete(s.at, i, i+1)
		return
	}
	number := len(r.attempts) - 1
	switch s.rng.IntN(6) {
	case 0, 1, 2:
		s.handle(node, AttemptAccepted{ID: a.ID, Attempt: number, Server: a.Server, Elapsed: 9 * ms})
		s.handle(node, ConnectionLoad{ID: a.ID, Load: s.rng.Float64() * 3e5})
	case 3:
		s.handle(node, ClientDisconnected{ID: a.ID})
	default:
		s.open, s.at = slices.Delete(s.open, i, i+1), slices.Delete(s.at, i, i+1)
		s.handle(node, AttemptEnded{ID: a.ID, Attempt: number, Server: a.Server,
			Outcome: Outcome(s.rng.IntN(9)),
			Elapsed: 20 * ms,
			Final:   r.established || s.rng.IntN(9) == 0, GoAway: s.rng.IntN(12) == 0})
	}
}

// rare plays events that come seldom.
func (s *stream) rare(node, draw int) {
	id := ServerID(1 + s.rng.IntN(s.servers+1))
	switch {
	case draw < 79:
		message := time.Duration(s.rng.IntN(400)) * ms
		s.handle(node, LateMessage{ID: RequestID(1 + s.rng.IntN(int(s.lastID)+1)), Server: id,
			Latency: message})
	case draw < 80:
		for range 5 {
			s.handle(node, HealthCheckResult{Server: id, Outcome: ConnectFailed})
		}
	case draw < 84:
		s.handle(node, s.checked(id))
	case draw < 89:
		s.handle(node, EndpointUpdate{Kind: ListDelta, Servers: []Server{s.server(id), s.server(id/2 + 1)}})
	case draw < 91:
		kind := []UpdateKind{ListSnapshot, ListCached}[s.rng.IntN(2)]
		s.handle(node, EndpointUpdate{Kind: kind, Servers: s.list(s.servers - s.rng.IntN(3))})
	case draw < 94:
		took := []time.Duration{0, 40 * ms, 2 * time.Second}[s.rng.IntN(3)]
		s.handle(node, EndpointUpdate{Kind: []UpdateKind{WatchFailed, WatchBroken}[s.rng.IntN(2)],
			ServiceWait: took})
	case draw < 96:
		s.lastID++
		opened := ExistingConnection{Request: s.request(), Server: id, Inherited: s.rng.IntN(2) == 0}
		s.open, s.at = append(s.open, Attempt{ID: opened.ID, Server: id}), append(s.at, node)
		s.handle(node, opened)
	case draw < 97:
		s.handle(node, ClockOffset{Ahead: time.Duration(s.rng.IntN(400)) * ms,
			ReferenceRead: s.rng.IntN(3) == 0})
	case draw < 98:
		s.handle(node, ShutdownAnnounced{Server: id * ServerID(min(s.rng.IntN(6), 1))})
	case draw < 99:
		s.handle(node, HandedOver{ToSuccessor: s.rng.IntN(3) == 0})
	default:
		s.handOver(node)
	}
}

// handOver makes the process that comes after n, as a node does.
func (s *stream) handOver(node int) {
	data, err := json.Marshal(s.nodes[node].HandoverState(s.now))
	if err != nil { // a server that was never listed has no weight, and its load no bound
		fmt.Fprintf(s.out, "no memory: %v\n", err)
		return
	}
	fmt.Fprintf(s.out, "memory %s\n", data)
	var memory HandoverState
	if err := json.Unmarshal(data, &memory); err != nil {
		panic(err)
	}
	config := s.config
	config.NodeIndex = node
	s.nodes[node] = New(config, uint64(s.now))
	list := s.list(s.servers)
	for _, e := range memory.Servers {
		if s.rng.IntN(4) > 0 && int(e.ID) <= len(list) {
			list[e.ID-1].StartedAt = e.StartedAt
		}
	}
	s.handle(node, EndpointUpdate{Kind: ListCached, Servers: list})
	s.nodes[node].Restore(s.now+time.Duration(s.rng.IntN(2))*time.Minute, memory)
	for id := range ServerID(s.servers) {
		fmt.Fprintf(s.out, "start %d %d\n", id, s.nodes[node].LatestStart(id))
	}
	fmt.Fprintf(s.out, "avoided %d\n", s.nodes[node].ExcludedServerCount(s.now))
}

// streamDigest plays one stream, and counts the kinds of its actions.
func streamDigest(config Config, servers int, seed uint64, kinds map[string]int) string {
	digest := sha256.New()
	s := newStream(config, servers, seed, digest)
	s.kinds = kinds
	for range streamSteps {
		s.step()
	}
	return fmt.Sprintf("%x", digest.Sum(nil))
}

// keptDigests reads the digests by the names of their streams.
func keptDigests(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	kept := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, digest, _ := strings.Cut(lines.Text(), ": ")
		kept[name] = digest
	}
	return kept
}

func TestRecordedStreamsKeepTheirDigests(t *testing.T) {
	want, total := keptDigests(t), map[string]int{}
	for name, config := range streamConfigs() {
		servers := 6
		if name == "many servers" {
			servers = 60
		}
		for seed := range uint64(streamSeeds) {
			line := fmt.Sprintf("%s, seed %d", name, seed)
			if parts, ok := config.SlowStartQuotas.(*streamQuotas); ok {
				*parts = streamQuotas{left: map[ServerID]int{}}
			}
			if digest := streamDigest(config, servers, seed, total); digest != want[line] {
				t.Errorf("%s: %s", line, digest)
			}
		}
	}
	if len(want) != len(streamConfigs())*streamSeeds {
		t.Errorf("%d digests are kept", len(want))
	}
	for _, kind := range []string{"attempt", "reject", "fail", "migrate", "check", "gossip", "watch"} {
		if total[kind] < 20 {
			t.Errorf("%d of %q among %v: the streams show too little", total[kind], kind, total)
		}
	}
}
