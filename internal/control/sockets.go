package control

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"brassmux/budget"
	"brassmux/internal/control/transport"
)

// Listen opens the sockets for messages. It returns an error if an address cannot be bound.
func (m *Manager) Listen() (err error) {
	cfg := transport.Config{Listen: m.cfg.Listen, Peers: m.cfg.Peers, Index: m.cfg.Settings.NodeIndex,
		RetryListen: m.cfg.RetryListen, SimulateLink: m.cfg.SimulateLink}
	if len(m.cfg.Parents) > 0 {
		cfg.Role, cfg.Peers = transport.Child, m.cfg.Parents
	} else if m.parent != nil {
		cfg.Index = m.cfg.ControlIndex
	}
	if m.peers, err = transport.New(cfg, m.log); err != nil {
		return fmt.Errorf("config: peers.listen: %w", err)
	}
	m.SetSender(socketSender{m})
	if m.parent == nil {
		return nil
	}
	cfg.Role, cfg.Listen, cfg.Peers, cfg.MaxChildren = transport.Parent, m.cfg.ChildListen, nil, m.cfg.MaxChildren
	if m.children, err = transport.New(cfg, m.log); err != nil {
		m.peers.Close()
		return fmt.Errorf("config: peers.children: %w", err)
	}
	return nil
}

// SetSender replaces the sender of messages. Listen sets one that uses the sockets.
func (m *Manager) SetSender(sender Sender) { m.sender = sender }

// Addr returns this node's address for messages, or nil while another process of the node uses it.
func (m *Manager) Addr() net.Addr { return m.peers.Addr() }

// ChildAddr returns a control machine's address for messages from its children, or nil while another process uses it.
func (m *Manager) ChildAddr() net.Addr { return m.children.Addr() }

// SetPeers replaces the addresses of the members of the group or, below control machines, of the control machines. The
// number of addresses must not change. If an address is invalid, SetPeers returns an error and changes none.
func (m *Manager) SetPeers(addrs []string) error { return m.peers.SetPeers(addrs) }

// Serve sends and receives messages until ctx is done. Messages received while the loop's queue is full are dropped.
// Serve blocks and has to be called in a separate goroutine.
func (m *Manager) Serve(ctx context.Context) {
	if m.parent != nil {
		go m.serveConn(ctx, m.children, m.HandleChildMessage)
	}
	m.serveConn(ctx, m.peers, func(from int, _ netip.AddrPort, message budget.Message) {
		m.HandlePeerMessage(from, message)
	})
}

func (m *Manager) serveConn(ctx context.Context, conn *transport.Conn,
	handle func(from int, addr netip.AddrPort, message budget.Message)) {
	conn.Serve(ctx, func(from int, addr netip.AddrPort, body []byte) {
		message, err := budget.DecodeMessage(body)
		if err != nil {
			conn.Counters.Unreadable.Add(1)
			return
		}
		if !m.loop.Post(func() { handle(from, addr, message) }) {
			conn.Counters.Dropped.Add(1)
		}
	})
}

// socketSender sends messages over the node's sockets.
type socketSender struct{ manager *Manager }

// SendToPeer implements Sender.
func (s socketSender) SendToPeer(to int, message budget.Message) { s.manager.peers.Send(to, message) }

// SendToChild sends a response to the incarnation of a child to which it belongs, at the address from which that
// incarnation last sent.
func (s socketSender) SendToChild(to int, response budget.LeaseResponse) {
	for _, child := range s.manager.childAddrs[to] {
		if child.incarnation == response.Follower && child.addr.IsValid() {
			s.manager.children.SendTo(child.addr, response)
		}
	}
}

// childAddresses are the addresses of a child's two latest incarnations, the latest first. If two processes use the
// same index, each receives the responses to its own requests.
type childAddresses [2]struct {
	incarnation uint64
	addr        netip.AddrPort
}

// recordChildAddress records the address from which a child sends. Package transport has checked the index, which
// bounds the number of records.
func (m *Manager) recordChildAddress(index int, incarnation uint64, addr netip.AddrPort) {
	child := m.childAddrs[index]
	if child[0].incarnation != incarnation {
		child[1], child[0].incarnation = child[0], incarnation
	}
	child[0].addr = addr
	m.childAddrs[index] = child
}
