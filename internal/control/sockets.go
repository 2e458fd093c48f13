package control

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"brassmux/budget"
	"brassmux/internal/control/transport"
)

// Listen opens the sockets for messages. It fails where an address cannot be taken.
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
	m.SetSender(sockets{m})
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

// SetSender replaces the sender of messages, which Listen sets to the sockets.
func (m *Manager) SetSender(sender Sender) { m.sender = sender }

// Addr returns this node's address for messages; nil while another process of the node has it.
func (m *Manager) Addr() net.Addr { return m.peers.Addr() }

// ChildAddr returns a control machine's address for messages of its children; nil while another process has it.
func (m *Manager) ChildAddr() net.Addr { return m.children.Addr() }

// SetPeers replaces the addresses of the group's members, or of a node's control machines, by as many others. On an
// error the former ones stay.
func (m *Manager) SetPeers(addrs []string) error { return m.peers.SetPeers(addrs) }

// Serve sends and receives messages until ctx ends. While the loop's queue is full, messages are dropped, as by the
// network. It is called from a goroutine of its own.
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

// sockets sends messages over the node's sockets.
type sockets struct{ m *Manager }

// SendToPeer is part of Sender.
func (s sockets) SendToPeer(to int, message budget.Message) { s.m.peers.Send(to, message) }

// SendToChild sends a response to the incarnation of a child that it is for, where that has sent from.
func (s sockets) SendToChild(to int, response budget.LeaseResponse) {
	for _, child := range s.m.addrs[to] {
		if child.incarnation == response.Follower && child.addr.IsValid() {
			s.m.children.SendTo(child.addr, response)
		}
	}
}

// childAddresses are those of a child's two latest incarnations, the latest first: of two processes under one number
// each gets the responses to its own requests.
type childAddresses [2]struct {
	incarnation uint64
	addr        netip.AddrPort
}

// noteChildAddress remembers where a child sends from. The transport has checked its number, which bounds the memory.
func (m *Manager) noteChildAddress(number int, incarnation uint64, addr netip.AddrPort) {
	child := m.addrs[number]
	if child[0].incarnation != incarnation {
		child[1], child[0].incarnation = child[0], incarnation
	}
	child[0].addr = addr
	m.addrs[number] = child
}
