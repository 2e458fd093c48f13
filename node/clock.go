package node

import (
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
)

// clock is the time of a node. It starts as the machine's wall clock and continues with the monotonic one: it never
// jumps, but keeps the error that the wall clock had when the process started. It is safe for concurrent use.
type clock struct {
	start time.Time        // of the process, with its monotonic reading
	epoch time.Duration    // the wall clock at the start, since Unix time 0
	wall  func() time.Time // the wall clock
}

func newClock(lab *TestOptions) clock {
	wall := lab.WallClock
	if wall == nil {
		wall = time.Now
	}
	offset := milliseconds(lab.ClockOffsetMS)
	c := clock{start: time.Now(), wall: func() time.Time { return wall().Add(offset) }}
	c.epoch = sinceUnix(c.wall())
	return c
}

// sinceUnix returns a reading of a wall clock as a time since Unix time 0.
func sinceUnix(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// now counts from Unix time 0, as the start times in the endpoint list do.
func (c *clock) now() time.Duration { return c.epoch + c.sinceStart() }

// sinceStart counts from the start of the process.
func (c *clock) sinceStart() time.Duration { return time.Since(c.start) }

// at is now at another moment, which has a monotonic reading.
func (c *clock) at(t time.Time) time.Duration { return c.epoch + t.Sub(c.start) }

// steppedBack returns by how much the wall clock was set back since the start; negative where it was set forward.
func (c *clock) steppedBack() time.Duration { return c.now() - sinceUnix(c.wall()) }

// dateResolution is that of the Date of an HTTP response, which is rounded down (RFC 9110, section 5.6.7).
const dateResolution = time.Second

// leadOver returns by how much this clock is ahead, at most, of another machine's that showed date between the moments
// asked and answered; 0 where it may not be ahead at all.
func (c *clock) leadOver(date, asked, answered time.Time) time.Duration {
	if c.at(asked) < sinceUnix(date)+dateResolution {
		return 0
	}
	return c.at(answered) - sinceUnix(date)
}

// wallClockState is what is known of the node's clock against those by which server starts are listed.
type wallClockState struct {
	clockLead     time.Duration // this clock may be ahead by it
	clockLeadSeen bool          // another clock was observed, not only a step of this machine's
}

// checkWallClock takes a step back of the wall clock as evidence that it was ahead at the start of the process.
func (l *loop) checkWallClock() { l.onClockLead(l.steppedBack(), false) }

// onClockLead passes on that this clock may be ahead of those by which server starts are listed; observed where such a
// clock was seen.
func (l *loop) onClockLead(lead time.Duration, observed bool) {
	if lead <= l.clockLead && (l.clockLeadSeen || !observed) {
		return
	}
	if lead >= l.clockLead+dateResolution { // less is how clocks are kept in step
		l.log.Warn("clock may be ahead", zap.Duration("lead", lead), zap.Bool("observed_at_discovery", observed))
	}
	l.clockLead, l.clockLeadSeen = max(l.clockLead, lead), l.clockLeadSeen || observed
	l.handle(balance.ClockOffset{Ahead: l.clockLead, ReferenceRead: l.clockLeadSeen})
	l.control.UpdateSlowStartLimits()
}
