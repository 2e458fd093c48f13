package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
)

// endpoint is a server in the JSON form of an endpoint list.
type endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// newEndpoint returns server i of a list, in one of 17 zones.
func newEndpoint(i int, state string, startedMS int64) endpoint {
	return endpoint{ID: fmt.Sprintf("server-%05d", i),
		Addr: fmt.Sprintf("10.%d.%d.%d:9100", i/62500+1, i/250%250, i%250+1),
		Zone: fmt.Sprintf("zone-%02d", i%17), State: state, Weight: 1, Started: startedMS}
}

// encodeList encodes a list of servers, or a change of it.
func encodeList(version int64, full bool, endpoints ...endpoint) []byte {
	data, err := json.Marshal(map[string]any{"version": version, "full": full, "servers": endpoints})
	if err != nil {
		panic(err) // all values have a JSON form
	}
	return data
}

// fullList returns an encoded list of servers.
func fullList(servers int) []byte {
	var endpoints []endpoint
	for i := range servers {
		endpoints = append(endpoints, newEndpoint(i, "up", 1_700_000_000_000))
	}
	return encodeList(1, true, endpoints...)
}

// applyList decodes an endpoint list and passes it to the balancer, as a node does when it receives one.
func applyList(balancer *balance.Balancer, data []byte, kind balance.UpdateKind) error {
	var list discovery.EndpointList
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if err := list.Validate(); err != nil {
		return err
	}
	balancer.Handle(now, list.EndpointUpdate(kind))
	return nil
}

// now is a time long after the start of all servers.
const now = 500_000 * time.Hour

// newBalancer returns the balancer of a node in a fleet of 5,700.
func newBalancer(seed uint64) *balance.Balancer {
	return balance.New(balance.Config{NodeCount: 5700, MaxAttempts: 3, SlowStartMinCapacity: 0.3,
		SlowStartWindow: 8 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second,
		ConnectionCapacity: 260e6, Classes: map[string]balance.Class{"c": {Idempotency: balance.Idempotent}}}, seed)
}

// measureList measures the size of endpoint lists and of changes, and the CPU time to decode and apply them.
func measureList(ctx context.Context, b *bench) error {
	listBytes := b.measurement("list.bytes", "bytes of the whole list", "bytes", "servers")
	snapshotTime := b.measurement("list.whole", "processor time to read the whole list and take it in", "us", "servers")
	deltaTime := b.measurement("list.change", "processor time to read one change and take it in", "us", "servers")
	deltaBytes := b.measurement("list.change_bytes", "bytes of one change", "bytes", "servers")
	return b.forEachSize(ctx, ServerCounts, func(size, repetition int) error {
		data, balancer := fullList(size), newBalancer(b.options.Seed)
		if err := applyList(balancer, data, balance.ListSnapshot); err != nil {
			return err
		}
		var err error
		iterations := max(20000/size, 3)
		snapshotTime.add(size, cpuMicros(iterations, func() {
			for range iterations {
				if applyErr := applyList(balancer, data, balance.ListSnapshot); applyErr != nil {
					err = applyErr
				}
			}
		}))
		listBytes.add(size, float64(len(data)))
		states := []string{"draining", "up"}
		deltaTime.add(size, cpuMicros(200, func() {
			for i := range 200 {
				if applyErr := applyList(balancer,
					encodeList(int64(i+2), false, newEndpoint(i/2%size, states[i%2], 1_700_000_000_000)),
					balance.ListDelta); applyErr != nil {
					err = applyErr
				}
			}
		}))
		deltaBytes.add(size, float64(len(encodeList(
			2, false, newEndpoint(repetition%size, "draining", 1_700_000_000_000)))))
		return err
	})
}

// clients sends requests of new clients to a balancer.
type clients struct {
	balancer *balance.Balancer
	rng      *rand.Rand
	lastID   balance.RequestID
}

