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

// stepTimeout limits each step of a measurement.
const stepTimeout = 60 * time.Second

// nodeConfig returns the configuration of a node in a fleet of the given size, or of a single node without peers if
// nodes is 0. discovery is the address of the list service, and servers is the initial endpoint list.
func nodeConfig(nodes, index int, discovery string, servers []emulator.Endpoint) map[string]any {
	config := map[string]any{"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"sockets": 19000},
		"known":  map[string]any{"version": 1, "full": true, "servers": servers},
		"settings": map[string]any{"balancers": max(nodes, 1), "index": index, "tick_us": 5000,
			"membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 2000000, "max_retry_after_us": 1000000,
				"retry_after": true, "send_cap": 3, "peers": true},
			"classes": []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 20000000}},
			"family_info": map[string]any{"message_aim_us": []float64{300000},
				"tenant_quota_connections": []float64{100000}},
			"report": map[string]any{"via": "none"},
			"rules": map[string]any{"cold_from": 0.3, "cold_us": 8000000,
				"fall_multiple": 3, "fall_us": 2000000}}}
	if nodes > 0 {
		var addrs []string
		for i := range nodes {
			addrs = append(addrs, fmt.Sprintf("10.%d.%d.%d:7946", i/62500+1, i/250%250, i%250+1))
		}
		config["peers"] = map[string]any{"listen": "127.0.0.1:0", "nodes": addrs}
		config["budgets"] = map[string]any{"lease": true, "list_calls_per_s": 100}
	}
	return config
}

// nodeProcess is a node that runs in a separate process.
type nodeProcess struct {
	cmd         *exec.Cmd
	addr        string
	configBytes int           // size of its configuration
	startup     time.Duration // time from the start of the process until it accepts clients
}

// startNode starts a node process and waits until it accepts clients.
func (b *bench) startNode(ctx context.Context, config map[string]any) (*nodeProcess, error) {
	binary, err := b.options.Binary, error(nil)
	if binary == "" {
		if binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir) // the node has read its configuration before it serves
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	p := &nodeProcess{cmd: exec.CommandContext(ctx, binary), configBytes: len(data)}
	p.cmd.Env = []string{"LB_CONFIG=" + path, "LB_LOG=info", "PATH=" + os.Getenv("PATH")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	serving, lastLine := make(chan string, 1), ""
	go func() {
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct{ Msg, Listen string }
			lastLine = lines.Text()
			if json.Unmarshal(lines.Bytes(), &line); line.Msg == "serving" {
				p.startup = time.Since(started)
				serving <- line.Listen
			}
		}
		io.Copy(io.Discard, stderr)
		close(serving)
	}()
	select {
	case addr, ok := <-serving:
		if !ok {
			p.cmd.Wait()
			return nil, fmt.Errorf("node did not start: %s", lastLine)
		}
		p.addr = addr
		return p, nil
	case <-time.After(stepTimeout):
		p.stop()
		return nil, errors.New("node did not start before the step timeout")
	}
}

// stop kills the process and waits for its end.
func (p *nodeProcess) stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// measureStartup measures the start of a node by the number of nodes that its configuration lists.
func measureStartup(ctx context.Context, b *bench) error {
	configBytes := b.measurement("start.bytes", "bytes of a configuration that names all nodes", "bytes", "nodes")
	checkTime := b.measurement("start.check", "processor time to read and check it", "us", "nodes")
	startupCPU := b.measurement("start.cpu", "processor time of a process until it takes clients", "us", "nodes")
	startupTime := b.measurement("start.time", "time until then", "ms", "nodes")
	memory := b.measurement("start.memory", "memory of the process then (resident)", "bytes", "nodes")
	return b.forEachSize(ctx, NodeCounts, func(size, _ int) error {
		config := nodeConfig(size, size-1, "127.0.0.1:1", nil)
		p, err := b.startNode(ctx, config)
		if err != nil {
			return err
		}
		startupCPU.add(size, float64(cpuTimeOf(p.cmd.Process.Pid))/1e3)
		memory.add(size, residentMemory(p.cmd.Process.Pid))
		p.stop()
		startupTime.add(size, float64(p.startup)/1e6)
		configBytes.add(size, float64(p.configBytes))
		file, err := os.CreateTemp("", "capacity")
		if err != nil {
			return err
		}
		defer os.Remove(file.Name())
		defer file.Close()
		if err := json.NewEncoder(file).Encode(config); err != nil {
			return err
		}
		checkTime.add(size, cpuMicros(5, func() {
			for range 5 {
				loaded, loadErr := node.Load(func(key string) string {
					return map[string]string{"LB_CONFIG": file.Name()}[key]
				})
				if loadErr == nil {
					loadErr = errors.Join(loaded.Validate()...)
				}
				err = cmp.Or(err, loadErr)
			}
		}))
		return err
	})
}

