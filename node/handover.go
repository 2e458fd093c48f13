package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/exchange"
	"brassmux/internal/upgrade"
)

// Time limits of the hand-over between two processes of one node.
const (
	messageTimeout        = time.Second            // for one message, or for the complete state
	pauseTimeout          = 300 * time.Millisecond // for a connection to pause between two lines, before a retry
	successorReadyTimeout = 30 * time.Second       // for the successor to serve; the platform gives up much earlier
)

// handoverState is the state of hand-overs between this process and its predecessor or successor.
type handoverState struct {
	successorSlot chan struct{}             // a semaphore of one: successors are handled one at a time
	successor     atomic.Pointer[successor] // the current successor, nil unless one serves

	// successorSender informs the process that has received the state of this one; nil if there is none.
	successorSender atomic.Pointer[peerSender]

	counters struct {
		handedOver atomic.Int64 // connections that a successor has accepted
		takenOver  atomic.Int64 // connections that this process has accepted from its predecessor
		failures   atomic.Int64 // hand-overs that failed
	}

	mu       sync.Mutex
	listener *upgrade.Listener // accepts connections of successors
	closed   bool              // no further successor is accepted
}

// The steps of a hand-over, as named in log lines.
const (
	stepDial        = "dialing the predecessor"
	stepState       = "transfer of the state"
	stepHello       = "hello of the successor"
	stepAccept      = "accepting the successor"
	stepListen      = "listening for the successor"
	stepReadiness   = "waiting for the successor to serve"
	stepSwitch      = "switch to the successor"
	stepAnswer      = "answer to the predecessor"
	stepConnections = "transfer to the successor"
)

// errNoHandoverDir reports that a process with an inherited socket cannot find its successor.
var errNoHandoverDir = errors.New("no hand-over directory: TMPDIR is not set")

// reportHandoverFailure counts and logs a failed hand-over. The node continues unchanged.
func (n *Node) reportHandoverFailure(step string, err error) {
	n.handover.counters.failures.Add(1)
	n.log.Warn("hand-over failed", zap.String("at", step), zap.Error(err))
}

// dialPredecessor connects to the serving process and receives its state. Without a predecessor, or if that fails, both
// results are nil.
func (n *Node) dialPredecessor() (*upgrade.Link, *inheritedState) {
	path := upgrade.SocketPath(n.cfg.HandoverDir, n.cfg.Listen)
	if path == "" {
		return nil, nil
	}
	link, err := upgrade.Dial(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		n.reportHandoverFailure(stepDial, err)
		return nil, nil
	}
	hello := upgrade.Message{Kind: upgrade.KindHello, Orders: &upgrade.Orders{}}
	deadline, state := time.Now().Add(messageTimeout), &inheritedState{}
	if err = link.Send(hello, messageTimeout); err == nil {
		err = state.receive(link, deadline)
	}
	if err != nil {
		n.reportHandoverFailure(stepState, err)
		link.Close()
		return nil, nil
	}
	n.log.Info("state received from the predecessor", stateFields(state.end)...)
	return link, state
}

// stateFields returns the log fields that describe a transferred state, from its last message.
func stateFields(end *upgrade.Message) []zap.Field {
	return []zap.Field{zap.Bool("out_of_service", end.OutOfService), zap.String("discovery", end.DiscoveryAddr),
		zap.Duration("list_age", milliseconds(end.ListAgeMillis))}
}

// inherit adopts the orders and IDs of the predecessor, and keeps it informed of those of this process until the
// returned function is called.
func (n *Node) inherit(predecessor *upgrade.Link, state *inheritedState) (stop func()) {
	n.inheritOrders(state.orders())
	if state.end.Orders == nil { // it is of an earlier build
		return func() {}
	}
	n.frontend.IDs.Restore(state.end.IDSeed, state.ids)
	sender, _, _ := n.newPeerSender(predecessor, *state.end.Orders)
	ctx, cancel := context.WithCancel(n.ctx)
	go sender.run(ctx)
	return func() {
		cancel()
		sender.close()
	}
}

// announceServing notifies the predecessor that this process serves. It returns nil if that is not acknowledged.
func (n *Node) announceServing(link *upgrade.Link) *upgrade.Link {
	if link == nil {
		return nil
	}
	err := link.Send(upgrade.Message{Kind: upgrade.KindServing}, messageTimeout)
	if err == nil {
		err = n.awaitKind(link, upgrade.KindReleased, messageTimeout)
	}
	if err != nil {
		n.reportHandoverFailure(stepSwitch, err)
		link.Close()
		return nil
	}
	return link
}

// acceptTransfers takes over established connections, and learns of the orders and IDs of the predecessor, until that
// process ends.
func (n *Node) acceptTransfers(link *upgrade.Link) {
	defer link.Close()
	defer context.AfterFunc(n.ctx, link.Close)()
	for {
		message, conns, err := link.Receive(time.Time{})
		if err != nil {
			if n.ctx.Err() == nil {
				n.log.Info("predecessor process has ended",
					zap.Int64("taken_over", n.handover.counters.takenOver.Load()))
			}
			return
		}
		if n.onPeerMessage(message) || message.Kind != upgrade.KindConnection {
			continue
		}
		answer := n.acceptTransfer(message.Connection, conns[0], conns[1])
		if err := link.Send(upgrade.Message{Kind: answer}, messageTimeout); err != nil {
			n.reportHandoverFailure(stepAnswer, err)
			return
		}
	}
}

// acceptTransfer takes over one connection, or rejects it, in which case the predecessor keeps it.
func (n *Node) acceptTransfer(connection *exchange.OpenConnection, client, server *net.TCPConn) (answer upgrade.Kind) {
	if currentPhase, _ := n.lifecycle.currentPhase(); currentPhase == stopping || !n.adopt(connection, client, server) {
		client.Close()
		server.Close()
		return upgrade.KindRejected
	}
	n.handover.counters.takenOver.Add(1)
	return upgrade.KindAccepted
}

// adopt continues an established connection in this process, and reports whether it could.
func (n *Node) adopt(connection *exchange.OpenConnection, client, server *net.TCPConn) bool {
	return n.frontend.Inherit(connection, client, server, func(request *exchange.Exchange) {
		n.loop.adopt(request)
		go request.RelayServer(n.loop.backend.ParseLoadReport)
	})
}

// unexpectedMessageError reports a hand-over message of a kind that the current step does not allow.
type unexpectedMessageError struct{ kind upgrade.Kind }

func (e *unexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected hand-over message %q", string(e.kind))
}
