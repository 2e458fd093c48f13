package node

import (
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
)

// clock is the clock of a node. It is set from the wall clock when the process starts and advances with the monotonic
// clock. It never jumps, but keeps any error that the wall clock had at the start. It is safe for concurrent use.
type clock struct {
	start         time.Time        // of the process; includes a monotonic reading
	epoch         time.Duration    // the wall clock at the start, as time since the Unix epoch
	readWallClock func() time.Time // with the configured offset
}

func newClock(options *TestOptions) clock {
	readWallClock := options.WallClock
	if readWallClock == nil {
		readWallClock = time.Now
	}
	offset := milliseconds(options.ClockOffsetMS)
	c := clock{start: time.Now(), readWallClock: func() time.Time { return readWallClock().Add(offset) }}
	c.epoch = sinceUnixEpoch(c.readWallClock())
	return c
}

// sinceUnixEpoch converts a wall-clock time to the time since the Unix epoch.
func sinceUnixEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// now returns the time since the Unix epoch, the unit of the start times in the endpoint list.
func (c *clock) now() time.Duration { return c.epoch + c.sinceStart() }

// sinceStart returns the time since the start of the process.
func (c *clock) sinceStart() time.Duration { return time.Since(c.start) }

// timeAt returns the value of now at time t, which must have a monotonic reading.
func (c *clock) timeAt(t time.Time) time.Duration { return c.epoch + t.Sub(c.start) }

// wallClockStepBack returns how far the wall clock was set back since the start; negative if it was set forward.
func (c *clock) wallClockStepBack() time.Duration { return c.now() - sinceUnixEpoch(c.readWallClock()) }

// dateResolution is the resolution of the Date header of an HTTP response, which is rounded down (RFC 9110, section
// 5.6.7).
const dateResolution = time.Second

// leadOver returns an upper bound of how far this clock is ahead of another machine's clock, which showed date at some
// time between requestedAt and respondedAt. It returns 0 if this clock need not be ahead.
func (c *clock) leadOver(date, requestedAt, respondedAt time.Time) time.Duration {
	if c.timeAt(requestedAt) < sinceUnixEpoch(date)+dateResolution {
		return 0
	}
	return c.timeAt(respondedAt) - sinceUnixEpoch(date)
}

// wallClockState holds how far the node's clock may be ahead of the clocks that date the server starts in the list.
type wallClockState struct {
	clockLead         time.Duration // the largest possible lead found so far
	clockLeadObserved bool          // found by comparison with another clock, not only by a step of this machine's
}

// checkWallClock treats a backward step of the wall clock as evidence that it was ahead when the process started.
func (l *loop) checkWallClock() { l.onClockLead(l.wallClockStepBack(), false) }

// onClockLead records that this clock may be ahead by lead and informs the balancer and the control plane. observed is
// true if the lead was found by comparison with the discovery service's clock.
func (l *loop) onClockLead(lead time.Duration, observed bool) {
	if lead <= l.clockLead && (l.clockLeadObserved || !observed) {
		return
	}
	if lead >= l.clockLead+dateResolution { // smaller changes are normal clock synchronization
		l.log.Warn("clock may be ahead", zap.Duration("lead", lead), zap.Bool("observed_at_discovery", observed))
	}
	l.clockLead, l.clockLeadObserved = max(l.clockLead, lead), l.clockLeadObserved || observed
	l.handle(balance.ClockOffset{Ahead: l.clockLead, ReferenceRead: l.clockLeadObserved})
	l.control.UpdateSlowStartLimits()
}
