package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
)

// migrationInterval is the interval at which a node that migrates its clients checks for newly established connections.
const migrationInterval = 50 * time.Millisecond

// Run serves until ctx is done and then shuts down gracefully, within the configured time. It returns nil.
//
// During the shutdown clients are still accepted for a while, unless the socket is inherited: the next process accepts
// the connections that wait on an inherited socket. Established connections are handed over to the next process of this
// node if there is one. Otherwise they are migrated: at once if other nodes can take them, and shortly before the time
// limit if there are none. Requests that are still unanswered then get a final answer.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	if n.admin != nil { // started first and closed last
		go n.admin.Serve(n.adminListener)
		defer n.admin.Close()
	}
	if n.loop.control != nil {
		go n.loop.control.Serve(n.ctx)
	}
	predecessor, state := n.dialPredecessor()
	if state != nil {
		defer n.inherit(predecessor, state)()
	}
	loopDone, acceptDone := make(chan struct{}), make(chan struct{})
	go func() {
		n.loop.run(state)
		close(loopDone)
	}()
	go func() {
		n.frontend.Serve(n.ctx, n.listener)
		close(acceptDone)
	}()
	if predecessor == nil && n.loop.endpointsPushed {
		n.awaitUsableList(ctx)
	}
	predecessor = n.announceServing(predecessor)
	defer n.startSuccessorListener()() // before this process is ready, from when on it may be upgraded
	n.lifecycle.setStarted()
	if predecessor != nil {
		go n.acceptTransfers(predecessor)
	}
	addrs := []zap.Field{zap.Stringer("listen", n.listener.Addr())}
	if n.adminListener != nil {
		addrs = append(addrs, zap.Stringer("admin", n.adminListener.Addr()))
	}
	n.log.Info("serving", addrs...)
	n.serveUntil(ctx)
	n.shutDown(acceptDone)
	n.handover.successorSender.Load().finish()
	n.cancel()
	<-loopDone
	n.log.Info("stopped", n.Counters()...)
	return nil
}

// isOnlyNode reports whether there is no other node to take the clients that this one migrates.
func (n *Node) isOnlyNode() bool { return n.cfg.Settings.NodeCount <= 1 }

// serveUntil serves until ctx is done, and migrates clients while the node is out of service.
func (n *Node) serveUntil(ctx context.Context) {
	for {
		phase, changed := n.lifecycle.currentPhase()
		if phase == outOfService {
			n.log.Info("out of service")
			if n.migrateClients(ctx); ctx.Err() != nil {
				return
			}
			n.log.Info("in service")
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// migrateClients migrates all clients, including new ones, until the node is back in service. It begins after a pause:
// until the load balancer in front has noticed that PING is rejected, it would send migrated clients back.
func (n *Node) migrateClients(ctx context.Context) {
	pause := n.cfg.Timeouts.AcceptAfterStopMS
	if n.isOnlyNode() {
		pause = max(pause, n.cfg.Timeouts.OutOfServiceMS-n.cfg.Timeouts.CloseMS)
	}
	pauseOver, ticker := time.After(milliseconds(pause)), time.NewTicker(migrationInterval)
	defer ticker.Stop()
	for isMigrating := false; ; {
		phase, changed := n.lifecycle.currentPhase()
		if phase != outOfService {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-pauseOver:
			isMigrating = true
		case <-ticker.C:
		}
		if isMigrating {
			n.migrateAll()
		}
	}
}

// migrateAll makes the balancer migrate all established connections.
func (n *Node) migrateAll() {
	n.loop.post(func() { n.loop.handle(balance.ShutdownAnnounced{}) })
}
