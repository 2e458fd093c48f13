package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// nodeProcess is one process that the line run of the deploy file starts.
type nodeProcess struct {
	cmd    *exec.Cmd
	name   string
	admin  string
	exited chan struct{}
	log    *os.File
}

// runLine returns the line run of deploy/balancer.toml.
func runLine(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run\s*=\s*"(.*)"`).FindSubmatch(data)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line run")
	}
	return string(match[1]), nil
}

// startNode starts a node from the root of the repository. listener is inherited as descriptor 3; nil for none.
func startNode(root, name, logPath string, environment []string, listener *net.TCPListener) (*nodeProcess, error) {
	run, err := runLine(root)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, environment...)
	if listener != nil {
		file, err := listener.File()
		if err != nil {
			return nil, err
		}
		defer file.Close()
		cmd.ExtraFiles = []*os.File{file}
		cmd.Env = append(cmd.Env, "LB_LISTEN_FD=3")
	}
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &nodeProcess{cmd: cmd, name: name, exited: make(chan struct{}), log: log}
	for _, v := range environment {
		if a, ok := strings.CutPrefix(v, "LB_ADMIN="); ok {
			n.admin = a
		}
	}
	go func() {
		cmd.Wait()
		log.Close()
		close(n.exited)
	}()
	return n, nil
}

func (n *nodeProcess) signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// awaitExit waits for the end of the process, which it kills after the limit.
func (n *nodeProcess) awaitExit(limit time.Duration) (inTime bool) {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		n.signal(syscall.SIGKILL)
		<-n.exited
		return false
	}
}

// awaitYes waits until the second address says that the process can serve.
func (n *nodeProcess) awaitYes(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + n.admin + "/control/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// awaitPong waits until the node answers PING with PONG.
func awaitPong(addr string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ping(addr) == "PONG" {
			return true
		}
	}
	return false
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