// measureConnections measures a node process with clients: the memory and descriptors of open connections, and the CPU
// time of connection setup and of messages.
func measureConnections(ctx context.Context, b *bench) error {
	memory := b.measurement("node.memory",
		"memory of a node's process by its standing connections (resident)", "bytes", "connections")
	descriptors := b.measurement("node.descriptors", "its descriptors", "", "connections")
	setup := b.measurement("node.setup",
		"processor time of a set-up at the node, all of them together", "us", "connections")
	message := b.measurement("node.messages",
		"processor time of one message there and back on each connection, all together", "us", "connections")
	idle := b.measurement("node.idle",
		"processor time a second of connections that say nothing", "us", "connections")
	return b.forEachSize(ctx, ConnectionCounts, func(size, repetition int) error {
		return b.measureWithClients(ctx, size, repetition, func(costs connectionCosts) {
			memory.add(size, costs.memory)
			descriptors.add(size, costs.descriptors)
			setup.add(size, costs.setup)
			message.add(size, costs.message)
			idle.add(size, costs.idle)
		})
	})
}

// connectionCosts holds the costs of all connections of a node, in microseconds, bytes and descriptors.
type connectionCosts struct{ setup, message, idle, memory, descriptors float64 }

// startEchoServer starts a server that accepts all connections and echoes their data. It calls onAccept with the remote
// address of each connection, unless onAccept is nil.
func startEchoServer(onAccept func(net.Addr)) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		line, err := readLine(conn)
		fields := strings.Fields(line)
		if err != nil || len(fields) < 2 || fields[0] != "OPEN" {
			return
		}
		if _, err := fmt.Fprintf(conn, "UP %s\r\n", fields[1]); err == nil {
			io.CopyBuffer(struct{ io.Writer }{conn}, struct{ io.Reader }{conn}, make([]byte, 256))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if onAccept != nil {
				onAccept(conn.RemoteAddr())
			}
			go serve(conn)
		}
	}()
	return listener, nil
}

// startNodeWithServers starts a node with eight servers. The returned stop stops all of them.
func (b *bench) startNodeWithServers(ctx context.Context, source string, onAccept func(net.Addr)) (
	p *nodeProcess, stop func(), err error) {
	var endpoints []emulator.Endpoint
	var listeners []net.Listener
	closeListeners := func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	for i := range 8 {
		listener, err := startEchoServer(onAccept)
		if err != nil {
			closeListeners()
			return nil, nil, err
		}
		listeners = append(listeners, listener)
		endpoints = append(endpoints,
			emulator.Endpoint{ID: fmt.Sprintf("s-%d", i), Addr: listener.Addr().String(), State: "up", Weight: 1})
	}
	// There is no list service at this address: the node keeps its initial list.
	config := nodeConfig(0, 0, "127.0.0.1:1", endpoints)
	if source != "" {
		config["source"] = source
	}
	if p, err = b.startNode(ctx, config); err != nil {
		closeListeners()
		return nil, nil, err
	}
	return p, func() { p.stop(); closeListeners() }, nil
}

