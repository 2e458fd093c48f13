package node

import (
	"context"
	"net"
	"testing"
	"time"
)

// dialGate holds back established connections to servers, so that a test can act between the connect and the first byte
// of an attempt.
type dialGate struct {
	connected chan string   // addresses of the connections that are held back
	release   chan struct{} // releases one connection; unbuffered, so that only a held connection takes it
}

func newDialGate() *dialGate { return &dialGate{make(chan string, 100), make(chan struct{})} }

// dial connects to a server and returns the connection once it is released.
func (gate *dialGate) dial(_ context.Context, addr string) (net.Conn, error) {
	conn, err := net.Dial("tcp", addr) // ignores the context: a cancelled connect may succeed too
	if err != nil {
		return nil, err
	}
	gate.connected <- addr
	<-gate.release
	return conn, nil
}

// awaitConnection waits for a connection that is held back and returns its address.
func (gate *dialGate) awaitConnection(t *testing.T) (addr string) {
	t.Helper()
	select {
	case addr = <-gate.connected:
	case <-time.After(testTimeout):
		t.Fatal("no connection was established")
	}
	return addr
}

// startWithDialGate starts a node with two servers and a dial gate, and sends it a first line. first is the server that
// the node connects to.
func startWithDialGate(t *testing.T, change func(*Config), line string) (n *testNode, gate *dialGate, client *testConn,
	first, other *recordingServer) {
	t.Helper()
	gate, first, other = newDialGate(), newRecordingServer(t, "s-1"), newRecordingServer(t, "s-2")
	n = startNode(t, func(c *Config) {
		withoutHealthChecks(c)
		c.dialServer = gate.dial
		change(c)
	}, first.testServer, other.testServer)
	client = n.dial()
	client.send(line)
	if gate.awaitConnection(t) == other.addr {
		first, other = other, first
	}
	return n, gate, client, first, other
}
