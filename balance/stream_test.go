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

// Recorded event streams: drivers with fixed seeds feed every kind of event to nodes under every kind of
// configuration. testdata/streams.txt has a digest of all resulting actions for each stream. The digested
// text contains values and fixed words, but no identifiers, so that renaming does not change it.

const (
	streamSeeds = 4
	streamSteps = 2500
)

// streamConfigs returns the configurations of the streams by name.
func streamConfigs() map[string]Config {
	plain := testConfig()
	plain.Classes["timed"] = Class{Idempotency: Idempotent, MessageObjective: 80 * ms,
		ConnectObjective: 400 * ms, MaxTimeout: 3 * time.Second}
	modified := func(modify func(config *Config)) Config {
		config := plain
		modify(&config)
		return config
	}
	return map[string]Config{
		"plain": plain,
		"checks": modified(func(config *Config) {
			config.HealthChecksAllowed, config.EndpointsPushed, config.NodeCount,
				config.ConnectionCapacity = true, false,
				3, 300
		}),
		"late messages": modified(func(config *Config) {
			config.HealthChecksAllowed, config.LateMessagesReported, config.NodeCount,
				config.MaxRetryAfter = true, true,
				2, 0
			config.TimeoutUncertainty = 300 * ms
		}),
		"gossip": modified(func(config *Config) {
			config.GossipEnabled, config.CoresPerWeight, config.NodeCount, config.Zone,
				config.CrossZoneCost = true, 1, 3,
				"z1", 0.2
			config.ConnectionCapacity = 500
		}),
		"slow start": modified(func(config *Config) {
			config.ConnectionCapacity, config.ClockUntrusted, config.StartTimeUncertainty,
				config.KeepUnlistedServers = 900, true, 500*ms, true
			config.NodeCount, config.HealthChecksAllowed = 2, true
		}),
		"quotas": modified(func(config *Config) {
			config.ConnectionCapacity, config.HealthChecksAllowed, config.NodeCount,
				config.KeepUnlistedServers = 900,
				true, 2, true
			config.SlowStartQuotas = &scriptedQuotas{remaining: map[ServerID]int{}}
		}),
		"many servers": modified(func(config *Config) {
			config.NodeCount, config.HealthChecksAllowed, config.EndpointsPushed, config.MaxOpenRequests,
				config.MaxAttempts = 300, true, false, 40, 0
			config.LateMessagesReported = true
		}),
	}
}

// scriptedQuotas grants and refuses attempts in a fixed pattern, which is the same in every run.
type scriptedQuotas struct {
	remaining map[ServerID]int
	requested int
}

func (q *scriptedQuotas) Remaining(id ServerID) int {
	if q.remaining[id] > 0 {
		return q.remaining[id]
	}
	return -(q.requested % 2)
}

func (q *scriptedQuotas) RequestMore(id ServerID) bool {
	if q.requested++; q.requested%3 != 0 {
		q.remaining[id] += 2
	}
	return q.requested%4 != 0
}

func (q *scriptedQuotas) Take(id ServerID) bool {
	q.remaining[id]--
	return q.remaining[id] >= 0
}

// stream feeds events to up to three nodes of one deployment.
type stream struct {
	nodes        []*Balancer
	config       Config
	rng          *rand.Rand
	now          time.Duration
	pending      []scheduledEvent
	openAttempts []Attempt // attempts that have not ended
	openNodes    []int     // the node of each open attempt
	lastID       RequestID
	serverCount  int
	output       io.Writer
	actionCounts map[string]int
}

type scheduledEvent struct {
	at    time.Duration
	node  int
	event Event
}

func newStream(config Config, serverCount int, seed uint64, output io.Writer) *stream {
	s := &stream{config: config, rng: rand.New(rand.NewPCG(seed, 52)), now: time.Hour,
		serverCount: serverCount, output: output, actionCounts: map[string]int{}}
	fmt.Fprintln(output, config.WarmServerAttemptLimit(serverCount))
	for i := range min(config.NodeCount, 3) {
		config.NodeIndex = i
		s.nodes = append(s.nodes, New(config, seed*10+uint64(i)))
		s.handle(i, EndpointUpdate{Kind: ListCached, Servers: s.endpointList(serverCount)})
	}
	return s
}

func (s *stream) endpointList(count int) (endpoints []Server) {
	for i := range count {
		endpoints = append(endpoints, s.endpoint(ServerID(i+1)))
	}
	return endpoints
}

func (s *stream) endpoint(id ServerID) Server {
	endpoint := Server{ID: id, State: Ready, Zone: fmt.Sprint("z", id%2), Cell: int(id % 3),
		Weight: float64(id % 4)}
	switch s.rng.IntN(12) {
	case 0:
		endpoint.State = Draining
	case 1:
		endpoint.State = Removed
	case 2, 3:
		endpoint.StartedAt = s.now - time.Duration(s.rng.IntN(9000))*ms
	}
	return endpoint
}

