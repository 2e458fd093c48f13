package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/lab/fleet"
)

const (
	budgetCount   = 10 // number of budgets; each request lends units of all of them
	heartbeat     = 400 * time.Millisecond
	envelopeBytes = 6 // bytes around the body of a message in a datagram: version, kind, number
)

// budgetSettings returns the default settings of the program, with a window of 2 s.
func budgetSettings(nodes, index int) budget.Settings {
	return budget.Settings{Nodes: nodes, Index: index, GuaranteedFraction: 0.5, MaxWindow: 2 * time.Second,
		LeaseTerm: time.Second, HeartbeatInterval: heartbeat}
}

func budgetID(i int) budget.ID { return budget.ID{Kind: 1, Subject: uint64(i + 1)} }

// defineBudgets defines ten budgets at a member. The limit of each is one unit per five nodes in any window.
func defineBudgets(member *budget.Member, nodes int, now time.Duration) {
	for i := range budgetCount {
		member.Define(now, budget.Spec{ID: budgetID(i), BaseLimit: max(nodes/5, 1), Window: 2 * time.Second})
	}
}

// followerGroup emulates all nodes of a fleet except the leader of the budgets, by the messages that they send to it.
type followerGroup struct {
	nodes         int
	leader        *budget.Member
	now           time.Duration
	seq           uint64
	lastResponses []budget.LeaseResponse // by node
}

// leaderIncarnation identifies the start of the leader.
const leaderIncarnation = 7

func newFollowerGroup(nodes int) *followerGroup {
	g := &followerGroup{nodes: nodes, leader: budget.New(budgetSettings(nodes, 0), leaderIncarnation, 0),
		lastResponses: make([]budget.LeaseResponse, nodes)}
	defineBudgets(g.leader, nodes, 0)
	return g
}

// runHeartbeat sends one request of each of the first count nodes to the leader within one heartbeat interval. It
// returns the CPU time in microseconds of the leader per request, measured over the first timed requests, and the mean
// sizes in bytes of requests and responses.
func (g *followerGroup) runHeartbeat(count, timed int, wants bool) (
	micros, requestBytes, responseBytes float64, err error) {
	g.seq++
	defer func(end time.Duration) { g.now = end }(g.now + heartbeat)
	requests, responses := make([][]byte, g.nodes), make([][]byte, g.nodes)
	for i := 1; i <= count; i++ {
		last := g.lastResponses[i]
		request := budget.LeaseRequest{Incarnation: uint64(1000 + i), Seq: g.seq, LeaderClock: last.LeaderClock,
			Leader: last.Incarnation, Acknowledged: last.Seq}
		for k := range budgetCount { // a tenth of the nodes own a unit of each budget
			request.Delegated = append(request.Delegated, budget.Amount{ID: budgetID(k), Units: (i + k) % 10 / 9})
		}
		if wants {
			request.Wanted = []budget.Amount{{ID: budgetID(i % budgetCount), Units: 1}}
		}
		for _, grant := range last.Grants {
			request.Releases = append(request.Releases,
				budget.Release{Grant: grant.Number, Used: grant.Units, SinceUse: int64(heartbeat / 2)})
		}
		if requests[i], err = cbor.Marshal(request); err != nil {
			return
		}
		requestBytes += float64(len(requests[i])+envelopeBytes) / float64(count)
	}
	handle := func(from, to int) func() {
		return func() {
			for i := from; i <= to && err == nil; i++ {
				message, decodeErr := budget.DecodeMessage(requests[i])
				if err = decodeErr; err != nil {
					return
				}
				g.now += heartbeat / time.Duration(g.nodes-1)
				for _, action := range g.leader.HandleMessage(g.now, i, message) {
					if response, ok := action.(budget.SendResponse); ok && response.To == i {
						responses[i], err = cbor.Marshal(response.Response)
					}
				}
			}
		}
	}
	micros = cpuMicros(timed, handle(1, timed))
	handle(timed+1, count)()
	for i := 1; i <= count && err == nil; i++ {
		if responses[i] == nil {
			return 0, 0, 0, fmt.Errorf("node %d received no response", i)
		}
		responseBytes += float64(len(responses[i])+envelopeBytes) / float64(count)
		message, decodeErr := budget.DecodeMessage(responses[i])
		g.lastResponses[i], _ = message.(budget.LeaseResponse)
		err = decodeErr
	}
	return
}

