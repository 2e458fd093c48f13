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

// entry is a server as a site lists it.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

func server(i int, state string, started int64) entry {
	return entry{ID: fmt.Sprintf("server-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:9100", i/62500+1, i/250%250, i%250+1),
		Zone: fmt.Sprintf("zone-%02d", i%17), State: state, Weight: 1, Started: started}
}

// listed writes a list of servers, or a change.
func listed(version int64, full bool, servers ...entry) []byte {
	data, err := json.Marshal(map[string]any{"version": version, "full": full, "servers": servers})
	if err != nil {
		panic(err) // it holds nothing that JSON has no form for
	}
	return data
}

func whole(servers int) []byte {
	var all []entry
	for i := range servers {
		all = append(all, server(i, "up", 1_700_000_000_000))
	}
	return listed(1, true, all...)
}

// read takes in a list as it comes.
func read(d *balance.Balancer, data []byte, kind balance.UpdateKind) error {
	var l discovery.EndpointList
	if err := json.Unmarshal(data, &l); err != nil {
		return err
	}
	if err := l.Validate(); err != nil {
		return err
	}
	d.Handle(now, l.EndpointUpdate(kind))
	return nil
}

// now is some moment in the servers' life, long after their start.
const now = 500_000 * time.Hour

func decisions(seed uint64) *balance.Balancer {
	return balance.New(balance.Config{NodeCount: 5700, MaxAttempts: 3, SlowStartMinCapacity: 0.3,
		SlowStartWindow: 8 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second,
		ConnectionCapacity: 260e6, Classes: map[string]balance.Class{"c": {Idempotency: balance.Idempotent}}}, seed)
}

// list measures the list of servers: its bytes, and the time to read it and take it in, whole and one change.
func list(ctx context.Context, b *bench) error {
	size := b.slope("list.bytes", "bytes of the whole list", "bytes", "servers")
	full := b.slope("list.whole", "processor time to read the whole list and take it in", "us", "servers")
	change := b.slope("list.change", "processor time to read one change and take it in", "us", "servers")
	delta := b.slope("list.change_bytes", "bytes of one change", "bytes", "servers")
	return b.each(ctx, ServerCounts, func(n, turn int) error {
		data, d := whole(n), decisions(b.o.Seed)
		if err := read(d, data, balance.ListSnapshot); err != nil {
			return err
		}
		var err error
		times := max(20000/n, 3)
		full.add(n, timed(times, func() {
			for range times {
				if bad := read(d, data, balance.ListSnapshot); bad != nil {
					err = bad
				}
			}
		}))
		size.add(n, float64(len(data)))
		states := []string{"draining", "up"}
		change.add(n, timed(200, func() {
			for i := range 200 {
				if bad := read(d, listed(int64(i+2), false, server(i/2%n, states[i%2], 1_700_000_000_000)),
					balance.ListDelta); bad != nil {
					err = bad
				}
			}
		}))
		delta.add(n, float64(len(listed(2, false, server(turn%n, "draining", 1_700_000_000_000)))))
		return err
	})
}

// clients has requests of new clients handled, and tells how many were sent to a server.
type clients struct {
	d    *balance.Balancer
	rng  *rand.Rand
	next balance.RequestID
}

func newClients(servers int, seed uint64) (*clients, error) {
	c := &clients{d: decisions(seed), rng: rand.New(rand.NewPCG(seed, 3))}
	return c, read(c.d, whole(servers), balance.ListSnapshot)
}

// place places a client, and has its connection stand.
func (c *clients) place(key, group string) bool {
	c.next++
	id, sent := c.next, balance.ServerID(0)
	for _, a := range c.d.Handle(now, balance.Request{ID: id, Class: "c", ClientKey: key, Group: group,
		Timeout: time.Second}) {
		if t, ok := a.(balance.Attempt); ok {
			sent = t.Server
		}
	}
	if sent == 0 {
		return false
	}
	c.d.Handle(now, balance.AttemptAccepted{ID: id, Server: sent})
	return true
}

func (c *clients) key() string { return fmt.Sprintf("client-%016x", c.rng.Uint64()) }

// place measures the placement of clients among servers.
func place(ctx context.Context, b *bench) error {
	first := b.slope("place.first", "processor time to place a client whose key is new", "us", "servers")
	group := b.slope("place.group", "the same in a group whose ranking is known", "us", "servers")
	again := b.slope("place.again", "the same for a key in the table, after a change of the list", "us", "servers")
	return b.each(ctx, ServerCounts, func(n, turn int) error {
		c, err := newClients(n, b.o.Seed+uint64(turn))
		if err != nil {
			return err
		}
		const count = 500
		keys, placed := make([]string, count), 0
		for i := range keys {
			keys[i] = c.key()
		}
		go1 := func(key, group string) {
			if c.place(key, group) {
				placed++
			}
		}
		first.add(n, timed(count, func() {
			for _, key := range keys {
				go1(key, "")
			}
		}))
		go1(c.key(), "topic")
		group.add(n, timed(count, func() {
			for range count {
				go1(c.key(), "topic")
			}
		}))
		if err := read(c.d, listed(2, false, server(n-1, "draining", 1_700_000_000_000)),
			balance.ListDelta); err != nil {
			return err
		}
		again.add(n, timed(count, func() {
			for _, key := range keys {
				go1(key, "")
			}
		}))
		if placed != 3*count+1 {
			return fmt.Errorf("%d of %d clients were placed", placed, 3*count+1)
		}
		return nil
	})
}

// memory measures what the decisions hold.
func memory(ctx context.Context, b *bench) error {
	bare := b.slope("memory.servers", "live memory of the decisions with a list and no client", "bytes", "servers")
	ranked := b.slope("memory.rankings", "the same with as many rankings kept as there may be (1,024)", "bytes", "servers")
	held := b.slope("memory.connections", "live memory of the decisions by standing connections, among 90 servers", "bytes", "connections")
	err := b.each(ctx, ServerCounts, func(n, turn int) error {
		before := live()
		c, err := newClients(n, b.o.Seed+uint64(turn))
		if err != nil {
			return err
		}
		bare.add(n, live()-before)
		for range 1024 {
			c.place(c.key(), "")
		}
		ranked.add(n, live()-before)
		runtime.KeepAlive(c)
		return nil
	})
	if err != nil {
		return err
	}
	return b.each(ctx, KeyCounts, func(n, turn int) error {
		before := live()
		c, err := newClients(90, b.o.Seed+uint64(turn))
		if err != nil {
			return err
		}
		for range n {
			c.place(c.key(), "topic") // one ranking for all: rankings are measured above
		}
		held.add(n, live()-before)
		runtime.KeepAlive(c)
		return nil
	})
}
