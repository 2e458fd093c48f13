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

// client wants one connection to stand for its life, and comes again when it is refused or cut off.
type client struct {
	run         *run
	key         string
	wantedUntil time.Time

	customer    string // "" where it is its own
	idempotency checker.Idempotency

	mu        sync.Mutex
	requestID string // of its last request
	connected bool
	finished  bool
}

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

// arrivals has clients come: the standing ones within two seconds, the others open loop, each at its own moment whatever
// became of those before.
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
		if finished || !r.sleep(max(retryAfter, r.randomDuration(r.scenario.Clients.ReconnectDelay[0], r.scenario.Clients.ReconnectDelay[1]))) {
			return
		}
	}
}

// front picks a node that takes clients, as the front does: by its weight.
func (r *run) pickNode() (*node, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := r.nodes[:r.scenario.Nodes] // nobody is sent to a control machine
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

// connect asks once. It gives how long the client was told to wait, and whether its life has ended.
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
	conn := emulator.Wrap(tcpConn.(*net.TCPConn), r.direction("clients", n.index, false), r.direction("clients", n.index, true))
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
		if errors.Is(err, net.ErrClosed) { // the day is over, and talk has closed it
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
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // nothing comes after the final answer
	if extra, _ := reader.ReadString('\n'); extra != "" {
		r.checker.AnswerReceived(id, time.Now())
	}
	return retryAfter, false
}

// talk sends a line every two seconds while the connection stands, and ends it with the day, whatever its link does.
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
				go io.WriteString(conn, "m\r\n") // a link that stalls holds it
			}
		}
	}
}

// relieved notes a client that a node moved for no other reason than the server's relief.
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

// stand holds a connection until the client's life ends or the other side ends it.
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
		case strings.HasPrefix(line, "UP "), strings.HasPrefix(line, "BUSY"):
			c.run.checker.AnswerReceived(id, time.Now())
		}
	}
}

// part is how many of count a part is, one at the least.
func countOf(count int, fraction float64) int {
	return max(int(math.Round(float64(count)*fraction)), 1)
}
