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

// patience is how long the test waits for what has to come.
const patience = 10 * time.Second

// Two processes with one number each get the answers to their own messages, wherever they are; of a third the oldest is
// forgotten, and an answer to a start that has sent none goes nowhere.
func TestEachStartOfAChildIsAnsweredWhereItSentFrom(t *testing.T) {
	m := newManager(parentConfig(), func() time.Duration { return 0 })
	if err := m.Listen(); err != nil {
		t.Fatal(err)
	}
	go m.children.Serve(t.Context(), func(int, netip.AddrPort, []byte) {})
	t.Cleanup(m.peers.Close)
	open := func() (*net.UDPConn, netip.AddrPort) {
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { u.Close() })
		return u, u.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	first, at1 := open()
	second, at2 := open()
	m.noteChildAddress(1, 10, at1)
	m.noteChildAddress(1, 20, at2)
	m.noteChildAddress(1, 10, at1)
	receives := func(u *net.UDPConn, incarnation uint64) {
		t.Helper()
		m.sender.SendToChild(1, budget.LeaseResponse{Follower: incarnation, Incarnation: 5, Seq: incarnation})
		u.SetReadDeadline(time.Now().Add(patience))
		buf := make([]byte, transport.MaxDatagramSize)
		n, err := u.Read(buf)
		var envelope []cbor.RawMessage
		if err != nil || cbor.Unmarshal(buf[:n], &envelope) != nil {
			t.Fatalf("start %d receives %x, %v", incarnation, buf[:n], err)
		}
		message, err := budget.DecodeMessage(envelope[len(envelope)-1])
		if r, ok := message.(budget.LeaseResponse); err != nil || !ok || r.Follower != incarnation {
			t.Errorf("start %d receives %+v, %v", incarnation, message, err)
		}
	}
	receives(first, 10)
	receives(second, 20)
	m.sender.SendToChild(1, budget.LeaseResponse{Follower: 30}) // has sent none
	m.sender.SendToChild(0, budget.LeaseResponse{Follower: 10})
	receives(second, 20)
	m.noteChildAddress(1, 30, at1)
	m.noteChildAddress(1, 40, at1)
	if a := m.addrs[1]; a[0].incarnation != 40 || a[1].incarnation != 30 || len(m.addrs) != 1 {
		t.Errorf("remembers %+v", m.addrs)
	}
}
