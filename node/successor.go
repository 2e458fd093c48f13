package node

import (
	"context"
	"errors"
	"net"
	"time"

	"brassmux/internal/upgrade"
)

const (
	listenRetryInterval = time.Second            // between two attempts to listen for successors
	acceptRetryInterval = 300 * time.Millisecond // after a failed accept, for example without free descriptors
)

// startSuccessorListener listens for successors until the returned function is called.
func (n *Node) startSuccessorListener() (stop func()) {
	path := upgrade.SocketPath(n.cfg.HandoverDir, n.cfg.Listen)
	if path == "" {
		if n.inheritsListener() {
			n.reportHandoverFailure(stepListen, errNoHandoverDir)
		}
		return func() {}
	}
	n.keepListening(path)
	return func() {
		n.handover.mu.Lock()
		defer n.handover.mu.Unlock()
		n.handover.closed = true
		if n.handover.listener != nil {
			n.handover.listener.Close()
		}
	}
}

// keepListening listens for successors. If that fails, for example because the directory is not writable for a while,
// it retries until it succeeds or the node ends.
func (n *Node) keepListening(path string) {
	if n.listenForSuccessor(path) {
		return
	}
	go func() {
		ticker := time.NewTicker(listenRetryInterval)
		defer ticker.Stop()
		for done := false; !done; done = n.listenForSuccessor(path) {
			select {
			case <-n.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

// listenForSuccessor replaces the listener for successors. It returns false if the caller should retry.
func (n *Node) listenForSuccessor(path string) (done bool) {
	n.handover.mu.Lock()
	defer n.handover.mu.Unlock()
	if n.handover.closed {
		return true
	}
	listener, err := upgrade.Listen(path)
	if err != nil {
		n.reportHandoverFailure(stepListen, err)
		return false
	}
	if n.handover.listener != nil {
		n.handover.listener.Close()
	}
	n.handover.listener = listener
	go n.acceptSuccessors(listener)
	return true
}

// acceptSuccessors accepts successors until the listener is closed.
func (n *Node) acceptSuccessors(listener *upgrade.Listener) {
	for {
		link, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			n.reportHandoverFailure(stepAccept, err)
			select {
			case <-time.After(acceptRetryInterval):
				continue
			case <-n.ctx.Done():
				return
			}
		}
		go n.serveSuccessor(link)
	}
}

// serveSuccessor sends the state of this process to its successor, switches to it once it serves, and handles its
// answers until the link ends. From the state on, both processes inform each other of orders
// and IDs.
func (n *Node) serveSuccessor(link *upgrade.Link) {
	defer link.Close()
	// A process that starts just after another successor has failed waits until that one is gone, because it would
	// otherwise start without the state. If the other one stays, this one is disconnected after half of its time limit
	// for the state, and starts without it.
	select {
	case n.handover.successorSlot <- struct{}{}:
	case <-time.After(messageTimeout / 2):
		return
	}
	defer func() { <-n.handover.successorSlot }()
	defer context.AfterFunc(n.ctx, link.Close)() // a pending receive must not outlive the node
	hello, _, err := link.Receive(time.Now().Add(messageTimeout))
	if err == nil && hello.Kind != upgrade.KindHello {
		err = &unexpectedMessageError{hello.Kind}
	}
	if err != nil {
		n.reportHandoverFailure(stepHello, err)
		return
	}
	ordersInForce, _ := n.orders.current()
	sender, idSeed, remembered := n.newPeerSender(link, ordersInForce)
	defer sender.close()
	if hello.Orders == nil { // it is of an earlier build
		sender.close()
		remembered = nil
	}
	messages := insertIDs(n.loop.exportState(ordersInForce), idSeed, remembered)
	if len(messages) == 0 { // this process has ended
		return
	}
	defer n.loop.post(func() { n.loop.setReleased(false) })
	for _, message := range messages {
		if err := link.Send(message, messageTimeout); err != nil {
			n.reportHandoverFailure(stepState, err)
			return
		}
	}
	n.log.Info("state sent to the successor", stateFields(&messages[len(messages)-1])...)
	if hello.Orders != nil {
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		go sender.run(ctx)
		n.handover.successorSender.Store(sender)
		defer n.handover.successorSender.Store(nil)
	}
	if err := n.awaitKind(link, upgrade.KindServing, successorReadyTimeout); err != nil {
		n.reportHandoverFailure(stepReadiness, err)
		return
	}
	n.switchToSuccessor(link)
}

// awaitKind waits for a message of a kind within a timeout. It handles the orders and IDs that arrive before it.
func (n *Node) awaitKind(link *upgrade.Link, kind upgrade.Kind, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; {
		message, _, err := link.Receive(deadline)
		switch {
		case err != nil:
			return err
		case message.Kind == kind:
			return nil
		case !n.onPeerMessage(message):
			return &unexpectedMessageError{message.Kind}
		}
	}
}

// switchToSuccessor makes the process at the other end the successor, and handles its answers until the link ends.
func (n *Node) switchToSuccessor(link *upgrade.Link) {
	s := &successor{link: link}
	n.lifecycle.setSuccessorServing(true)
	n.handover.successor.Store(s)
	n.log.Info("successor process serves")
	defer func() {
		n.handover.successor.Store(nil)
		s.close()
		n.lifecycle.setSuccessorServing(false)
		// While this process stops, its successor lives on and listens on the socket itself.
		if currentPhase, _ := n.lifecycle.currentPhase(); currentPhase != stopping {
			n.keepListening(upgrade.SocketPath(n.cfg.HandoverDir, n.cfg.Listen))
		}
	}()
	if err := link.Send(upgrade.Message{Kind: upgrade.KindReleased}, messageTimeout); err != nil {
		n.reportHandoverFailure(stepSwitch, err)
		return
	}
	for {
		message, _, err := link.Receive(time.Time{})
		if err != nil {
			if n.ctx.Err() == nil {
				n.reportHandoverFailure(stepConnections, err)
			}
			return
		}
		if !n.onPeerMessage(message) {
			s.resolve(message.Kind == upgrade.KindAccepted)
		}
	}
}
