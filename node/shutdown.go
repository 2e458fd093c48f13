package node

import (
	"sync/atomic"
	"time"
)

// finalAnswerTime is set aside at the end of a shutdown for the answers that only the end of the process brings.
const finalAnswerTime = 100 * time.Millisecond

// shutdown is a graceful shutdown with the moments that bound it.
type shutdown struct {
	n             *Node
	finalAnswers  time.Time // requests without an answer are rejected
	lastMigration time.Time // whoever is left is migrated, with the time to close that clients have
	end           time.Time
	transferring  atomic.Bool
}

// shutDown stops accepting clients and returns when all connections have ended, or when the time for it has.
func (n *Node) shutDown(acceptDone <-chan struct{}) {
	n.lifecycle.setStopping()
	n.log.Info("stopping")
	n.loop.post(n.loop.onStop)
	t, begin := n.cfg.Timeouts, time.Now()
	limit := milliseconds(t.StopMS)
	s := &shutdown{
		n:             n,
		finalAnswers:  begin.Add(limit - min(finalAnswerTime, limit/2)),
		lastMigration: begin.Add(limit - milliseconds(t.CloseMS)),
		end:           begin.Add(limit),
	}
	finalAnswers, end := time.After(time.Until(s.finalAnswers)), time.After(time.Until(s.end))
	s.stopAccepting()
	ended := make(chan struct{})
	go func() {
		<-acceptDone
		n.frontend.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(migrationInterval) // connections may be established meanwhile
	defer ticker.Stop()
	for {
		s.migrate()
		select {
		case <-ticker.C:
		case <-ended:
			return
		case <-finalAnswers:
			n.loop.post(n.loop.rejectAll)
		case <-end:
			n.log.Warn("stopped with open client connections")
			return
		}
	}
}

// stopAccepting closes the listener. On a socket of its own the node accepts clients for a while before, as the load
// balancer in front still sends some. Connections without a request get until the final answers at most.
func (s *shutdown) stopAccepting() {
	n, t := s.n, s.n.cfg.Timeouts
	if n.inheritsListener() {
		n.frontend.LimitHandshakeTime(time.Until(s.finalAnswers))
		n.listener.Close()
		return
	}
	time.Sleep(milliseconds(t.AcceptAfterStopMS))
	n.frontend.LimitHandshakeTime(min(milliseconds(t.CloseMS), time.Until(s.finalAnswers)))
	n.frontend.AcceptRemaining(n.listener)
}

func (n *Node) inheritsListener() bool { return n.cfg.ListenFD != 0 }

// migrate hands established connections over to the successor, or migrates them where another node or process takes
// them, or where the time runs out.
func (s *shutdown) migrate() {
	n := s.n
	isLast, successor := time.Now().After(s.lastMigration), n.handover.successor.Load()
	othersAccept := !n.isOnlyNode() || n.inheritsListener()
	switch {
	case successor != nil && !isLast && s.transferring.CompareAndSwap(false, true):
		// In a goroutine of its own: a successor that hangs must not delay what is due here.
		go func() {
			n.transferConnections(successor, s.lastMigration)
			s.transferring.Store(false)
		}()
	case isLast, othersAccept && successor == nil:
		n.migrateAll()
	}
}
