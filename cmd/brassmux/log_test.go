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

// startWithLogPipe starts the program with a pipe as its log and returns the end from which the test reads.
func startWithLogPipe(t *testing.T) (p *process, logReader *os.File) {
	t.Helper()
	environment := newTestEnvironment(t, 1)
	cmd, path := newCommand(t, "", fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
		"limits":{"sockets":1024},"known":{"version":1,"full":true,"servers":[%s]},
		"settings":{"classes":[{"name":"chat","effect":"read_like"}]}}`, environment.discoveryAddr,
		environment.serverEntries(1)))
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logReader.Close() })
	cmd.Stderr = logWriter
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	logWriter.Close()
	p = &process{Cmd: cmd, t: t, configPath: path, log: bufio.NewScanner(logReader)}
	t.Cleanup(func() { cmd.Wait() })
	p.killAfter(testTimeout)
	p.addr = p.awaitMessage("serving")["listen"].(string)
	return p, logReader
}

// requestOnce sends one request as a client and expects its answer within the client's timeout.
func requestOnce(addr string, number int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "OPEN id-%d key-%d c=chat,d=2000\r\n", number, number)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "UP ") {
		return fmt.Errorf("request %d: got answer %q, error %v, want an accepted connection", number, line, err)
	}
	return nil
}

// connectionsToFillPipe is a number of connections whose log lines exceed the capacity of a pipe.
const connectionsToFillPipe = 1000

// A log collector that hangs must not block the node. The pipe to the collector is full after some hundred connections.
func TestStalledLogReaderDoesNotBlockNode(t *testing.T) {
	p, logReader := startWithLogPipe(t)
	for number := range connectionsToFillPipe {
		if err := requestOnce(p.addr, number); err != nil {
			t.Fatal(err)
		}
	}
	p.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- p.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the program exited with %v", err)
		}
	case <-time.After(testTimeout / 2):
		t.Error("the program did not exit after SIGTERM while its log was not read")
	}
	logReader.Close()
}

// A log collector that has exited must not end the node. By default SIGPIPE ends a program that writes to a broken
// pipe.
func TestClosedLogReaderDoesNotStopNode(t *testing.T) {
	p, logReader := startWithLogPipe(t)
	logReader.Close()
	for number := range 10 {
		if err := requestOnce(p.addr, number); err != nil {
			t.Fatal(err)
		}
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}