func (s *stream) handle(node int, ev Event) {
	for _, a := range s.nodes[node].Handle(s.now, ev) {
		fmt.Fprintf(s.output, "%d %d %s\n", node, s.now, s.describe(node, a))
	}
}

// describe returns the digested text of an action, counts the action and schedules the events that follow
// from it.
func (s *stream) describe(node int, a Action) string {
	schedule := func(delay time.Duration, node int, ev Event) {
		s.pending = append(s.pending, scheduledEvent{s.now + delay, node, ev})
	}
	shortDelay := func() time.Duration { return time.Duration(1+s.rng.IntN(60)) * ms }
	switch a := a.(type) {
	case Attempt:
		s.actionCounts["attempt"]++
		s.openAttempts, s.openNodes = append(s.openAttempts, a), append(s.openNodes, node)
		return fmt.Sprint("attempt ", uint64(a.ID), " ", uint64(a.Server), " ", int64(a.Timeout), " ",
			int64(a.SendWithin))
	case Reject:
		s.actionCounts["reject"]++
		return fmt.Sprint("reject ", uint64(a.ID), " ", int64(a.RetryAfter), " ", a.Reason)
	case Fail:
		s.actionCounts["fail"]++
		return fmt.Sprint("fail ", uint64(a.ID))
	case Migrate:
		s.actionCounts["migrate"]++
		return fmt.Sprint("migrate ", uint64(a.ID))
	case HealthCheck:
		s.actionCounts["check"]++
		schedule(shortDelay(), node, s.healthCheckResult(a.Server))
		return fmt.Sprint("check ", uint64(a.Server))
	case SendGossip:
		s.actionCounts["gossip"]++
		if s.rng.IntN(8) > 0 && a.ToNode < len(s.nodes) {
			schedule(shortDelay(), a.ToNode, GossipReceived{FromNode: node, Message: a.Message})
		}
		return fmt.Sprint("gossip ", a.ToNode, " ", int(a.Message.Kind), " ", a.Message.Incarnation, " ",
			uint64(a.Message.Server), " ", a.Message.Load, " ", a.Message.Groups)
	case SetTimer:
		schedule(a.After, node, TimerFired{Token: a.Token})
		return fmt.Sprint("timer ", int64(a.After), " ", a.Token)
	case WatchEndpoints:
		s.actionCounts["watch"]++
		return "watch"
	}
	return fmt.Sprint("unknown ", a)
}

func (s *stream) healthCheckResult(id ServerID) HealthCheckResult {
	result := HealthCheckResult{Server: id, Outcome: OK, Elapsed: 3 * ms,
		Report: &LoadReport{Utilisation: s.rng.Float64()*1.5 - 0.1}}
	if s.rng.IntN(6) == 0 {
		result.Outcome, result.Report = Outcome(s.rng.IntN(9)), nil
	}
	return result
}

