package scale

import (
	"time"
)

// peakMeter measures the load peak at one receiver, second by second: the mean of its load before the mark, and the
// maximum of the received messages per second after it.
type peakMeter struct {
	lastReceived, handledAtStart int64
	maxRate                      float64
	startedAt                    time.Time
	markedAt                     time.Time
	baselineRate                 float64
	sampledAt                    time.Time // time of lastReceived
}

// minBaselineRate is the lowest baseline in messages per second. Below it, the messages of one second vary too much by
// chance.
const minBaselineRate = 10

func (p *peakMeter) reset() { *p = peakMeter{} }

// sample takes the totals of the messages received and of the messages handled so far.
func (p *peakMeter) sample(received, handled int64) {
	now := time.Now()
	switch {
	case p.startedAt.IsZero():
		p.handledAtStart, p.startedAt = handled, now
	case p.markedAt.IsZero():
		p.baselineRate = float64(handled-p.handledAtStart) / now.Sub(p.startedAt).Seconds()
	default: // the second that contains the mark counts as a whole
		p.maxRate = max(p.maxRate, float64(received-p.lastReceived)/now.Sub(p.sampledAt).Seconds())
	}
	p.lastReceived, p.sampledAt = received, now
}

// mark ends the baseline.
func (p *peakMeter) mark() { p.markedAt = time.Now() }

// ratio returns the maximum rate divided by the baseline, or 0 without a mark.
func (p *peakMeter) ratio() float64 { return p.maxRate / max(p.baselineRate, minBaselineRate) }
