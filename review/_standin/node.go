package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// node is one node, started by the run line of the deploy file.
type node struct {
	name, addr string
	root, dir  string // the repository, and a folder for the configuration and the log
	rec        *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// runLine returns the command that starts a node.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run\s*=\s*"(.*?)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("the deploy file has no run line")
	}
	return string(match[1]), nil
}

// freeAddr returns a loopback address with a port that is free, and that the system gives to no other connection
// meanwhile: it is below the usual range of those.
func freeAddr() (string, error) {
	var err error
	for range 50 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))); err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", err
}

// writeConfig writes the configuration file.
func (n *node) writeConfig(config map[string]any) error {
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, n.name+".json"), data, 0o600)
}

// start starts a process of the node.
func (n *node) start(discovery string) error {
	line, err := runLine(n.root)
	if err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(n.dir, n.name+".log")); err != nil {
			return err
		}
	}
	tmp := filepath.Join(n.dir, n.name+"-tmp")
	os.RemoveAll(tmp)
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.root, n.log, n.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "LB_NAME=" + n.name, "LB_LISTEN=" + n.addr,
		"LB_DISCOVERY=" + discovery, "LB_CONFIG=" + filepath.Join(n.dir, n.name+".json")}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.rec.add(time.Now(), "platform starts %s", n.name)
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.rec.add(time.Now(), "platform sends %s %v", n.name, s)
	n.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.exited
}

// hasExited reports whether the process has ended.
func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// waitReady asks PING until the node answers PONG, and returns when it did.
func (n *node) waitReady(timeout time.Duration) (time.Time, error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if n.hasExited() {
			log, _ := os.ReadFile(n.log.Name())
			return time.Time{}, fmt.Errorf("%s has ended: %s", n.name, log[max(len(log)-200, 0):])
		}
		conn, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(conn, "PING\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if line == "PONG\r\n" {
			now := time.Now()
			n.rec.add(now, "%s answers PONG", n.name)
			return now, nil
		}
	}
	return time.Time{}, fmt.Errorf("%s is not ready", n.name)
}
