package capacity

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"brassmux/lab/emulator"
	"brassmux/node"
)

// patience is how long anything may take before a measurement is given up.
const patience = 60 * time.Second

// config is a node's, with so many peers; the lists' service and the servers are named by address.
func config(nodes, index int, discovery string, servers []emulator.Endpoint) map[string]any {
	c := map[string]any{"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"sockets": 19000},
		"known":  map[string]any{"version": 1, "full": true, "servers": servers},
		"settings": map[string]any{"balancers": max(nodes, 1), "index": index, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings":    map[string]any{"dial_timeout_us": 2000000, "max_retry_after_us": 1000000, "retry_after": true, "send_cap": 3, "peers": true},
			"classes":     []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 20000000}},
			"family_info": map[string]any{"message_aim_us": []float64{300000}, "tenant_quota_connections": []float64{100000}},
			"report":      map[string]any{"via": "none"},
			"rules":       map[string]any{"cold_from": 0.3, "cold_us": 8000000, "fall_multiple": 3, "fall_us": 2000000}}}
	if nodes > 0 {
		var all []string
		for i := range nodes {
			all = append(all, fmt.Sprintf("10.%d.%d.%d:7946", i/62500+1, i/250%250, i%250+1))
		}
		c["peers"] = map[string]any{"listen": "127.0.0.1:0", "nodes": all}
		c["budgets"] = map[string]any{"lease": true, "list_calls_per_s": 100}
	}
	return c
}

// child is a node in a process of its own.
type child struct {
	cmd   *exec.Cmd
	addr  string
	bytes int           // of its configuration
	up    time.Duration // from the start of its process until it takes clients
}

func (b *bench) child(ctx context.Context, config map[string]any) (*child, error) {
	binary, err := b.o.Binary, error(nil)
	if binary == "" {
		if binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir) // it is read before the node serves
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	p := &child{cmd: exec.CommandContext(ctx, binary), bytes: len(data)}
	p.cmd.Env = []string{"LB_CONFIG=" + path, "LB_LOG=info", "PATH=" + os.Getenv("PATH")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	serves, last := make(chan string, 1), ""
	go func() {
		in := bufio.NewScanner(out)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			var line struct{ Msg, Listen string }
			last = in.Text()
			if json.Unmarshal(in.Bytes(), &line); line.Msg == "serving" {
				p.up = time.Since(begun)
				serves <- line.Listen
			}
		}
		io.Copy(io.Discard, out)
		close(serves)
	}()
	select {
	case addr, ok := <-serves:
		if !ok {
			p.cmd.Wait()
			return nil, fmt.Errorf("the node did not start: %s", last)
		}
		p.addr = addr
		return p, nil
	case <-time.After(patience):
		p.stop()
		return nil, errors.New("the node did not start in time")
	}
}

func (p *child) stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// start measures a node's start by the peers that its configuration names.
func start(ctx context.Context, b *bench) error {
	size := b.slope("start.bytes", "bytes of a configuration that names all nodes", "bytes", "nodes")
	parse := b.slope("start.check", "processor time to read and check it", "us", "nodes")
	used := b.slope("start.cpu", "processor time of a process until it takes clients", "us", "nodes")
	after := b.slope("start.time", "time until then", "ms", "nodes")
	mem := b.slope("start.memory", "memory of the process then (resident)", "bytes", "nodes")
	return b.each(ctx, NodeCounts, func(n, _ int) error {
		cfg := config(n, n-1, "127.0.0.1:1", nil)
		p, err := b.child(ctx, cfg)
		if err != nil {
			return err
		}
		used.add(n, float64(cpuOf(p.cmd.Process.Pid))/1e3)
		mem.add(n, pages(p.cmd.Process.Pid))
		p.stop()
		after.add(n, float64(p.up)/1e6)
		size.add(n, float64(p.bytes))
		f, err := os.CreateTemp("", "capacity")
		if err != nil {
			return err
		}
		defer os.Remove(f.Name())
		defer f.Close()
		if err := json.NewEncoder(f).Encode(cfg); err != nil {
			return err
		}
		parse.add(n, timed(5, func() {
			for range 5 {
				c, bad := node.Load(func(key string) string { return map[string]string{"LB_CONFIG": f.Name()}[key] })
				if bad == nil {
					bad = errors.Join(c.Validate()...)
				}
				err = cmp.Or(err, bad)
			}
		}))
		return err
	})
}