func newClients(servers int, seed uint64) (*clients, error) {
	c := &clients{balancer: newBalancer(seed), rng: rand.New(rand.NewPCG(seed, 3))}
	return c, applyList(c.balancer, fullList(servers), balance.ListSnapshot)
}

// place sends the request of a client and has the selected server accept it. It reports whether a server was selected.
func (c *clients) place(key, group string) bool {
	c.lastID++
	id, server := c.lastID, balance.ServerID(0)
	for _, action := range c.balancer.Handle(now, balance.Request{ID: id, Class: "c", ClientKey: key, Group: group,
		Timeout: time.Second}) {
		if attempt, ok := action.(balance.Attempt); ok {
			server = attempt.Server
		}
	}
	if server == 0 {
		return false
	}
	c.balancer.Handle(now, balance.AttemptAccepted{ID: id, Server: server})
	return true
}

// newKey returns a random client key.
func (c *clients) newKey() string { return fmt.Sprintf("client-%016x", c.rng.Uint64()) }

// measurePlacement measures the CPU time to select a server for a client.
func measurePlacement(ctx context.Context, b *bench) error {
	firstTime := b.measurement("place.first", "processor time to place a client whose key is new", "us", "servers")
	groupTime := b.measurement("place.group", "the same in a group whose ranking is known", "us", "servers")
	repeatTime := b.measurement("place.again",
		"the same for a key in the table, after a change of the list", "us", "servers")
	return b.forEachSize(ctx, ServerCounts, func(size, repetition int) error {
		c, err := newClients(size, b.options.Seed+uint64(repetition))
		if err != nil {
			return err
		}
		const count = 500
		keys, placed := make([]string, count), 0
		for i := range keys {
			keys[i] = c.newKey()
		}
		placeOne := func(key, group string) {
			if c.place(key, group) {
				placed++
			}
		}
		firstTime.add(size, cpuMicros(count, func() {
			for _, key := range keys {
				placeOne(key, "")
			}
		}))
		placeOne(c.newKey(), "topic")
		groupTime.add(size, cpuMicros(count, func() {
			for range count {
				placeOne(c.newKey(), "topic")
			}
		}))
		if err := applyList(c.balancer, encodeList(2, false, newEndpoint(size-1, "draining", 1_700_000_000_000)),
			balance.ListDelta); err != nil {
			return err
		}
		repeatTime.add(size, cpuMicros(count, func() {
			for _, key := range keys {
				placeOne(key, "")
			}
		}))
		if placed != 3*count+1 {
			return fmt.Errorf("%d of %d clients were placed", placed, 3*count+1)
		}
		return nil
	})
}

// measureMemory measures the live memory of a balancer.
func measureMemory(ctx context.Context, b *bench) error {
	withoutClients := b.measurement("memory.servers",
		"live memory of the decisions with a list and no client", "bytes", "servers")
	withRankings := b.measurement("memory.rankings",
		"the same with as many rankings kept as there may be (1,024)", "bytes", "servers")
	withConnections := b.measurement("memory.connections",
		"live memory of the decisions by standing connections, among 90 servers", "bytes", "connections")
	err := b.forEachSize(ctx, ServerCounts, func(size, repetition int) error {
		before := liveMemory()
		c, err := newClients(size, b.options.Seed+uint64(repetition))
		if err != nil {
			return err
		}
		withoutClients.add(size, liveMemory()-before)
		for range 1024 {
			c.place(c.newKey(), "")
		}
		withRankings.add(size, liveMemory()-before)
		runtime.KeepAlive(c)
		return nil
	})
	if err != nil {
		return err
	}
	return b.forEachSize(ctx, KeyCounts, func(size, repetition int) error {
		before := liveMemory()
		c, err := newClients(90, b.options.Seed+uint64(repetition))
		if err != nil {
			return err
		}
		for range size {
			c.place(c.newKey(), "topic") // one ranking for all, since rankings are measured above
		}
		withConnections.add(size, liveMemory()-before)
		runtime.KeepAlive(c)
		return nil
	})
}
