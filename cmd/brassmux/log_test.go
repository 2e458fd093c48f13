package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startLogged starts the program with its log in a pipe that the test reads by itself.
func startLogged(t *testing.T) (r *running, log *os.File) {
	t.Helper()
	around := newCrowd(t, 1)
	cmd, path := program(t, "", fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"limits":{"sockets":1024},
		"known":{"version":1,"full":true,"servers":[%s]},"settings":{"classes":[{"name":"chat","effect":"read_like"}]}}`,
		around.discovery, around.list(1)))
	log, end, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	cmd.Stderr = end
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	end.Close()
	r = &running{Cmd: cmd, t: t, path: path, log: bufio.NewScanner(log)}
	stuck := time.AfterFunc(patience, func() { cmd.Process.Kill() })
	t.Cleanup(func() {
		stuck.Stop()
		cmd.Process.Kill()
		cmd.Wait()
	})
	r.addr = r.await("serving")["listen"].(string)
	return r, log
}

// served has a client ask once: its server's answer has to come in the client's time.
func served(addr string, n int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "OPEN id-%d key-%d c=chat,d=2000\r\n", n, n)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "UP ") {
		return fmt.Errorf("request %d: got %q, %v, want a connection", n, line, err)
	}
	return nil
}

// pipeHolds is more lines than a pipe takes that nobody reads.
const pipeHolds = 1000

// A log collector that hangs must not stop the node: the pipe to it is full after some hundred connections.
func TestALogThatNobodyReadsHoldsUpNoAnswer(t *testing.T) {
	r, log := startLogged(t)
	for n := range pipeHolds {
		if err := served(r.addr, n); err != nil {
			t.Fatal(err)
		}
	}
	r.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- r.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(patience / 2):
		t.Error("the program does not end while nobody reads its log")
	}
	log.Close()
}

// A log collector that has gone must not end the node, as a broken pipe ends programs that do not expect it.
func TestALogWhoseReaderHasGoneEndsNothing(t *testing.T) {
	r, log := startLogged(t)
	log.Close()
	for n := range 10 {
		if err := served(r.addr, n); err != nil {
			t.Fatal(err)
		}
	}
	r.Process.Signal(syscall.SIGTERM)
	if err := r.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