// standing measures a real node with clients: what a standing connection holds, what a set-up and a message cost.
func standing(ctx context.Context, b *bench) error {
	mem := b.slope("node.memory", "memory of a node's process by its standing connections (resident)", "bytes", "connections")
	fds := b.slope("node.descriptors", "its descriptors", "", "connections")
	setup := b.slope("node.setup", "processor time of a set-up at the node, all of them together", "us", "connections")
	message := b.slope("node.messages", "processor time of one message there and back on each connection, all together", "us", "connections")
	idle := b.slope("node.idle", "processor time a second of connections that say nothing", "us", "connections")
	return b.each(ctx, ConnectionCounts, func(n, turn int) error {
		return b.stand(ctx, n, turn, func(used used) {
			mem.add(n, used.memory)
			fds.add(n, used.descriptors)
			setup.add(n, used.setup)
			message.add(n, used.message)
			idle.add(n, used.idle)
		})
	})
}

// used is what so many connections have cost a node, in microseconds, bytes and descriptors.
type used struct{ setup, message, idle, memory, descriptors float64 }

// echo is a server that takes all that come and sends back what they say; from is told where each comes from, unless it is nil.
func echo(from func(net.Addr)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	serve := func(c net.Conn) {
		defer c.Close()
		first, err := answer(c)
		words := strings.Fields(first)
		if err != nil || len(words) < 2 || words[0] != "OPEN" {
			return
		}
		if _, err := fmt.Fprintf(c, "UP %s\r\n", words[1]); err == nil {
			io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{c}, make([]byte, 256))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if from != nil {
				from(c.RemoteAddr())
			}
			go serve(c)
		}
	}()
	return l, nil
}

// among starts a node with clients' servers, eight of them; end ends all.
func (b *bench) among(ctx context.Context, source string, from func(net.Addr)) (p *child, end func(), err error) {
	var known []emulator.Endpoint
	var open []net.Listener
	shut := func() {
		for _, l := range open {
			l.Close()
		}
	}
	for i := range 8 {
		l, err := echo(from)
		if err != nil {
			shut()
			return nil, nil, err
		}
		open = append(open, l)
		known = append(known, emulator.Endpoint{ID: fmt.Sprintf("s-%d", i), Addr: l.Addr().String(), State: "up", Weight: 1})
	}
	cfg := config(0, 0, "127.0.0.1:1", known) // no list service is there: the node goes on with the list that it has
	if source != "" {
		cfg["source"] = source
	}
	if p, err = b.child(ctx, cfg); err != nil {
		shut()
		return nil, nil, err
	}
	return p, func() { p.stop(); shut() }, nil
}

// ports counts the local ports that a real node's connections to its servers take: with the key "source", and without.
func ports(ctx context.Context, b *bench) error {
	set := b.slope("ports.source", "local ports that connections to 8 servers take, where the key `source` is set", "", "connections")
	unset := b.slope("ports.plain", "the same where it is not", "", "connections")
	return b.each(ctx, ConnectionCounts, func(n, turn int) error {
		// Each time another address: a port is not free for a while after its connection.
		for _, c := range []struct {
			s      *Measurement
			source string
		}{{set, fmt.Sprintf("127.%d.%d.%d", turn+1, n/250, n%250+1)}, {unset, ""}} {
			var mu sync.Mutex
			taken, came, other := map[int]bool{}, 0, ""
			p, end, err := b.among(ctx, c.source, func(a net.Addr) {
				mu.Lock()
				defer mu.Unlock()
				came++
				if t, ok := a.(*net.TCPAddr); ok {
					if taken[t.Port] = true; c.source != "" && t.IP.String() != c.source {
						other = t.IP.String()
					}
				}
			})
			if err != nil {
				return err
			}
			conns, err := b.connect(p, n, turn)
			for _, c := range conns {
				defer c.Close()
			}
			mu.Lock()
			if err == nil && came != n {
				err = fmt.Errorf("%d connections of %d clients", came, n)
			}
			if err == nil && other != "" {
				err = fmt.Errorf("a connection came from %s, not from %s", other, c.source)
			}
			c.s.add(n, float64(len(taken)))
			mu.Unlock()
			end()
			if err != nil {
				return err
			}
		}
		return nil
	})
}

