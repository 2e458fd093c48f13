package rig

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"brassmux/lab/checker"
	"brassmux/lab/emulator"
)

// client wants to be connected until wantedUntil. It reconnects after a rejection or a lost connection.
type client struct {
	run         *run
	key         string
	wantedUntil time.Time

	customer    string // "" if the client is its own customer
	idempotency checker.Idempotency

	mu        sync.Mutex
	requestID string // of the last request
	connected bool
	finished  bool
}

// state reports whether the client is connected, and whether it wants to be.
func (c *client) state() (connected, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected, !c.finished
}

func (c *client) lastRequest() string { c.mu.Lock(); defer c.mu.Unlock(); return c.requestID }
func (c *client) isFinished() bool    { c.mu.Lock(); defer c.mu.Unlock(); return c.finished }

func (c *client) setConnected(connected bool) {
	c.mu.Lock()
	c.connected = connected
	c.mu.Unlock()
}

// startClients starts the initial clients within two seconds, and new clients until the run ends. The load is open
// loop: arrivals do not depend on the progress of earlier clients.
func (r *run) startClients() {
	for i := range r.scenario.Clients.Initial {
		r.tasks.Go(func() {
			if r.sleep(r.randomDuration(0, Duration(2*time.Second))) {
				r.runClient(fmt.Sprintf("k%d-%d", r.options.Seed, i))
			}
		})
	}
	if r.scenario.Clients.PerSecond <= 0 {
		return
	}
	next := r.startedAt
	for i := 0; ; i++ {
		r.mu.Lock()
		next = next.Add(time.Duration(r.rng.ExpFloat64() / r.scenario.Clients.PerSecond * float64(time.Second)))
		r.mu.Unlock()
		if !r.sleep(time.Until(next)) {
			return
		}
		r.tasks.Go(func() { r.runClient(fmt.Sprintf("m%d-%d", r.options.Seed, i)) })
	}
}

// runClient plays a client until its wanted time or the run ends.
func (r *run) runClient(key string) {
	r.mu.Lock()
	duration := time.Duration(r.rng.ExpFloat64() * float64(r.scenario.Clients.MeanDuration))
	c := &client{run: r, key: key, wantedUntil: time.Now().Add(duration)}
	r.mu.Unlock()
	c.idempotency = r.drawIdempotency()
	r.mu.Lock()
	if customers := r.scenario.Clients.Customers; customers > 0 {
		c.customer = fmt.Sprintf("g%d", r.rng.IntN(customers))
	}
	r.clients = append(r.clients, c)
	r.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.finished, c.connected = true, false
		c.mu.Unlock()
	}()
	for reconnects := 0; time.Now().Before(c.wantedUntil); reconnects++ {
		retryAfter, finished := c.connect(reconnects)
		c.setConnected(false)
		if finished || !r.sleep(max(retryAfter,
			r.randomDuration(r.scenario.Clients.ReconnectDelay[0], r.scenario.Clients.ReconnectDelay[1]))) {
			return
		}
	}
}

// pickNode returns a random node that accepts clients, by weight as a front-end load balancer does, and its address.
// The node is nil if there is none.
func (r *run) pickNode() (*node, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := r.nodes[:r.scenario.Nodes] // control machines accept no clients
	busyNodes := max(len(nodes)/10, 1)
	weight := func(i int) float64 {
		if i < busyNodes && r.scenario.Clients.BusyNodeWeight > 1 {
			return r.scenario.Clients.BusyNodeWeight
		}
		return 1
	}
	totalWeight := 0.0
	for i, n := range nodes {
		if n.current != nil {
			if _, up := n.current.Address(); up {
				totalWeight += weight(i)
			}
		}
	}
	remaining := r.rng.Float64() * totalWeight
	for i, n := range nodes {
		if n.current == nil {
			continue
		}
		if addr, up := n.current.Address(); up {
			if remaining -= weight(i); remaining < 0 {
				if n.duplicate != nil && r.rng.IntN(2) == 0 {
					if duplicateAddr, up := n.duplicate.Address(); up {
						addr = duplicateAddr
					}
				}
				return n, addr
			}
		}
	}
	return nil, ""
}