// measureLeader measures the cost of requests at the leader of the budgets. Each node sends one request per heartbeat
// interval, which lends units of ten budgets and wants one unit of one of them.
func measureLeader(ctx context.Context, b *bench) error {
	requestTime := b.measurement("keeper.ask",
		"processor time of an ask at the keeper, read, worked on and answered: 10 lends, 1 want", "us", "nodes")
	idleTime := b.measurement("keeper.beat", "the same of an ask that wants nothing", "us", "nodes")
	requestSize := b.measurement("keeper.ask_bytes",
		"bytes of that ask, in the mean (10 lends, 1 want)", "bytes", "nodes")
	responseSize := b.measurement("keeper.answer_bytes", "bytes of its answer, in the mean", "bytes", "nodes")
	memory := b.measurement("keeper.memory", "live memory of the keeper's part", "bytes", "nodes")
	return b.forEachSize(ctx, NodeCounts, func(size, _ int) error {
		before := liveMemory()
		g := newFollowerGroup(size)
		// All nodes only follow until the leader's recovery delay is over, and often enough to count as followers. Then
		// all want one unit, together half of all units, and some want another one: these requests are measured.
		for g.now < budgetSettings(size, 0).RecoveryDelay()+6*heartbeat {
			if _, _, _, err := g.runHeartbeat(size-1, 1, false); err != nil {
				return err
			}
			g.now += 2 * heartbeat
		}
		timed := min(max(size/5, 2), 600)
		if _, _, _, err := g.runHeartbeat(size-1, 1, false); err != nil {
			return err
		}
		idle, _, _, err := g.runHeartbeat(size-1, timed, false)
		if err != nil {
			return err
		}
		if _, _, _, err := g.runHeartbeat(size-1, 1, true); err != nil {
			return err
		}
		micros, requestBytes, responseBytes, err := g.runHeartbeat(timed, timed, true)
		if err != nil {
			return err
		}
		if state := g.leader.State(g.now); state.Followers < size/2 ||
			g.leader.Counters.Granted*10 < int64(size-1+timed)*9 {
			return fmt.Errorf("with %d nodes: %d followers, and %d units granted of %d wanted",
				size, state.Followers, g.leader.Counters.Granted, size-1+timed)
		}
		g.lastResponses = nil
		memory.add(size, liveMemory()-before)
		runtime.KeepAlive(g.leader)
		idleTime.add(size, idle)
		requestTime.add(size, micros)
		requestSize.add(size, requestBytes)
		responseSize.add(size, responseBytes)
		return nil
	})
}

// measureFollower measures the costs of the budgets at a node that follows the leader: its heartbeats, its start and
// its memory.
func measureFollower(ctx context.Context, b *bench) error {
	heartbeatTime := b.measurement("follower.beat",
		"processor time of a beat at a node that follows: ask made and written, answer read and taken in",
		"us", "nodes")
	memory := b.measurement("follower.memory", "live memory of a node's part of the budgets", "bytes", "nodes")
	startTime := b.measurement("follower.start", "processor time of its start", "us", "nodes")
	const count = 400
	return b.forEachSize(ctx, NodeCounts, func(size, _ int) error {
		before := liveMemory()
		var member *budget.Member
		startTime.add(size, cpuMicros(1, func() { member = budget.New(budgetSettings(size, size-1), 99, 0) }))
		defineBudgets(member, size, 0)
		memory.add(size, liveMemory()-before)
		now, err, followedResponses, leader := time.Duration(0), error(nil), 0, -1
		tick := func() {
			now += heartbeat
			for _, action := range append([]budget.Action(nil), member.Tick(now)...) {
				send, ok := action.(budget.SendRequest)
				if !ok {
					continue
				}
				body, encodeErr := cbor.Marshal(send.Request)
				if encodeErr != nil {
					err = encodeErr
					return
				}
				if leader < 0 {
					leader = send.To
				}
				if send.To != leader { // no other node responds
					continue
				}
				response, encodeErr := cbor.Marshal(budget.LeaseResponse{Incarnation: leaderIncarnation,
					Seq: send.Request.Seq, LeaderClock: now, Follower: send.Request.Incarnation, HasQuorum: true})
				_, requestErr := budget.DecodeMessage(body)
				message, responseErr := budget.DecodeMessage(response)
				if encodeErr != nil || requestErr != nil || responseErr != nil {
					err = fmt.Errorf("encoding or decoding a message: %v", encodeErr)
					return
				}
				member.HandleMessage(now, send.To, message)
				if send.Request.Leader != 0 {
					followedResponses++
				}
			}
		}
		for range 1000 { // until the node has found its leader and the exchange is steady
			if tick(); followedResponses > 3 || err != nil {
				break
			}
		}
		if err != nil || followedResponses <= 3 {
			return fmt.Errorf("with %d nodes: the node follows no leader: %v", size, err)
		}
		heartbeatTime.add(size, cpuMicros(count, func() {
			for range count {
				tick()
			}
		}))
		return err
	})
}

