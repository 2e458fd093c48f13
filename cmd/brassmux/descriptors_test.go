package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that runs out of descriptors, when the process limit equals the configured limit. Idle clients
// fill the listener, requests take all their places, and discovery then lists a hundred times the known servers, each
// of which gets health checks over a persistent connection. The limit on these connections must not depend on the
// number of servers known at the start.
func TestDescriptorLimitHoldsWhenServerListGrows(t *testing.T) {
	const maxSockets, knownServers, listedServers, idleClients = 256, 4, 400, 200
	environment := newTestEnvironment(t, listedServers)
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"version":1,"full":true,"servers":[%s]},
		"settings":{"balancers":1,"ceilings":{"may_probe":true,"send_cap":3,"dial_timeout_us":5000000,
			"keepalive_us":60000000},"report":{"fields":["x0"],"via":"probe"},
			"classes":[{"name":"chat","effect":"read_like"}]}}`, environment.discoveryAddr, maxSockets,
		environment.serverEntries(knownServers))
	cmd, _ := newCommand(t, fmt.Sprintf("ulimit -n %d;", maxSockets), config)
	p := startProcess(t, cmd, 6*testTimeout)
	counters := watchLog(t, p)
	stop := make(chan struct{})
	defer close(stop)
	maxOpen := trackMaxDescriptors(p.Process.Pid, stop)

	clients := &clientOpener{t: t, addr: p.addr}
	connections := clients.openUntilRejected()
	for range idleClients {
		startIdleClient(t, p.addr)
	}
	environment.discoveryUp.Store(true)
	waitUntil(t, "a request for the server list", func() bool { return environment.watchRequests.Load() > 0 })
	var servedClients atomic.Int64
	for _, conn := range connections {
		go clients.reopenRepeatedly(conn, &servedClients, stop)
	}
	waitUntil(t, "health checks over further connections", func() bool {
		return environment.healthCheckConnections.Load() > maxSockets/2
	})
	waitUntil(t, "served clients", func() bool { return servedClients.Load() > int64(len(connections)) })
	p.Process.Signal(syscall.SIGUSR1)
	finalCounters := <-counters
	t.Logf("used at most %d of %d descriptors, %d clients, %d connections for health checks",
		maxOpen.Load(), maxSockets, len(connections), environment.healthCheckConnections.Load())
	if maxOpen.Load() >= maxSockets || finalCounters["accept_errors"] != 0.0 ||
		finalCounters["attempts_connect_failed"] != 0.0 {
		t.Errorf("used at most %d of %d descriptors, want fewer than all and no failed connections; counters: %v",
			maxOpen.Load(), maxSockets, finalCounters)
	}
}

// watchLog reads the log and returns a channel that receives its first line of counters. It fails the test if the node
// reports before that line that it cannot accept clients.
func watchLog(t *testing.T, p *process) (counters <-chan map[string]any) {
	firstCounters := make(chan map[string]any, 1)
	go func() {
		found := false
		for p.log.Scan() { // reads to the end, because a full pipe would block the log
			if found {
				continue
			}
			switch line := p.parseLogLine(); line["msg"] {
			case "counters":
				found = true
				firstCounters <- line
			case "clients cannot be accepted":
				t.Error(line)
			}
		}
	}()
	return firstCounters
}

// trackMaxDescriptors records the highest number of open descriptors of a process until stop is closed.
func trackMaxDescriptors(pid int, stop <-chan struct{}) *atomic.Int64 {
	maxOpen := &atomic.Int64{}
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				maxOpen.Store(max(maxOpen.Load(), int64(len(descriptors))))
			}
		}
	}()
	return maxOpen
}

// clientOpener opens client connections.
type clientOpener struct {
	t      *testing.T
	addr   string
	lastID atomic.Int64
}

const acceptedAnswer = "UP r\r\n"

// open sends a request and returns its connection and the answer. If it cannot connect, the connection is nil and the
// answer is the error text.
func (c *clientOpener) open() (conn net.Conn, answer string) {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return nil, err.Error()
	}
	conn.SetDeadline(time.Now().Add(3 * testTimeout))
	c.t.Cleanup(func() { conn.Close() })
	id := c.lastID.Add(1)
	fmt.Fprintf(conn, "OPEN id-%d k-%d c=chat,d=10000\r\n", id, id)
	answer, _ = bufio.NewReader(conn).ReadString('\n')
	return conn, answer
}

// openUntilRejected opens connections until the node rejects one, and returns the accepted ones.
func (c *clientOpener) openUntilRejected() (connections []net.Conn) {
	c.t.Helper()
	for {
		switch conn, answer := c.open(); {
		case answer == acceptedAnswer:
			connections = append(connections, conn)
		case strings.HasPrefix(answer, "BUSY"):
			return connections
		default:
			c.t.Fatalf("got answer %q, want UP or BUSY", answer)
		}
	}
}

// reopenRepeatedly closes the connection and opens another until stop is closed. The node may close or reject some of
// them at its limits, so only accepted requests are counted.
func (c *clientOpener) reopenRepeatedly(conn net.Conn, servedClients *atomic.Int64, stop <-chan struct{}) {
	for answer := ""; ; conn, answer = c.open() {
		if answer == acceptedAnswer {
			servedClients.Add(1)
		}
		select {
		case <-stop:
			return
		default:
		}
		if conn != nil {
			conn.Close()
		}
	}
}
