package control

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brassmux/budget"
	"brassmux/internal/control/transport"
)

// receiveTimeout is how long a test waits for a datagram.
const receiveTimeout = 10 * time.Second

// Guards against a control machine that sends a response to the wrong incarnation of a child. Two processes with the
// same index each receive the responses to their own requests. When a third sends, the address of the oldest is
// discarded. A response to an incarnation that has sent nothing is not sent.
func TestResponsesReachIncarnationOfChild(t *testing.T) {
	m := newManager(parentConfig(), func() time.Duration { return 0 })
	if err := m.Listen(); err != nil {
		t.Fatal(err)
	}
	go m.children.Serve(t.Context(), func(int, netip.AddrPort, []byte) {})
	t.Cleanup(m.peers.Close)
	openSocket := func() (*net.UDPConn, netip.AddrPort) {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		return socket, socket.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	firstSocket, firstAddr := openSocket()
	secondSocket, secondAddr := openSocket()
	m.recordChildAddress(1, 10, firstAddr)
	m.recordChildAddress(1, 20, secondAddr)
	m.recordChildAddress(1, 10, firstAddr)
	checkResponse := func(socket *net.UDPConn, incarnation uint64) {
		t.Helper()
		m.sender.SendToChild(1, budget.LeaseResponse{Follower: incarnation, Incarnation: 5, Seq: incarnation})
		socket.SetReadDeadline(time.Now().Add(receiveTimeout))
		buffer := make([]byte, transport.MaxDatagramSize)
		size, err := socket.Read(buffer)
		var envelope []cbor.RawMessage
		if err != nil || cbor.Unmarshal(buffer[:size], &envelope) != nil {
			t.Fatalf("incarnation %d received %x: %v", incarnation, buffer[:size], err)
		}
		message, err := budget.DecodeMessage(envelope[len(envelope)-1])
		if response, ok := message.(budget.LeaseResponse); err != nil || !ok || response.Follower != incarnation {
			t.Errorf("incarnation %d received %+v, want a response to it: %v", incarnation, message, err)
		}
	}
	checkResponse(firstSocket, 10)
	checkResponse(secondSocket, 20)
	m.sender.SendToChild(1, budget.LeaseResponse{Follower: 30}) // has sent nothing
	m.sender.SendToChild(0, budget.LeaseResponse{Follower: 10})
	checkResponse(secondSocket, 20)
	m.recordChildAddress(1, 30, firstAddr)
	m.recordChildAddress(1, 40, firstAddr)
	if addresses := m.childAddrs[1]; addresses[0].incarnation != 40 || addresses[1].incarnation != 30 ||
		len(m.childAddrs) != 1 {
		t.Errorf("recorded addresses are %+v, want those of incarnations 40 and 30 of child 1", m.childAddrs)
	}
}
