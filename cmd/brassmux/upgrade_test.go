package main

import (
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// clientInterval is the time between the starts of two clients of a stream.
const clientInterval = 20 * time.Millisecond

// Two upgrades under load must hand over all connections: no connection may be refused, closed or left without an
// answer.
func TestUpgradePreservesConnections(t *testing.T) {
	p := newPlatform(t)
	serving := p.start()
	stream := startClientStream(p.addr(), clientInterval)
	for range 2 {
		serving = upgradeUnderLoad(t, p, stream, serving)
	}
	stream.stopAndReport(t)
	serving.Process.Signal(syscall.SIGTERM)
	if got := serving.awaitExit()["taken_over"].(float64); got < 60 {
		t.Errorf("got %v connections taken over, want at least 60", got)
	}
}

// upgradeUnderLoad replaces a process by a successor, which it returns, and checks that all connections were handed
// over.
func upgradeUnderLoad(t *testing.T, p *platform, stream *clientStream, predecessor *nodeProcess) *nodeProcess {
	t.Helper()
	requiredClients := stream.openedClients.Load() + 30
	waitUntil(t, "clients", func() bool { return stream.openedClients.Load() >= requiredClients })
	successor := p.start()
	successor.awaitReady("the successor to be ready")
	predecessor.Process.Signal(syscall.SIGTERM)
	finalCounters := predecessor.awaitExit()
	if got := finalCounters["handed_over"].(float64); got < 30 || finalCounters["moved"] != 0.0 ||
		finalCounters["handover_faults"] != 0.0 {
		t.Errorf("got %v connections handed over, %v moved, %v faults, want at least 30, 0 and 0", got,
			finalCounters["moved"], finalCounters["handover_faults"])
		predecessor.printLog()
		successor.printLog()
	}
	requiredLines := stream.answeredLines.Load() + 200
	waitUntil(t, "lines", func() bool { return stream.answeredLines.Load() >= requiredLines })
	return successor
}

// If the predecessor is killed during the upgrade, its connections are lost, but the successor must serve new clients.
func TestUpgradeSurvivesPredecessorCrash(t *testing.T) {
	p := newPlatform(t)
	predecessor := p.start()
	successor := p.start()
	successor.awaitReady("the successor to be ready")
	predecessor.Process.Kill()
	stream := startClientStream(p.addr(), clientInterval)
	waitUntil(t, "clients", func() bool { return stream.openedClients.Load() >= 20 })
	stream.stopAndReport(t)
	if !successor.isReady() {
		t.Error("the successor is no longer ready")
	}
}

// If the successor is killed after it is ready, the predecessor must keep its connections, and a later upgrade must
// succeed.
func TestFailedUpgradePreservesConnections(t *testing.T) {
	p := newPlatform(t)
	predecessor := p.start()
	stream := startClientStream(p.addr(), clientInterval)
	waitUntil(t, "clients", func() bool { return stream.openedClients.Load() >= 20 })
	openBefore := stream.openedClients.Load()
	successor := p.start()
	successor.awaitReady("the successor to be ready")
	successor.Process.Signal(syscall.SIGSTOP) // stops accepting, so that all clients stay with the predecessor
	successor.Process.Kill()
	<-successor.exited
	requiredLines := stream.answeredLines.Load() + 20*openBefore
	waitUntil(t, "lines", func() bool { return stream.answeredLines.Load() >= requiredLines })
	if !predecessor.isReady() {
		t.Error("the predecessor is no longer ready")
	}
	third := p.start() // the next upgrade must succeed
	third.awaitReady("the third process to be ready")
	predecessor.Process.Signal(syscall.SIGTERM)
	if got := predecessor.awaitExit()["handed_over"].(float64); got < float64(openBefore) {
		t.Errorf("got %v connections handed over, want at least %d", got, openBefore)
	}
	stream.ignoreFailures(func(failure string) bool { // connections that the killed process had accepted
		return strings.Contains(failure, "reset") || strings.Contains(failure, "EOF")
	})
	stream.stopAndReport(t)
}

// The program must not start if LB_LISTEN_FD names no listening socket or LB_ADMIN no address.
func TestStartRejectsInvalidInheritedSocket(t *testing.T) {
	for fd, want := range map[string]string{"x": "no number", "1": "no number", "77": "no listening socket"} {
		cmd, _ := newCommand(t, "export LB_LISTEN_FD="+fd+";", minimalConfig("127.0.0.1:0", 1024))
		out, err := cmd.CombinedOutput()
		text := string(out)
		if exitErr, ok := err.(*exec.ExitError); !ok || exitErr.ExitCode() != 1 ||
			!strings.Contains(text, "LB_LISTEN_FD") || !strings.Contains(text, want) {
			t.Errorf("LB_LISTEN_FD=%s: got %v, %q", fd, err, out)
		}
	}
	cmd, _ := newCommand(t, "export LB_ADMIN=here;", minimalConfig("127.0.0.1:0", 1024))
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "admin (or LB_ADMIN)") {
		t.Errorf("got %v, %q, want an error that names LB_ADMIN", err, out)
	}
}