// measureMessages counts the messages between the nodes of a simulated fleet, in virtual time.
func measureMessages(ctx context.Context, b *bench) error {
	busiest := b.measurement("words.busiest",
		"words a second sent by the node that sends most (lab fleet, many-replaced with leases, scaled)",
		"1/s", "nodes")
	mean := b.measurement("words.mean", "words a second sent by a node in the mean", "1/s", "nodes")
	return b.forEachSize(ctx, simulatedFleetSizes, func(size, repetition int) error {
		scenario, err := fleet.Load("many-replaced")
		if err != nil {
			return err
		}
		scenario.Length, scenario.Nodes, scenario.Servers = fleet.Duration(6*time.Second), size, max(size/4, 2)
		scenario.Clients.Initial, scenario.Clients.ArrivalsPerSecond, scenario.Clients.Groups =
			3*size, float64(size)/16, max(size*3/8, 1)
		scenario.Discovery.CallsPerSecond, scenario.Discovery.QueueLimit = float64(size)/5, size
		scenario.Quotas = fleet.Quotas{Leased: true, GuaranteedFraction: 0.5,
			LeaseTerm: fleet.Duration(time.Second), HeartbeatInterval: fleet.Duration(heartbeat)}
		scenario.Faults[0].At, scenario.Faults[0].Stagger =
			fleet.Duration(2*time.Second), fleet.Duration(3*time.Second)
		if err := scenario.Check(); err != nil {
			return err
		}
		result := fleet.Run(scenario, b.options.Seed+uint64(repetition), fleet.NewBalancer)
		seconds := time.Duration(scenario.Length).Seconds()
		busiest.add(size, float64(result.Totals["words of the busiest node"])/seconds)
		mean.add(size, float64(result.Totals["words between nodes"])/seconds/float64(size))
		return nil
	})
}

// measureRetryDelay measures the delay of a node before it calls the list service again after failed calls.
func measureRetryDelay(ctx context.Context, b *bench) error {
	first := b.measurement("pause.first",
		"the pause after a first call for the list that failed at once, the longest of 200 draws", "s", "nodes")
	third := b.measurement("pause.third", "after a third in a row", "s", "nodes")
	slowThird := b.measurement("pause.waited",
		"after a third in a row of calls that waited 2 s before they failed, as at a service with too many callers",
		"s", "nodes")
	cached := b.measurement("pause.start",
		"the longest wait of a node that starts with an old list until it first asks", "s", "nodes")
	return b.forEachSize(ctx, NodeCounts, func(size, repetition int) error {
		var longest [4]time.Duration
		for i := range 200 {
			balancer := balance.New(balance.Config{NodeCount: size, NodeIndex: i % size},
				b.options.Seed+uint64(repetition*200+i))
			retryDelay := func(kind balance.UpdateKind, serviceWait time.Duration) (delay time.Duration) {
				for _, action := range balancer.Handle(time.Minute,
					balance.EndpointUpdate{Kind: kind, ServiceWait: serviceWait}) {
					if timer, ok := action.(balance.SetTimer); ok {
						delay = max(delay, timer.After)
					}
				}
				return delay
			}
			longest[0] = max(longest[0], retryDelay(balance.ListCached, 0))
			longest[1] = max(longest[1], retryDelay(balance.WatchFailed, 0))
			retryDelay(balance.WatchFailed, 0)
			longest[2] = max(longest[2], retryDelay(balance.WatchFailed, 0))
			balancer = balance.New(balance.Config{NodeCount: size, NodeIndex: i % size},
				b.options.Seed+uint64(repetition*200+i))
			for range 3 {
				longest[3] = max(longest[3], retryDelay(balance.WatchFailed, 2*time.Second))
			}
		}
		cached.add(size, longest[0].Seconds())
		first.add(size, longest[1].Seconds())
		third.add(size, longest[2].Seconds())
		slowThird.add(size, longest[3].Seconds())
		return nil
	})
}