// step handles the scheduled events that are due, and then one random event.
func (s *stream) step() {
	s.now += time.Duration(s.rng.IntN(120)) * ms
	for {
		earliest := -1
		for i, e := range s.pending {
			if e.at <= s.now && (earliest < 0 || e.at < s.pending[earliest].at) {
				earliest = i
			}
		}
		if earliest < 0 {
			break
		}
		e := s.pending[earliest]
		s.pending = slices.Delete(s.pending, earliest, earliest+1)
		s.handle(e.node, e.event)
	}
	node := s.rng.IntN(len(s.nodes))
	switch draw := s.rng.IntN(100); {
	case draw < 40:
		s.handle(node, s.request())
	case draw < 75:
		s.advanceAttempt()
	default:
		s.handleRareEvent(node, draw)
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

// advanceAttempt accepts or ends a random open attempt, or disconnects its client.
func (s *stream) advanceAttempt() {
	if len(s.openAttempts) == 0 {
		return
	}
	i := s.rng.IntN(len(s.openAttempts))
	a, node := s.openAttempts[i], s.openNodes[i]
	r := s.nodes[node].requests[a.ID]
	if r == nil {
		s.openAttempts, s.openNodes = slices.Delete(s.openAttempts, i, i+1),
			slices.Delete(s.openNodes, i, i+1)
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
		s.openAttempts, s.openNodes = slices.Delete(s.openAttempts, i, i+1),
			slices.Delete(s.openNodes, i, i+1)
		s.handle(node, AttemptEnded{ID: a.ID, Attempt: number, Server: a.Server,
			Outcome: Outcome(s.rng.IntN(9)), Elapsed: 20 * ms,
			Final: r.established || s.rng.IntN(9) == 0, GoAway: s.rng.IntN(12) == 0})
	}
}

// handleRareEvent feeds one of the less frequent events to a node. draw, from 75 to 99, selects the kind of
// event.
func (s *stream) handleRareEvent(node, draw int) {
	id := ServerID(1 + s.rng.IntN(s.serverCount+1))
	switch {
	case draw < 79:
		latency := time.Duration(s.rng.IntN(400)) * ms
		s.handle(node, LateMessage{ID: RequestID(1 + s.rng.IntN(int(s.lastID)+1)), Server: id,
			Latency: latency})
	case draw < 80:
		for range 5 {
			s.handle(node, HealthCheckResult{Server: id, Outcome: ConnectFailed})
		}
	case draw < 84:
		s.handle(node, s.healthCheckResult(id))
	case draw < 89:
		s.handle(node, EndpointUpdate{Kind: ListDelta,
			Servers: []Server{s.endpoint(id), s.endpoint(id/2 + 1)}})
	case draw < 91:
		kind := []UpdateKind{ListSnapshot, ListCached}[s.rng.IntN(2)]
		s.handle(node, EndpointUpdate{Kind: kind, Servers: s.endpointList(s.serverCount - s.rng.IntN(3))})
	case draw < 94:
		serviceWait := []time.Duration{0, 40 * ms, 2 * time.Second}[s.rng.IntN(3)]
		s.handle(node, EndpointUpdate{Kind: []UpdateKind{WatchFailed, WatchBroken}[s.rng.IntN(2)],
			ServiceWait: serviceWait})
	case draw < 96:
		s.lastID++
		existing := ExistingConnection{Request: s.request(), Server: id, Inherited: s.rng.IntN(2) == 0}
		s.openAttempts, s.openNodes = append(s.openAttempts, Attempt{ID: existing.ID, Server: id}),
			append(s.openNodes, node)
		s.handle(node, existing)
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

// handOver replaces a node's process with a successor.
func (s *stream) handOver(node int) {
	data, err := json.Marshal(s.nodes[node].HandoverState(s.now))
	if err != nil {
		// A server that was never listed has weight 0. Its utilisation can be infinite, which JSON cannot
		// represent.
		fmt.Fprintf(s.output, "no memory: %v\n", err)
		return
	}
	fmt.Fprintf(s.output, "memory %s\n", data)
	var state HandoverState
	if err := json.Unmarshal(data, &state); err != nil {
		panic(err)
	}
	config := s.config
	config.NodeIndex = node
	s.nodes[node] = New(config, uint64(s.now))
	endpoints := s.endpointList(s.serverCount)
	for _, record := range state.Servers {
		if s.rng.IntN(4) > 0 && int(record.ID) <= len(endpoints) {
			endpoints[record.ID-1].StartedAt = record.StartedAt
		}
	}
	s.handle(node, EndpointUpdate{Kind: ListCached, Servers: endpoints})
	s.nodes[node].Restore(s.now+time.Duration(s.rng.IntN(2))*time.Minute, state)
	for id := range ServerID(s.serverCount) {
		fmt.Fprintf(s.output, "start %d %d\n", id, s.nodes[node].LatestStart(id))
	}
	fmt.Fprintf(s.output, "avoided %d\n", s.nodes[node].ExcludedServerCount(s.now))
}

// streamDigest runs one stream and returns its digest. It counts the actions by kind.
func streamDigest(config Config, serverCount int, seed uint64, actionCounts map[string]int) string {
	digest := sha256.New()
	s := newStream(config, serverCount, seed, digest)
	s.actionCounts = actionCounts
	for range streamSteps {
		s.step()
	}
	return fmt.Sprintf("%x", digest.Sum(nil))
}

// readDigests reads the recorded digests by stream name.
func readDigests(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	digests := map[string]string{}
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		name, digest, _ := strings.Cut(scanner.Text(), ": ")
		digests[name] = digest
	}
	return digests
}

func TestStreamDigests(t *testing.T) {
	want, actionCounts := readDigests(t), map[string]int{}
	for name, config := range streamConfigs() {
		serverCount := 6
		if name == "many servers" {
			serverCount = 60
		}
		for seed := range uint64(streamSeeds) {
			streamName := fmt.Sprintf("%s, seed %d", name, seed)
			if quotas, ok := config.SlowStartQuotas.(*scriptedQuotas); ok {
				*quotas = scriptedQuotas{remaining: map[ServerID]int{}}
			}
			if got := streamDigest(config, serverCount, seed, actionCounts); got != want[streamName] {
				t.Errorf("%s: digest is %s", streamName, got)
			}
		}
	}
	if len(want) != len(streamConfigs())*streamSeeds {
		t.Errorf("%d recorded digests, want one for each stream and seed", len(want))
	}
	for _, kind := range []string{"attempt", "reject", "fail", "migrate", "check", "gossip", "watch"} {
		if actionCounts[kind] < 20 {
			t.Errorf("%d actions of kind %q, want at least 20: %v", actionCounts[kind], kind, actionCounts)
		}
	}
}