// measurePorts counts the local ports used by the connections of a node process to its servers, with and without the
// configuration key "source".
func measurePorts(ctx context.Context, b *bench) error {
	withSource := b.measurement("ports.source",
		"local ports that connections to 8 servers take, where the key `source` is set", "", "connections")
	withoutSource := b.measurement("ports.plain", "the same where it is not", "", "connections")
	return b.forEachSize(ctx, ConnectionCounts, func(size, repetition int) error {
		// The source address differs each time, since a port stays in use for a while after its connection.
		for _, c := range []struct {
			m      *Measurement
			source string
		}{{withSource, fmt.Sprintf("127.%d.%d.%d", repetition+1, size/250, size%250+1)}, {withoutSource, ""}} {
			var mu sync.Mutex
			ports, accepted, otherSource := map[int]bool{}, 0, ""
			p, stop, err := b.startNodeWithServers(ctx, c.source, func(addr net.Addr) {
				mu.Lock()
				defer mu.Unlock()
				accepted++
				if tcpAddr, ok := addr.(*net.TCPAddr); ok {
					if ports[tcpAddr.Port] = true; c.source != "" && tcpAddr.IP.String() != c.source {
						otherSource = tcpAddr.IP.String()
					}
				}
			})
			if err != nil {
				return err
			}
			conns, err := b.connect(p, size, repetition)
			for _, c := range conns {
				defer c.Close()
			}
			mu.Lock()
			if err == nil && accepted != size {
				err = fmt.Errorf("%d connections accepted for %d clients", accepted, size)
			}
			if err == nil && otherSource != "" {
				err = fmt.Errorf("a connection has source address %s instead of %s", otherSource, c.source)
			}
			c.m.add(size, float64(len(ports)))
			mu.Unlock()
			stop()
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// measureWithClients measures the costs of a number of connections of one node process.
func (b *bench) measureWithClients(ctx context.Context, size, repetition int, record func(connectionCosts)) error {
	p, stop, err := b.startNodeWithServers(ctx, "", nil)
	if err != nil {
		return err
	}
	defer stop()
	pid := p.cmd.Process.Pid
	// Opens one connection first, so that one-time costs of the first connection are not counted.
	if err := b.warmUp(p); err != nil {
		return err
	}
	descriptorsBefore, cpuBefore := openDescriptors(pid), cpuTimeOf(pid)
	conns, err := b.connect(p, size, repetition)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	if err != nil {
		return err
	}
	costs := connectionCosts{setup: float64(cpuTimeOf(pid)-cpuBefore) / 1e3,
		descriptors: float64(openDescriptors(pid) - descriptorsBefore)}
	cpuBefore = cpuTimeOf(pid)
	if err := exchangeMessages(conns); err != nil {
		return err
	}
	costs.message = float64(cpuTimeOf(pid)-cpuBefore) / 1e3
	cpuBefore = cpuTimeOf(pid)
	time.Sleep(time.Second) // the idle cost is that of one second
	costs.idle, costs.memory = float64(cpuTimeOf(pid)-cpuBefore)/1e3, residentMemory(pid)
	record(costs)
	return nil
}

// warmUp opens one connection and closes it.
func (b *bench) warmUp(p *nodeProcess) error {
	conns, err := b.connect(p, 1, -1)
	for _, c := range conns {
		c.Close()
	}
	return err
}

// connect opens the connections of clients, 64 at a time.
func (b *bench) connect(p *nodeProcess, size, repetition int) (conns []net.Conn, err error) {
	type result struct {
		conn net.Conn
		err  error
	}
	results, slots := make(chan result, size), make(chan bool, 64)
	for i := range size {
		slots <- true
		go func() {
			defer func() { <-slots }()
			conn, err := net.DialTimeout("tcp", p.addr, stepTimeout)
			if err != nil {
				results <- result{nil, err}
				return
			}
			conn.SetDeadline(time.Now().Add(stepTimeout))
			fmt.Fprintf(conn, "OPEN r%d-%d k%d-%d-%d c=c,d=20000\r\n", repetition, i, b.options.Seed, repetition, i)
			line, err := readLine(conn)
			if err == nil && !strings.HasPrefix(line, "UP ") {
				err = fmt.Errorf("a client received %q instead of UP", line)
			}
			results <- result{conn, err}
		}()
	}
	for range size {
		r := <-results
		if r.conn != nil {
			conns = append(conns, r.conn)
		}
		err = cmp.Or(err, r.err)
	}
	return conns, err
}

// readLine reads a line byte by byte, so that a connection needs no read buffer.
func readLine(conn net.Conn) (string, error) {
	var line []byte
	for char := make([]byte, 1); !slices.Contains(line, '\n'); line = append(line, char[0]) {
		if _, err := conn.Read(char); err != nil {
			return "", err
		}
	}
	return string(line), nil
}

// exchangeMessages sends a line on each connection and reads its echo, 64 connections at a time.
func exchangeMessages(conns []net.Conn) error {
	errs, slots := make(chan error, len(conns)), make(chan bool, 64)
	for _, conn := range conns {
		slots <- true
		go func() {
			defer func() { <-slots }()
			_, err := io.WriteString(conn, "MSG 0123456789012345678901234567890123456789\r\n")
			for err == nil {
				var line string
				if line, err = readLine(conn); strings.HasPrefix(line, "MSG ") {
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
