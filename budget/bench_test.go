package budget

import (
	"fmt"
	"testing"
	"time"
)

// requester plays the followers of a leader by their requests alone: each sends one in a heartbeat interval,
// delegates of ten budgets, wants one unit and releases the one before.
type requester struct {
	settings Settings
	now      time.Duration
	next     int
	nextTick time.Duration // of the Parent
	nodes    []requesterNode
}

type requesterNode struct {
	seq         uint64
	leaderClock time.Duration
	leader      uint64
	releases    []Release
}

const requestedBudgets = 20

func newRequester(settings Settings) *requester {
	return &requester{settings: settings, now: time.Minute, nodes: make([]requesterNode, settings.Nodes)}
}

// request gives the next message, and who sends it.
func (r *requester) request() (from int, request LeaseRequest) {
	from = r.next % len(r.nodes)
	r.next++
	r.now += r.settings.HeartbeatInterval / time.Duration(len(r.nodes))
	n := &r.nodes[from]
	n.seq++
	request = LeaseRequest{Incarnation: uint64(1000 + from), Seq: n.seq, LeaderClock: n.leaderClock, Leader: n.leader,
		DelegatesUnlisted: true, Releases: n.releases, Wanted: []Amount{{ID: requestedID(r.next), Units: 1}}}
	for i := range 10 {
		request.Delegated = append(request.Delegated, Amount{ID: requestedID(from + i), Units: 1})
	}
	return from, request
}

func requestedID(i int) ID { return ID{Kind: 1, Subject: uint64(i % requestedBudgets)} }

func (r *requester) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ScheduleTick:
			r.nextTick = r.now + a.After
		case SendResponse:
			n := &r.nodes[a.To]
			n.leaderClock, n.leader, n.releases = a.Response.LeaderClock, a.Response.Incarnation, nil
			for _, g := range a.Response.Grants {
				n.releases = append(n.releases, Release{Grant: g.Number, Used: g.Units})
			}
		}
	}
}

func benchSettings(n int) Settings {
	return Settings{Nodes: n, GuaranteedFraction: 0.5, MaxWindow: 1250 * time.Millisecond, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}
}

// BenchmarkRequest is what a request costs at the leader of a flat group, by its members.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{32, 100, 300, 1000, 3000, 5700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRequester(benchSettings(n))
			leader := New(r.settings, 1, 0)
			leader.SetRule(1, Rule{Limit: 4 * n, Window: time.Second})
			r.nodes[0].seq = 1 << 40
			one := func() {
				if from, request := r.request(); from != 0 {
					r.take(leader.HandleMessage(r.now, from, request))
				}
			}
			for range 4 * n {
				one()
			}
			granted := leader.Counters.Granted
			b.ResetTimer()
			for range b.N {
				one()
			}
			b.ReportMetric(float64(leader.Counters.Granted-granted)/float64(b.N), "granted/op")
		})
	}
}

// BenchmarkParentRequest is what a request costs at a Parent, by the nodes that follow it, of 5,700: the unit of each
// request is acquired in the group.
func BenchmarkParentRequest(b *testing.B) {
	for _, n := range []int{20, 100, 178, 335} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRequester(benchSettings(n))
			p := newBenchParent(r.settings)
			one := func() {
				from, request := r.request()
				if r.now >= r.nextTick {
					r.take(p.Tick(r.now))
				}
				r.take(p.HandleChildMessage(r.now, from, request))
			}
			for range 16 * n {
				one()
			}
			granted := p.Counters.FromChildren + p.Counters.FromGroup
			b.ResetTimer()
			for range b.N {
				one()
			}
			b.ReportMetric(float64(p.Counters.FromChildren+p.Counters.FromGroup-granted)/float64(b.N), "granted/op")
			b.ReportMetric(float64(p.Counters.Deferred)/float64(p.Counters.Requests), "deferred/op")
		})
	}
}

func newBenchParent(settings Settings) *Parent {
	settings.Nodes, settings.LeaseTerm, settings.GuaranteedFraction = 5700, 250*time.Millisecond, 0.1
	upper := settings
	upper.Nodes, upper.GuaranteedFraction, upper.LeaseTerm = 32, 0.5, time.Second
	p := NewParent(settings, New(upper, 1, 0), 2, 0)
	p.SetRule(1, Rule{Limit: 50 * 5700, Window: time.Second})
	return p
}
