package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"brassmux/internal/upgrade"
)

// peerSender keeps the other process of the node informed, during an upgrade, of the orders in force and of the IDs of
// requests that begin and end here. It is safe for concurrent use.
type peerSender struct {
	link   *upgrade.Link
	orders *orders

	sending    sync.Mutex     // held while a message is sent
	sentOrders upgrade.Orders // those that the other process knows

	mu      sync.Mutex
	ids     upgrade.IDs   // to be sent
	hasIDs  chan struct{} // has an element if ids is not empty
	stopIDs func()        // ends the calls of addID
}

// finishTimeout limits the time that a process about to end waits for a successor that does not receive.
const finishTimeout = 50 * time.Millisecond

// maxPendingIDs bounds the IDs that wait to be sent to a process that does not receive.
const maxPendingIDs = 1 << 17

// newPeerSender returns a sender to the process at the other end of a link, which knows the given orders already, and
// the IDs that are remembered here. The caller must run it and then close it.
func (n *Node) newPeerSender(link *upgrade.Link, known upgrade.Orders) (
	sender *peerSender, idSeed uint64, remembered []uint64) {
	sender = &peerSender{link: link, orders: n.orders, sentOrders: known, hasIDs: make(chan struct{}, 1)}
	idSeed, remembered, sender.stopIDs = n.frontend.IDs.Observe(sender.addID)
	return sender, idSeed, remembered
}

// addID queues an ID.
func (s *peerSender) addID(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ids) >= maxPendingIDs {
		return
	}
	s.ids = append(s.ids, id)
	select {
	case s.hasIDs <- struct{}{}:
	default:
	}
}

// takeIDs returns the queued IDs and empties the queue.
func (s *peerSender) takeIDs() upgrade.IDs {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.ids
	s.ids = nil
	return ids
}

// run sends each change until ctx is done or the link fails, which its receiver reports.
func (s *peerSender) run(ctx context.Context) {
	defer s.close()
	for {
		_, ordersChanged := s.orders.current()
		if s.sendPending() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ordersChanged:
		case <-s.hasIDs:
		}
	}
}

// sendPending sends what the other process does not know yet. The sender may be nil.
func (s *peerSender) sendPending() error {
	if s == nil {
		return nil
	}
	s.sending.Lock()
	defer s.sending.Unlock()
	if inForce, _ := s.orders.current(); !inForce.Equal(s.sentOrders) {
		message := upgrade.Message{Kind: upgrade.KindOrders, Orders: &inForce}
		if err := s.link.Send(message, messageTimeout); err != nil {
			return err
		}
		s.sentOrders = inForce
	}
	for chunk := range slices.Chunk(s.takeIDs(), upgrade.MaxIDs) {
		if err := s.link.Send(upgrade.Message{Kind: upgrade.KindIDs, IDs: chunk}, messageTimeout); err != nil {
			return err
		}
	}
	return nil
}

// finish sends what the other process does not know yet, for a limited time, because this process is about to end. The
// sender may be nil.
func (s *peerSender) finish() {
	done := make(chan struct{})
	go func() {
		s.sendPending()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(finishTimeout):
	}
}

// close ends the sender. It may be called again.
func (s *peerSender) close() {
	s.stopIDs()
	s.takeIDs()
}

// onPeerMessage handles a message that either process may send at any time. It returns false for any other message.
func (n *Node) onPeerMessage(message *upgrade.Message) bool {
	switch message.Kind {
	case upgrade.KindOrders:
		n.orders.merge(*message.Orders)
	case upgrade.KindIDs:
		n.frontend.IDs.Add(message.IDs)
	default:
		return false
	}
	return true
}
