package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// echoServer accepts every client and echoes each line that follows the request.
type echoServer struct {
	addr     string
	requests atomic.Int64
}

func newEchoServer(t *testing.T) *echoServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := &echoServer{addr: listener.Addr().String()}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go server.serve(conn)
		}
	}()
	return server
}

func (e *echoServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for line, err := reader.ReadString('\n'); err == nil; line, err = reader.ReadString('\n') {
		if strings.HasPrefix(line, "OPEN ") {
			e.requests.Add(1)
			line = "UP r\r\n"
		}
		io.WriteString(conn, line)
	}
}

// platform simulates the operator's platform: it owns the listening socket for clients and a directory, and starts the
// program.
type platform struct {
	t          *testing.T
	listener   *net.TCPListener
	configPath string
	dir        string
}

func newPlatform(t *testing.T) *platform {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &platform{t: t, listener: listener.(*net.TCPListener), dir: t.TempDir()}
	p.configPath = filepath.Join(p.dir, "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"version":1,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"a","state":"up","weight":1},
			{"id":"s-2","addr":%q,"zone":"a","state":"up","weight":1}]},
		"settings":{"balancers":1,"ceilings":{"send_cap":2},
			"classes":[{"name":"chat","effect":"read_like","deadline_us":2000000}]}}`,
		listener.Addr(), newEchoServer(t).addr, newEchoServer(t).addr)
	if err := os.WriteFile(p.configPath, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// addr returns the address to which clients connect. It is the same for all processes of the node.
func (p *platform) addr() string { return p.listener.Addr().String() }

// nodeProcess is one process of the node. During an upgrade there are two.
type nodeProcess struct {
	*process
	adminAddr string
	exited    chan error
	mu        sync.Mutex
	logLines  []string // lines after the message "serving"
}

// start starts a process of the node, which takes over the connections of the running process, if any.
func (p *platform) start() *nodeProcess {
	p.t.Helper()
	listener, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	defer listener.Close()
	cmd := exec.Command("/bin/sh", "-c", `exec "$0"`, os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", "LB_CONFIG="+p.configPath, "LB_NAME=", "LB_LISTEN=",
		"LB_DISCOVERY=", "LB_ADMIN=127.0.0.1:0", "LB_LISTEN_FD=3", "TMPDIR="+p.dir)
	cmd.ExtraFiles = []*os.File{listener}
	log, err := cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	started := &nodeProcess{
		process: &process{Cmd: cmd, t: p.t, log: bufio.NewScanner(log)}, exited: make(chan error, 1),
	}
	started.killAfter(2 * testTimeout)
	started.adminAddr = started.awaitMessage("serving")["admin"].(string)
	go started.collectLog()
	return started
}

// collectLog reads the log until the process exits, because a full pipe would block the process.
func (n *nodeProcess) collectLog() {
	for n.log.Scan() {
		n.mu.Lock()
		n.logLines = append(n.logLines, n.log.Text())
		n.mu.Unlock()
	}
	n.exited <- n.Wait()
}

func (n *nodeProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.adminAddr + "/control/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process reports that it is ready.
func (n *nodeProcess) awaitReady(description string) {
	n.t.Helper()
	waitUntil(n.t, description, n.isReady)
}

// awaitExit waits until the process exits and returns its log line "stopped", which has the final counters.
func (n *nodeProcess) awaitExit() map[string]any {
	n.t.Helper()
	select {
	case err := <-n.exited:
		if err != nil {
			n.t.Error(err)
		}
	case <-time.After(testTimeout):
		n.t.Fatal("the process did not exit")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, text := range n.logLines {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["msg"] == "stopped" {
			return line
		}
	}
	n.t.Fatalf("the log has no line \"stopped\": %q", n.logLines)
	return nil
}

// printLog prints the log without the lines of ended connections.
func (n *nodeProcess) printLog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.logLines {
		if !strings.Contains(line, "connection ended") {
			n.t.Log(line)
		}
	}
}
