package node

import (
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/admin"
)

// adminNode implements admin.Node for the admin address.
type adminNode struct{ node *Node }

// Ready is part of admin.Node.
func (a adminNode) Ready() bool { return a.node.lifecycle.isReady() }

// SetOutOfService is part of admin.Node.
func (a adminNode) SetOutOfService(out bool) bool { return a.node.orders.setOutOfService(out) }

// Metrics is part of admin.Node.
func (a adminNode) Metrics() admin.Metrics {
	l := a.node.loop
	metrics := admin.Metrics{
		Requests:        map[string]admin.RequestCounts{},
		Attempts:        l.backend.Counters.FirstLinesSent.Load(),
		InFlight:        int64(a.node.frontend.OpenRequests()),
		KnownServers:    l.gauges.knownServers.Load(),
		ExcludedServers: l.gauges.excludedServers.Load(),
	}
	for name, counters := range l.classCounters {
		metrics.Requests[name] = admin.RequestCounts{Served: counters.Served.Load(), Rejected: counters.Rejected.Load(),
			Failed: counters.Failed.Load()}
	}
	return metrics
}

// Counters returns the node's counters as fields of a log line, in a fixed order. All except the gauges and ids_held_ms
// only increase.
func (n *Node) Counters() []zap.Field {
	frontendCounters, backendCounters, discoveryCounters, loopCounters := &n.frontend.Counters,
		&n.loop.backend.Counters, &n.loop.discovery.Counters, &n.loop.counters
	fields := []zap.Field{}
	add := func(name string, value int64) { fields = append(fields, zap.Int64(name, value)) }
	add("connections", frontendCounters.Accepted.Load())
	add("accept_errors", frontendCounters.AcceptErrors.Load())
	add("pings", frontendCounters.Pings.Load())
	add("malformed", frontendCounters.Malformed.Load())
	add("no_room", frontendCounters.AtCapacity.Load())
	add("requests", frontendCounters.Requests.Load())
	add("standing_before", loopCounters.reconnects.Load())
	add("attempts", backendCounters.Attempts.Load())
	add("probes", backendCounters.HealthChecks.Load())
	add("list_calls", discoveryCounters.Calls.Load())
	add("list_failed", discoveryCounters.Failures.Load())
	add("list_changes", discoveryCounters.WatchEvents.Load())
	add("list_waits", loopCounters.listWaits.Load())
	add("served", loopCounters.served.Load())
	add("refused", loopCounters.rejected.Load())
	add("failed", loopCounters.failed.Load())
	add("left", loopCounters.disconnected.Load())
	add("moved", loopCounters.migrated.Load())
	add("handed_over", n.handover.counters.handedOver.Load())
	add("taken_over", n.handover.counters.takenOver.Load())
	add("handover_faults", n.handover.counters.failures.Load())
	add("messages", loopCounters.messages.Load())
	add("messages_late", loopCounters.lateMessages.Load())
	add("messages_dropped", loopCounters.droppedMessageTimes.Load())
	if n.admin != nil {
		add("admin_callers", n.admin.Counters.Connections.Load())
		add("admin_calls", n.admin.Counters.Calls.Load())
		add("admin_made_way", n.admin.Counters.Evictions.Load())
		add("admin_accept_errors", n.admin.Counters.AcceptErrors.Load())
	}
	n.loop.invariants.counters(add)
	add("ids_held_ms", time.Since(n.frontend.IDs.HeldSince()).Milliseconds())
	add("rule_unanswered", frontendCounters.Unanswered.Load())
	n.loop.control.Counters(add)
	for i, name := range outcomeNames {
		add("attempts_"+name, backendCounters.Outcomes[i].Load())
	}
	if shadow := n.loop.shadow; shadow != nil {
		shadow.counters(add)
	}
	return fields
}

// outcomeNames are the names of the outcomes of attempts in counters and log lines.
var outcomeNames = [...]string{balance.ServerError: "error", balance.OK: "ok", balance.AtCapacity: "full",
	balance.TimedOut: "timed_out", balance.ConnectFailed: "connect_failed", balance.Reset: "reset",
	balance.Cancelled: "cancelled", balance.Abandoned: "moot", balance.NotSent: "unsent"}
