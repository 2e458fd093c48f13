package budget

import (
	"fmt"
	"testing"
	"time"
)

// requestGenerator generates the requests of a leader's followers. Each follower sends one request per heartbeat
// interval, which delegates units of ten budgets, requests one unit and releases the previous grants.
type requestGenerator struct {
	settings     Settings
	now          time.Duration
	requestCount int
	nextTick     time.Duration // next call of Tick of the Parent
	nodes        []generatedFollower
}

// generatedFollower is the state of one follower of a requestGenerator.
type generatedFollower struct {
	seq         uint64
	leaderClock time.Duration
	leader      uint64
	releases    []Release
}

const requestedBudgets = 20

func newRequestGenerator(settings Settings) *requestGenerator {
	return &requestGenerator{settings: settings, now: time.Minute, nodes: make([]generatedFollower, settings.Nodes)}
}

// request returns the next request and the index of its sender.
func (r *requestGenerator) request() (from int, request LeaseRequest) {
	from = r.requestCount % len(r.nodes)
	r.requestCount++
	r.now += r.settings.HeartbeatInterval / time.Duration(len(r.nodes))
	node := &r.nodes[from]
	node.seq++
	request = LeaseRequest{Incarnation: uint64(1000 + from), Seq: node.seq, LeaderClock: node.leaderClock,
		Leader: node.leader, DelegatesUnlisted: true, Releases: node.releases,
		Wanted: []Amount{{ID: requestedID(r.requestCount), Units: 1}}}
	for i := range 10 {
		request.Delegated = append(request.Delegated, Amount{ID: requestedID(from + i), Units: 1})
	}
	return from, request
}

func requestedID(i int) ID { return ID{Kind: 1, Subject: uint64(i % requestedBudgets)} }

func (r *requestGenerator) handleActions(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ScheduleTick:
			r.nextTick = r.now + a.After
		case SendResponse:
			node := &r.nodes[a.To]
			node.leaderClock, node.leader, node.releases = a.Response.LeaderClock, a.Response.Incarnation, nil
			for _, g := range a.Response.Grants {
				node.releases = append(node.releases, Release{Grant: g.Number, Used: g.Units})
			}
		}
	}
}

func benchSettings(nodes int) Settings {
	return Settings{Nodes: nodes, GuaranteedFraction: 0.5, MaxWindow: 1250 * time.Millisecond, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}
}

// BenchmarkRequest measures the cost of a request at the leader of a flat group, by the number of members.
func BenchmarkRequest(b *testing.B) {
	for _, nodes := range []int{32, 100, 300, 1000, 3000, 5700} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			generator := newRequestGenerator(benchSettings(nodes))
			leader := New(generator.settings, 1, 0)
			leader.SetRule(1, Rule{Limit: 4 * nodes, Window: time.Second})
			generator.nodes[0].seq = 1 << 40
			handleNext := func() {
				if from, request := generator.request(); from != 0 {
					generator.handleActions(leader.HandleMessage(generator.now, from, request))
				}
			}
			for range 4 * nodes {
				handleNext()
			}
			granted := leader.Counters.Granted
			b.ResetTimer()
			for range b.N {
				handleNext()
			}
			b.ReportMetric(float64(leader.Counters.Granted-granted)/float64(b.N), "granted/op")
		})
	}
}

// BenchmarkParentRequest measures the cost of a request at a Parent, by the number of nodes that follow it out of
// 5,700. The unit of each request is acquired in the group.
func BenchmarkParentRequest(b *testing.B) {
	for _, nodes := range []int{20, 100, 178, 335} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			generator := newRequestGenerator(benchSettings(nodes))
			parent := newBenchParent(generator.settings)
			handleNext := func() {
				from, request := generator.request()
				if generator.now >= generator.nextTick {
					generator.handleActions(parent.Tick(generator.now))
				}
				generator.handleActions(parent.HandleChildMessage(generator.now, from, request))
			}
			for range 16 * nodes {
				handleNext()
			}
			granted := parent.Counters.FromChildren + parent.Counters.FromGroup
			b.ResetTimer()
			for range b.N {
				handleNext()
			}
			b.ReportMetric(float64(parent.Counters.FromChildren+parent.Counters.FromGroup-granted)/float64(b.N),
				"granted/op")
			b.ReportMetric(float64(parent.Counters.Deferred)/float64(parent.Counters.Requests), "deferred/op")
		})
	}
}

func newBenchParent(settings Settings) *Parent {
	settings.Nodes, settings.LeaseTerm, settings.GuaranteedFraction = 5700, 250*time.Millisecond, 0.1
	groupSettings := settings
	groupSettings.Nodes, groupSettings.GuaranteedFraction, groupSettings.LeaseTerm = 32, 0.5, time.Second
	parent := NewParent(settings, New(groupSettings, 1, 0), 2, 0)
	parent.SetRule(1, Rule{Limit: 50 * 5700, Window: time.Second})
	return parent
}
