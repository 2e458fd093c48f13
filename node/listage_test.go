package node

import (
	"testing"
	"time"
)

// Guards against new clients for a server whose drain this node has missed on a silent watch. The drain counts as
// received 6 s after the silence. Until the next list arrives, clients have to wait.
func TestSilentWatchHoldsNewClients(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, withoutHealthChecks, srv)
	n.loop.post(n.loop.subscribe) // at once, instead of after the first delay
	n.awaitFirstList()
	n.establish(srv)
	n.discovery.silence()
	time.Sleep(6*time.Second + 50*time.Millisecond)
	client := n.open("k", "")
	select {
	case <-srv.conns:
		t.Fatal("the server got a new client 6 s after the watch fell silent")
	case <-time.After(500 * time.Millisecond):
	}
	n.discovery.resume()
	n.discovery.sendList(3, false, srv.endpointJSON("draining"), other.endpointJSON("up"))
	server, _ := other.accept(t)
	server.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
}