func (b *bench) stand(ctx context.Context, n, turn int, take func(used)) error {
	p, end, err := b.among(ctx, "", nil)
	if err != nil {
		return err
	}
	defer end()
	pid := p.cmd.Process.Pid
	// One connection first, so that what comes with the first is not counted.
	if err := b.warm(p); err != nil {
		return err
	}
	files, begun := descriptors(pid), cpuOf(pid)
	conns, err := b.connect(p, n, turn)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	if err != nil {
		return err
	}
	u := used{setup: float64(cpuOf(pid)-begun) / 1e3, descriptors: float64(descriptors(pid) - files)}
	begun = cpuOf(pid)
	if err := exchange(conns); err != nil {
		return err
	}
	u.message = float64(cpuOf(pid)-begun) / 1e3
	begun = cpuOf(pid)
	time.Sleep(time.Second) // what is measured is a second of it
	u.idle, u.memory = float64(cpuOf(pid)-begun)/1e3, pages(pid)
	take(u)
	return nil
}

func (b *bench) warm(p *child) error {
	conns, err := b.connect(p, 1, -1)
	for _, c := range conns {
		c.Close()
	}
	return err
}

// connect has clients come, 64 at once.
func (b *bench) connect(p *child, n, turn int) (conns []net.Conn, err error) {
	type result struct {
		c   net.Conn
		err error
	}
	results, places := make(chan result, n), make(chan bool, 64)
	for i := range n {
		places <- true
		go func() {
			defer func() { <-places }()
			c, err := net.DialTimeout("tcp", p.addr, patience)
			if err != nil {
				results <- result{nil, err}
				return
			}
			c.SetDeadline(time.Now().Add(patience))
			fmt.Fprintf(c, "OPEN r%d-%d k%d-%d-%d c=c,d=20000\r\n", turn, i, b.o.Seed, turn, i)
			line, err := answer(c)
			if err == nil && !strings.HasPrefix(line, "UP ") {
				err = fmt.Errorf("a client was told %q", line)
			}
			results <- result{c, err}
		}()
	}
	for range n {
		r := <-results
		if r.c != nil {
			conns = append(conns, r.c)
		}
		err = cmp.Or(err, r.err)
	}
	return conns, err
}

// answer reads a line byte by byte, so that a client holds no buffer.
func answer(c net.Conn) (string, error) {
	var line []byte
	for one := make([]byte, 1); !slices.Contains(line, '\n'); line = append(line, one[0]) {
		if _, err := c.Read(one); err != nil {
			return "", err
		}
	}
	return string(line), nil
}

// exchange has a line go there and back on each connection, 64 at once.
func exchange(conns []net.Conn) error {
	errs, places := make(chan error, len(conns)), make(chan bool, 64)
	for _, c := range conns {
		places <- true
		go func() {
			defer func() { <-places }()
			_, err := io.WriteString(c, "MSG 0123456789012345678901234567890123456789\r\n")
			for err == nil {
				var line string
				if line, err = answer(c); strings.HasPrefix(line, "MSG ") {
					break
				}
			}
			errs <- err
		}()
	}
	var err error
	for range conns {
		err = cmp.Or(err, <-errs)
	}
	return err
}
