package main

import (
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The program must exit with code 1 and name the fault if it cannot read its configuration or open its address.
func TestStartRejectsInvalidConfiguration(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for config, want := range map[string]string{
		"{":                             "LB_CONFIG: ",
		`{"listen":"here"}`:             "config: ",
		minimalConfig("127.0.0.1:0", 3): "config: limits.sockets: 3 is out of range",
		minimalConfig(listener.Addr().String(), 1024): "address already in use",
		`{"limits":{"memory_mb":"much"}}`:             "limits.memory_mb",
	} {
		cmd, _ := newCommand(t, "", config)
		out, err := cmd.CombinedOutput()
		if exitErr, ok := err.(*exec.ExitError); !ok || exitErr.ExitCode() != 1 ||
			!strings.Contains(string(out), want) {
			t.Errorf("%s: got %v, %q, want %q", config, err, out, want)
		}
	}
}

// A mistyped log level must not start a node with another level.
func TestStartRejectsUnknownLogLevel(t *testing.T) {
	cmd, _ := newCommand(t, "export LB_LOG=loud;", minimalConfig("127.0.0.1:0", 1024))
	out, err := cmd.CombinedOutput()
	if exitErr, ok := err.(*exec.ExitError); !ok || exitErr.ExitCode() != 1 ||
		!strings.Contains(string(out), "LB_LOG") {
		t.Errorf("got %v, %q, want exit code 1 and a message that names LB_LOG", err, out)
	}
}

// SIGUSR1 must log the counters, and SIGTERM must end the program with exit code 0 and the final counters.
func TestSignalsPrintCountersAndStop(t *testing.T) {
	p := startMinimal(t, "", 1024)
	if err := ping(p.addr); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGUSR1)
	if got := p.awaitMessage("counters")["pings"]; got != 1.0 {
		t.Errorf("got %v pings, want 1", got)
	}
	p.Process.Signal(syscall.SIGTERM)
	if got := p.awaitMessage("stopped")["connections"]; got != 1.0 {
		t.Errorf("got %v connections, want 1", got)
	}
	for p.log.Scan() {
	}
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// SIGHUP ends a program that does not handle it. Here it must reload the configuration, repeatedly, and an invalid
// configuration must leave the node running.
func TestHangupSignalReloadsConfiguration(t *testing.T) {
	// LB_DISCOVERY as set at the start must not override the address in a reloaded file.
	p := startMinimal(t, `LB_DISCOVERY=127.0.0.1:1 &&`, 1024)
	valid := minimalConfig("127.0.0.1:0", 1024)
	for config, want := range map[string]string{
		"{": "LB_CONFIG: ",
		strings.Replace(valid, "127.0.0.1:1", "nowhere", 1): "discovery: ",
		minimalConfig("127.0.0.1:0", 3):                     "limits.sockets: 3",
	} {
		p.reload(config)
		if got := p.awaitMessage("the new configuration is rejected")["error"].(string); !strings.Contains(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	for _, addr := range []string{"127.0.0.1:2", "127.0.0.1:3"} { // two reloads
		p.reload(strings.Replace(valid, "127.0.0.1:1", addr, 1))
		if got := p.awaitMessage("discovery address changed")["discovery"]; got != addr {
			t.Errorf("got discovery address %v after the reload", got)
		}
		if err := ping(p.addr); err != nil {
			t.Error(err)
		}
	}
	p.Process.Signal(syscall.SIGTERM)
	p.awaitMessage("stopped")
}

// The process limit of descriptors may be lower than the configured one. The node must report that it cannot accept
// clients, and accept them again when descriptors are free.
func TestNodeRecoversFromDescriptorExhaustion(t *testing.T) {
	p := startMinimal(t, "ulimit -n 40;", 1024)
	var connections []net.Conn
	for range 60 {
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		connections = append(connections, conn)
	}
	p.awaitMessage("clients cannot be accepted")
	for _, conn := range connections {
		conn.Close()
	}
	go func() { // reads the log, because a full pipe would block the program
		for p.log.Scan() {
		}
	}()
	var err error
	for deadline := time.Now().Add(testTimeout / 2); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if err = ping(p.addr); err == nil {
			return
		}
	}
	t.Error(err)
}
