package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// crowd is what is around a node that has few descriptors: servers, all at one address, a discovery that is down until it is
// told otherwise, and idle clients, who come again whenever they are sent away.
type crowd struct {
	servers, discovery string
	up                 atomic.Bool
	calls, probes      atomic.Int64 // calls for the list while discovery is up; connections that began with a probe
}

func newCrowd(t *testing.T, servers int) *crowd {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c := &crowd{servers: l.Addr().String()}
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go c.serve(conn)
		}
	}()
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.up.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		c.calls.Add(1)
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[%s]}`+"\n", c.list(servers))
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
				fmt.Fprintln(w)
			}
		}
	}))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	c.discovery = strings.TrimPrefix(d.URL, "http://")
	return c
}

func (c *crowd) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		answer := "UP r\r\n"
		if line == "STATS\r\n" {
			answer = "PONG x0=0.1\r\n"
			if first {
				c.probes.Add(1)
			}
		}
		io.WriteString(conn, answer)
	}
}

func (c *crowd) list(n int) string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"a","state":"up","weight":1,"started_ms":0}`, i+1, c.servers))
	}
	return strings.Join(all, ",")
}

// rest has an idle client at an address until the test ends.
func rest(t *testing.T, addr string) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			if conn, err := net.Dial("tcp", addr); err == nil {
				ended := make(chan struct{})
				go func() {
					io.Copy(io.Discard, conn)
					close(ended)
				}()
				select {
				case <-ended:
				case <-stop:
				}
				conn.Close()
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond): // no busy loop where it is refused
			}
		}
	}()
}

// The descriptors run short in no part of the node, and are really as few as it was told: idle clients keep its door full, requests
// take all their places, and discovery comes back with a hundred times the servers that were known, each of which is to be
// probed over a connection that is kept. Guards against probes without a bound, for which only the servers known at the start were
// reckoned with.
func TestDescriptorsAreSetApartWhateverListComes(t *testing.T) {
	const sockets, known, listed, idle = 256, 4, 400, 200
	c := newCrowd(t, listed)
	cmd, _ := program(t, fmt.Sprintf("ulimit -n %d;", sockets), fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"version":1,"full":true,"servers":[%s]},"settings":{"balancers":1,
		"ceilings":{"may_probe":true,"send_cap":3,"dial_timeout_us":5000000,"keepalive_us":60000000},"report":{"fields":["x0"],"via":"probe"},
		"classes":[{"name":"chat","effect":"read_like"}]}}`, c.discovery, sockets, c.list(known)))
	r := watch(t, cmd, 6*patience)
	lines, ended := make(chan map[string]any, 1), make(chan bool, 1)
	go func() {
		for r.log.Scan() {
			if len(ended) > 0 {
				continue // only lest the log fills the pipe
			} else if line := r.parse(); line["msg"] == "counters" {
				ended <- true
				lines <- line
			} else if line["msg"] == "clients cannot be accepted" {
				t.Error(line)
			}
		}
	}()
	var most atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Process.Pid)); err == nil {
				most.Store(max(most.Load(), int64(len(open))))
			}
		}
	}()

	var ids atomic.Int64
	open := func() (conn net.Conn, answer string) {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			return nil, err.Error()
		}
		conn.SetDeadline(time.Now().Add(3 * patience))
		t.Cleanup(func() { conn.Close() })
		id := ids.Add(1)
		fmt.Fprintf(conn, "OPEN id-%d k-%d c=chat,d=10000\r\n", id, id)
		answer, _ = bufio.NewReader(conn).ReadString('\n')
		return conn, answer
	}
	var standing []net.Conn
	for full := false; !full; {
		switch conn, answer := open(); {
		case answer == "UP r\r\n":
			standing = append(standing, conn)
		case strings.HasPrefix(answer, "BUSY"):
			full = true
		default:
			t.Fatalf("got %q", answer)
		}
	}
	for range idle {
		rest(t, r.addr)
	}
	c.up.Store(true)
	until(t, "a call for the list", func() bool { return c.calls.Load() > 0 })
	var served atomic.Int64
	for _, conn := range standing {
		go func() { // it goes, and others come in its place, as ever one may be hurried away at the full door, or be too many
			for answer := ""; ; conn, answer = open() {
				if answer == "UP r\r\n" {
					served.Add(1)
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
		}()
	}
	until(t, "probes over further connections", func() bool { return c.probes.Load() > sockets/2 })
	until(t, "clients that are served", func() bool { return served.Load() > int64(len(standing)) })
	r.Process.Signal(syscall.SIGUSR1)
	count := <-lines
	t.Logf("%d of %d descriptors at the most, %d clients, %d connections for probes", most.Load(), sockets, len(standing), c.probes.Load())
	if most.Load() >= sockets || count["accept_errors"] != 0.0 || count["attempts_connect_failed"] != 0.0 {
		t.Errorf("%d of %d descriptors at the most; %v", most.Load(), sockets, count)
	}
}
