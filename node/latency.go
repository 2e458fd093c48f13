package node

import (
	"slices"
	"time"

	"brassmux/balance"
)

const (
	lateReportInterval = time.Second // per server
	lateDivisor        = 3           // a message is late after a third of its latency objective
)

// serverLatency collects the message times of one server since the start of the current window, on the node's clock.
type serverLatency struct {
	windowStart  time.Duration
	messageTimes []time.Duration
}

// onMessageTime records the time of one message. Once per interval it reports the server to the balancer as late if the
// median of its message times is late.
func (l *loop) onMessageTime(id balance.RequestID, server balance.ServerID, elapsed time.Duration) {
	l.counters.messages.Add(1)
	if l.isLate(elapsed) {
		l.counters.lateMessages.Add(1)
	}
	latency, now := l.latencies[server], l.now()
	if latency == nil {
		latency = &serverLatency{windowStart: now}
		l.latencies[server] = latency
	}
	if latency.messageTimes = append(latency.messageTimes, elapsed); now-latency.windowStart < lateReportInterval {
		return
	}
	slices.Sort(latency.messageTimes)
	median := latency.messageTimes[len(latency.messageTimes)/2]
	latency.messageTimes, latency.windowStart = latency.messageTimes[:0], now
	if l.messageObjective > 0 && l.isLate(median) {
		l.handle(balance.LateMessage{ID: id, Server: server, Latency: median})
	}
}

// isLate reports whether a message time exceeds a third of the latency objective.
func (l *loop) isLate(elapsed time.Duration) bool { return elapsed*lateDivisor > l.messageObjective }

// shortestMessageObjective returns the shortest message latency objective of any class, or 0 if no class has one.
func shortestMessageObjective(config balance.Config) time.Duration {
	var objectives []time.Duration
	for _, class := range config.Classes {
		if class.MessageObjective > 0 {
			objectives = append(objectives, class.MessageObjective)
		}
	}
	if len(objectives) == 0 {
		return 0
	}
	return slices.Min(objectives)
}
