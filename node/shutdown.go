package node

import (
	"sync/atomic"
	"time"
)

// finalAnswerMargin is the time reserved at the end of a shutdown to send final answers to unanswered requests.
const finalAnswerMargin = 100 * time.Millisecond

// shutdown is a graceful shutdown with its deadlines.
type shutdown struct {
	node              *Node
	answerDeadline    time.Time // requests that are still unanswered fail
	migrationDeadline time.Time // remaining clients are migrated, and have CloseMS to close
	deadline          time.Time
	isTransferring    atomic.Bool
}

// shutDown stops accepting clients and returns when all connections have ended or the time limit has passed.
func (n *Node) shutDown(acceptDone <-chan struct{}) {
	n.lifecycle.setStopping()
	n.log.Info("stopping")
	n.loop.post(n.loop.onStop)
	timeouts, startedAt := n.cfg.Timeouts, time.Now()
	limit := milliseconds(timeouts.StopMS)
	s := &shutdown{
		node:              n,
		answerDeadline:    startedAt.Add(limit - min(finalAnswerMargin, limit/2)),
		migrationDeadline: startedAt.Add(limit - milliseconds(timeouts.CloseMS)),
		deadline:          startedAt.Add(limit),
	}
	answerTimer, deadlineTimer := time.After(time.Until(s.answerDeadline)), time.After(time.Until(s.deadline))
	s.stopAccepting()
	connectionsEnded := make(chan struct{})
	go func() {
		<-acceptDone
		n.frontend.Wait()
		close(connectionsEnded)
	}()
	ticker := time.NewTicker(migrationInterval) // connections may still be established
	defer ticker.Stop()
	for {
		s.migrate()
		select {
		case <-ticker.C:
		case <-connectionsEnded:
			return
		case <-answerTimer:
			n.loop.post(n.loop.failUnanswered)
		case <-deadlineTimer:
			n.log.Warn("stopped with open client connections")
			return
		}
	}
}

// stopAccepting closes the listener. A node that opened the socket itself still accepts clients for a while, because
// the load balancer in front has not noticed the shutdown yet. Connections without a request are closed at the answer
// deadline at the latest.
func (s *shutdown) stopAccepting() {
	n, timeouts := s.node, s.node.cfg.Timeouts
	if n.inheritsListener() {
		n.frontend.LimitHandshakeTime(time.Until(s.answerDeadline))
		n.listener.Close()
		return
	}
	time.Sleep(milliseconds(timeouts.AcceptAfterStopMS))
	n.frontend.LimitHandshakeTime(min(milliseconds(timeouts.CloseMS), time.Until(s.answerDeadline)))
	n.frontend.AcceptRemaining(n.listener)
}

// inheritsListener reports whether the listening socket is inherited.
func (n *Node) inheritsListener() bool { return n.cfg.ListenFD != 0 }

// migrate hands established connections over to the successor. Without one it migrates them if another node or process
// can take them, and in any case once the migration deadline has passed.
func (s *shutdown) migrate() {
	n := s.node
	isFinal, successor := time.Now().After(s.migrationDeadline), n.handover.successor.Load()
	othersAccept := !n.isOnlyNode() || n.inheritsListener()
	switch {
	case successor != nil && !isFinal && s.isTransferring.CompareAndSwap(false, true):
		// In a goroutine, because a successor that does not respond must not delay the other steps of the shutdown.
		go func() {
			n.transferConnections(successor, s.migrationDeadline)
			s.isTransferring.Store(false)
		}()
	case isFinal, othersAccept && successor == nil:
		n.migrateAll()
	}
}