// connect sends one request and holds the connection if it is accepted. It returns the delay that the node requested,
// and whether the client's wanted time is over.
func (c *client) connect(reconnects int) (retryAfter time.Duration, finished bool) {
	r := c.run
	n, addr := r.pickNode()
	if n == nil {
		r.count("no node")
		return 0, false
	}
	tcpConn, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", addr)
	if err != nil {
		r.count("node not there")
		return 0, false
	}
	conn := emulator.Wrap(tcpConn.(*net.TCPConn), r.direction("clients", n.index, false),
		r.direction("clients", n.index, true))
	defer conn.Close()
	stop := make(chan struct{})
	defer close(stop)
	go c.sendTraffic(conn, stop)
	id := fmt.Sprintf("%s-%d", c.key, reconnects)
	c.mu.Lock()
	c.requestID = id
	c.mu.Unlock()
	deadline := time.Duration(r.scenario.Clients.Deadline)
	request := fmt.Sprintf("OPEN %s %s c=%s,d=%d", id, c.key, className(c.idempotency), deadline.Milliseconds())
	if c.customer != "" {
		request += ",g=" + c.customer
	}
	if reconnects > 0 {
		request += ",again=1"
	}
	sentAt := time.Now()
	if _, err := io.WriteString(conn, request+"\r\n"); err != nil {
		r.count("node not there")
		return 0, false
	}
	r.count("requests")
	r.checker.RequestSent(id, n.index, cmp.Or(c.customer, c.key), c.idempotency, sentAt, sentAt.Add(deadline))
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(sentAt.Add(deadline + time.Second))
	answer, err := reader.ReadString('\n')
	receivedAt := time.Now()
	if err != nil {
		if errors.Is(err, net.ErrClosed) { // sendTraffic closed it at the end of the run
			r.checker.ClientLeft(id, receivedAt)
		} else if !strings.Contains(err.Error(), "timeout") {
			r.checker.ConnectionClosed(id, receivedAt)
			r.count("closed without an answer")
		}
		return 0, false
	}
	r.checker.AnswerReceived(id, receivedAt)
	status, argument, _ := strings.Cut(strings.TrimSpace(answer), " ")
	switch status {
	case "UP":
		r.count("up")
		c.setConnected(true)
		return 0, c.holdConnection(n, conn, reader, id)
	case "BUSY":
		r.count("refused")
		ms, _ := strconv.Atoi(argument)
		retryAfter = time.Duration(ms) * time.Millisecond
	default:
		r.count("failed")
	}
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // nothing may follow the final answer
	if extra, _ := reader.ReadString('\n'); extra != "" {
		r.checker.AnswerReceived(id, time.Now())
	}
	return retryAfter, false
}

// sendTraffic sends a line every two seconds while the client is connected. It closes the connection when the run ends,
// also if its link is impaired.
func (c *client) sendTraffic(conn net.Conn, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-c.run.ended:
			conn.Close()
			return
		case <-time.After(2 * time.Second):
			if connected, _ := c.state(); connected {
				go io.WriteString(conn, "m\r\n") // in a goroutine, as a stalled link blocks it
			}
		}
	}
}

// recordRebalance counts a client that a node moved to rebalance its server. Moves from a node with an injected fault
// or off a server that is leaving have other reasons and are not counted.
func (r *run) recordRebalance(n *node, id string) {
	r.mu.Lock()
	undisturbed, server := n.disturbedSince.IsZero(), r.checker.LastServer(id)
	for _, s := range r.servers {
		undisturbed = undisturbed && (s.ID != server || !s.Leaving())
	}
	r.mu.Unlock()
	if undisturbed {
		r.count("moved for relief")
		now := time.Now()
		r.checker.RateLimitedEvent("moves_per_s", server, now, now)
	}
}

// holdConnection holds a connection until the client's wanted time is over or the node ends it. It reports whether the
// wanted time is over.
func (c *client) holdConnection(n *node, conn net.Conn, reader *bufio.Reader, id string) (finished bool) {
	conn.SetReadDeadline(c.wantedUntil)
	for {
		line, err := reader.ReadString('\n')
		switch {
		case err != nil && !time.Now().Before(c.wantedUntil):
			return true
		case err != nil:
			select {
			case <-c.run.ended:
			default:
				c.run.count("cut off")
			}
			return false
		case strings.HasPrefix(line, "MOVE"):
			c.run.count("moved")
			c.run.recordRebalance(n, id)
			return false
		case strings.HasPrefix(line, "UP "), strings.HasPrefix(line, "BUSY"): // a second final answer, a violation
			c.run.checker.AnswerReceived(id, time.Now())
		}
	}
}

// countOf returns a fraction of count, rounded, and at least 1.
func countOf(count int, fraction float64) int {
	return max(int(math.Round(float64(count)*fraction)), 1)
}
