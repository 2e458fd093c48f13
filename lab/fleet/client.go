package fleet

import (
	"fmt"
	"time"

	"brassmux/balance"
)

const (
	minClientLoad = 0.2 // in mean connections
	maxClientLoad = 4.0
)

// client keeps one connection open, and reconnects as needed, until wantedUntil.
type client struct {
	key, group  string
	load        float64 // in mean connections
	wantedUntil time.Duration
	connection  *request // nil while the client is not connected
}

// request is a client's request to a node and, once accepted, its connection.
type request struct {
	id          balance.RequestID
	node        *node
	incarnation int // of the node when it received the request
	client      *client
	deadline    time.Duration
	attempts    int
	server      *server // of the attempt in flight or of the accepted connection; otherwise nil
	accepted    bool
	answered    bool
	ended       bool
}

// isCurrent reports whether the node that received the request is up and has not restarted since.
func (r *request) isCurrent() bool { return r.node.alive && r.incarnation == r.node.incarnation }

// arrivalDelay draws a random delay until the next new client arrives.
func (sim *simulation) arrivalDelay() time.Duration {
	return time.Duration(sim.random.ExpFloat64() / sim.scenario.Clients.ArrivalsPerSecond * float64(time.Second))
}

// generateArrivals adds a client and schedules the next arrival, until the scenario ends.
func (sim *simulation) generateArrivals() {
	if sim.ended() {
		return
	}
	sim.addClient()
	sim.schedule(sim.arrivalDelay(), sim.generateArrivals)
}

// addClient creates a client and connects it immediately.
func (sim *simulation) addClient() {
	settings := sim.scenario.Clients
	c := &client{
		key:         fmt.Sprintf("k%d", sim.random.Uint64()),
		load:        min(sim.random.ExpFloat64()*(1-minClientLoad)+minClientLoad, maxClientLoad),
		wantedUntil: sim.now + time.Duration(sim.random.ExpFloat64()*float64(settings.MeanDuration)),
	}
	if settings.Groups > 0 { // the product of two uniform draws makes the first groups the largest
		group := int(sim.random.Float64() * sim.random.Float64() * float64(settings.Groups))
		c.group = fmt.Sprintf("g%d", group)
	}
	sim.clients = append(sim.clients, c)
	sim.connect(c, false)
}

// scheduleReconnect connects a client again after a random delay, unless it no longer wants a connection by then.
func (sim *simulation) scheduleReconnect(c *client) {
	c.connection = nil
	bounds := sim.scenario.Clients.ReconnectDelay
	sim.schedule(sim.uniform(time.Duration(bounds[0]), time.Duration(bounds[1])), func() {
		if sim.now < c.wantedUntil && !sim.ended() {
			sim.connect(c, true)
		}
	})
}

// connect sends a client's request to a random node.
func (sim *simulation) connect(c *client, isReconnect bool) {
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	if !n.alive || n.leaving {
		sim.count(counterNodeDown)
		sim.scheduleReconnect(c)
		return
	}
	timeout := time.Duration(sim.scenario.Clients.Deadline)
	n.lastRequestID++
	r := &request{id: n.lastRequestID, node: n, incarnation: n.incarnation, client: c, deadline: sim.now + timeout}
	n.requests[r.id] = r
	sim.count(counterRequests)
	sim.schedule(timeout, func() { sim.checkAnswered(r) })
	n.handle(balance.Request{ID: r.id, Class: className, ClientKey: c.key, Group: c.group,
		Timeout: timeout, Reconnect: isReconnect})
}

// checkAnswered records a violation if a request is unanswered at its deadline.
func (sim *simulation) checkAnswered(r *request) {
	if !r.answered && r.isCurrent() {
		sim.recordViolation(&sim.result.Violations.Unanswered, "node %d request %d: no answer before the deadline",
			r.node.index, r.id)
		r.answered = true
		sim.scheduleReconnect(r.client)
	}
}
