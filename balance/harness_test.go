package balance

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestMain fixes the random seed of rapid, so that every run checks the same random events.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300",
		"rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// testConfig returns a configuration with every limit set; tests override the fields that they cover.
func testConfig() Config {
	return Config{
		NodeCount: 1, EndpointsPushed: true, MaxAttempts: 3, MaxRetryAfter: time.Second,
		MaxOpenRequests: 1000, TickInterval: 5 * ms,
		SlowStartMinCapacity: 0.3, SlowStartWindow: 8 * time.Second, OverloadFactor: 2.5,
		OverloadWindow: 2 * time.Second,
		Classes: map[string]Class{
			"safe":   {Idempotency: Idempotent, MessageObjective: 100 * ms},
			"unsafe": {Idempotency: NonIdempotent, KeyWindow: time.Second, MessageObjective: 100 * ms},
			"zone":   {Idempotency: IdempotentByKey, KeyScope: KeyScopeZone, KeyWindow: time.Second},
			"cell":   {Idempotency: IdempotentByKey, KeyScope: KeyScopeCell, KeyWindow: time.Second},
			"all":    {Idempotency: IdempotentByKey, KeyScope: KeyScopeAll, KeyWindow: time.Second},
		},
	}
}

// testNode is a Balancer with a clock and a counter of request IDs.
type testNode struct {
	*Balancer
	now    time.Duration
	nextID RequestID
}

func newTestNode(config Config, servers ...Server) *testNode {
	n := &testNode{Balancer: New(config, 7), now: time.Minute, nextID: 1}
	n.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
	return n
}

func readyServers(ids ...ServerID) []Server {
	var list []Server
	for _, id := range ids {
		list = append(list, Server{ID: id, State: Ready, Weight: 1, Zone: fmt.Sprint("z", id%2),
			Cell: int(id % 3)})
	}
	return list
}

func (n *testNode) handle(ev Event) []Action { return slices.Clone(n.Handle(n.now, ev)) }

// request passes a request with a timeout of 2 s to the node and returns its ID and the resulting actions.
func (n *testNode) request(class, key string) (RequestID, []Action) {
	id := n.nextID
	n.nextID++
	return id, n.handle(Request{ID: id, Class: class, ClientKey: key, Timeout: 2 * time.Second})
}

// place passes a request to the node and returns the server of its attempt; 0 means that there is none.
func (n *testNode) place(class, key string) (RequestID, ServerID) {
	id, actions := n.request(class, key)
	return id, sentTo(actions)
}

// establish places a request and accepts its attempt. It returns the request and the server.
func (n *testNode) establish(class, key string) (RequestID, ServerID) {
	id, s := n.place(class, key)
	n.handle(AttemptAccepted{ID: id, Server: s})
	return id, s
}

// end closes the established connection of a request.
func (n *testNode) end(id RequestID, s ServerID) {
	n.handle(AttemptEnded{ID: id, Server: s, Outcome: OK, Final: true})
}

// sentTo returns the server of the first attempt among the actions; 0 means that there is none.
func sentTo(actions []Action) ServerID {
	for _, a := range actions {
		if a, ok := a.(Attempt); ok {
			return a.Server
		}
	}
	return 0
}

// addConnections adds established connections without a client key on s.
func addConnections(n *testNode, s *server, count int) {
	for range count {
		n.handle(ExistingConnection{Request: Request{ID: n.nextID, Class: "safe"}, Server: s.ID})
		n.nextID++
	}
}

// finalAnswer returns "reject" or "fail" for the final answer among the actions, or "" if there is none.
func finalAnswer(actions []Action) string {
	for _, a := range actions {
		switch a.(type) {
		case Reject:
			return "reject"
		case Fail:
			return "fail"
		}
	}
	return ""
}

// newHealthCheckingNode returns a node that may send health checks, and the two servers that rank first for
// the group "group".
func newHealthCheckingNode(ids ...ServerID) (*testNode, *server, *server) {
	config := testConfig()
	config.HealthChecksAllowed = true
	n := newTestNode(config, readyServers(ids...)...)
	first, second := topRankedServers(n)
	return n, first, second
}

// topRankedServers returns the two servers that rank first for the group "group".
func topRankedServers(n *testNode) (first, second *server) {
	ranking := n.rank(&request{Request: Request{Group: "group"}})
	return ranking[0], ranking[1]
}

// requestInGroup passes a request of the group "group" to the node. Each ID has a different client key.
func (n *testNode) requestInGroup(id RequestID) []Action {
	return n.handle(Request{ID: id, Class: "safe", ClientKey: fmt.Sprint("client-", id), Group: "group",
		Timeout: time.Second})
}

// loadReport returns the result of a successful health check of s with the given utilisation.
func loadReport(s *server, utilisation float64) HealthCheckResult {
	return HealthCheckResult{Server: s.ID, Outcome: OK, Report: &LoadReport{Utilisation: utilisation}}
}

// utilisationTimers returns the timers of utilisation checks among the actions.
func utilisationTimers(actions []Action) (timers []SetTimer) {
	for _, a := range actions {
		if timer, ok := a.(SetTimer); ok && timer.Token == timerUtilisation {
			timers = append(timers, timer)
		}
	}
	return timers
}

// newTestNodes returns nodes with the same endpoint list and different seeds.
func newTestNodes(config Config, count int, servers ...Server) []*testNode {
	config.NodeCount = count
	nodes := make([]*testNode, count)
	for i := range nodes {
		config.NodeIndex = i
		nodes[i] = &testNode{Balancer: New(config, uint64(i)), now: time.Minute, nextID: 1}
		nodes[i].handle(EndpointUpdate{Kind: ListCached, Servers: servers})
	}
	return nodes
}

// checkedServers returns the servers of the health checks among the actions.
func checkedServers(actions []Action) (ids []ServerID) {
	for _, a := range actions {
		if check, ok := a.(HealthCheck); ok {
			ids = append(ids, check.Server)
		}
	}
	return ids
}
