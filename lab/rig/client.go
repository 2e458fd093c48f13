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
	r     *rig
	key   string
	until time.Time

	customer string // "" where it is its own
	effect   checker.Idempotency

	mu     sync.Mutex
	id     string // of its last request
	stands bool
	over   bool
}

func (c *client) state() (stands, wants bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stands, !c.over
}

func (c *client) request() string { c.mu.Lock(); defer c.mu.Unlock(); return c.id }
func (c *client) done() bool      { c.mu.Lock(); defer c.mu.Unlock(); return c.over }

func (c *client) set(stands bool) {
	c.mu.Lock()
	c.stands = stands
	c.mu.Unlock()
}

// arrivals has clients come: the standing ones within two seconds, the others open loop, each at its own moment whatever
// became of those before.
func (r *rig) arrivals() {
	for i := range r.s.Clients.Initial {
		r.work.Go(func() {
			if r.sleep(r.between(0, Duration(2*time.Second))) {
				r.arrive(fmt.Sprintf("k%d-%d", r.o.Seed, i))
			}
		})
	}
	if r.s.Clients.PerSecond <= 0 {
		return
	}
	at := r.begun
	for i := 0; ; i++ {
		r.mu.Lock()
		at = at.Add(time.Duration(r.rng.ExpFloat64() / r.s.Clients.PerSecond * float64(time.Second)))
		r.mu.Unlock()
		if !r.sleep(time.Until(at)) {
			return
		}
		r.work.Go(func() { r.arrive(fmt.Sprintf("m%d-%d", r.o.Seed, i)) })
	}
}

func (r *rig) arrive(key string) {
	r.mu.Lock()
	life := time.Duration(r.rng.ExpFloat64() * float64(r.s.Clients.MeanDuration))
	c := &client{r: r, key: key, until: time.Now().Add(life)}
	r.mu.Unlock()
	c.effect = r.effect()
	r.mu.Lock()
	if n := r.s.Clients.Customers; n > 0 {
		c.customer = fmt.Sprintf("g%d", r.rng.IntN(n))
	}
	r.clients = append(r.clients, c)
	r.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.over, c.stands = true, false
		c.mu.Unlock()
	}()
	for again := 0; time.Now().Before(c.until); again++ {
		wait, end := c.connect(again)
		c.set(false)
		if end || !r.sleep(max(wait, r.between(r.s.Clients.ReconnectDelay[0], r.s.Clients.ReconnectDelay[1]))) {
			return
		}
	}
}

// front picks a node that takes clients, as the front does: by its weight.
func (r *rig) front() (*node, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := r.nodes[:r.s.Nodes] // nobody is sent to a control machine
	busy := max(len(nodes)/10, 1)
	weight := func(i int) float64 {
		if i < busy && r.s.Clients.BusyNodeWeight > 1 {
			return r.s.Clients.BusyNodeWeight
		}
		return 1
	}
	sum := 0.0
	for i, n := range nodes {
		if n.now != nil {
			if _, up := n.now.Address(); up {
				sum += weight(i)
			}
		}
	}
	at := r.rng.Float64() * sum
	for i, n := range nodes {
		if n.now == nil {
			continue
		}
		if addr, up := n.now.Address(); up {
			if at -= weight(i); at < 0 {
				if n.second != nil && r.rng.IntN(2) == 0 {
					if other, up := n.second.Address(); up {
						addr = other
					}
				}
				return n, addr
			}
		}
	}
	return nil, ""
}

// connect asks once. It gives how long the client was told to wait, and whether its life has ended.
func (c *client) connect(again int) (wait time.Duration, end bool) {
	r := c.r
	n, addr := r.front()
	if n == nil {
		r.count("no node")
		return 0, false
	}
	dialled, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", addr)
	if err != nil {
		r.count("node not there")
		return 0, false
	}
	conn := emulator.Wrap(dialled.(*net.TCPConn), r.way("clients", n.index, false), r.way("clients", n.index, true))
	defer conn.Close()
	stop := make(chan struct{})
	defer close(stop)
	go c.talk(conn, stop)
	id := fmt.Sprintf("%s-%d", c.key, again)
	c.mu.Lock()
	c.id = id
	c.mu.Unlock()
	deadline := time.Duration(r.s.Clients.Deadline)
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d", id, c.key, className(c.effect), deadline.Milliseconds())
	if c.customer != "" {
		line += ",g=" + c.customer
	}
	if again > 0 {
		line += ",again=1"
	}
	asked := time.Now()
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		r.count("node not there")
		return 0, false
	}
	r.count("requests")
	r.ref.RequestSent(id, n.index, cmp.Or(c.customer, c.key), c.effect, asked, asked.Add(deadline))
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(asked.Add(deadline + time.Second))
	answer, err := in.ReadString('\n')
	now := time.Now()
	if err != nil {
		if errors.Is(err, net.ErrClosed) { // the day is over, and talk has closed it
			r.ref.ClientLeft(id, now)
		} else if !strings.Contains(err.Error(), "timeout") {
			r.ref.ConnectionClosed(id, now)
			r.count("closed without an answer")
		}
		return 0, false
	}
	r.ref.AnswerReceived(id, now)
	word, rest, _ := strings.Cut(strings.TrimSpace(answer), " ")
	switch word {
	case "UP":
		r.count("up")
		c.set(true)
		return 0, c.stand(n, conn, in, id)
	case "BUSY":
		r.count("refused")
		ms, _ := strconv.Atoi(rest)
		wait = time.Duration(ms) * time.Millisecond
	default:
		r.count("failed")
	}
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // nothing comes after the final answer
	if more, _ := in.ReadString('\n'); more != "" {
		r.ref.AnswerReceived(id, time.Now())
	}
	return wait, false
}

// talk sends a line every two seconds while the connection stands, and ends it with the day, whatever its link does.
func (c *client) talk(conn net.Conn, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-c.r.over:
			conn.Close()
			return
		case <-time.After(2 * time.Second):
			if stands, _ := c.state(); stands {
				go io.WriteString(conn, "m\r\n") // a link that stalls holds it
			}
		}
	}
}

// relieved notes a client that a node moved for no other reason than the server's relief.
func (r *rig) relieved(n *node, id string) {
	r.mu.Lock()
	quiet, at := n.disturbed.IsZero(), r.ref.LastServer(id)
	for _, s := range r.servers {
		quiet = quiet && (s.ID != at || !s.Leaving())
	}
	r.mu.Unlock()
	if quiet {
		r.count("moved for relief")
		now := time.Now()
		r.ref.RateLimitedEvent("moves_per_s", at, now, now)
	}
}

// stand holds a connection until the client's life ends or the other side ends it.
func (c *client) stand(n *node, conn net.Conn, in *bufio.Reader, id string) (end bool) {
	conn.SetReadDeadline(c.until)
	for {
		line, err := in.ReadString('\n')
		switch {
		case err != nil && !time.Now().Before(c.until):
			return true
		case err != nil:
			select {
			case <-c.r.over:
			default:
				c.r.count("cut off")
			}
			return false
		case strings.HasPrefix(line, "MOVE"):
			c.r.count("moved")
			c.r.relieved(n, id)
			return false
		case strings.HasPrefix(line, "UP "), strings.HasPrefix(line, "BUSY"):
			c.r.ref.AnswerReceived(id, time.Now())
		}
	}
}

// part is how many of count a part is, one at the least.
func part(count int, p float64) int { return max(int(math.Round(float64(count)*p)), 1) }
