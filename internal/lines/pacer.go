package lines

import (
	"sync"
	"time"
)

const (
	// freeLineInterval is the mean time between two lines of a flow that is never paused.
	freeLineInterval = 2 * time.Millisecond
	// freeBurst is the number of lines that a flow may have at once without a pause.
	freeBurst = 100
	// pacedLineInterval is the mean time between two other lines of all flows together, for each processor core.
	pacedLineInterval = 100 * time.Microsecond
	// minPause is the shortest pause. Only a pause lets the scheduler look for the data of other connections.
	minPause = 2 * time.Millisecond
)

// Pacer bounds the processor time that connections with very many lines take from the other ones. A flow may have 500
// lines a second, with bursts of 100. What exceeds that shares 10,000 lines a second for each core with all other flows
// of the pacer.
type Pacer struct {
	interval time.Duration // between two lines over the rates of their flows

	mu       sync.Mutex
	occupied time.Time // the time for which the lines admitted so far account
}

// NewPacer returns a pacer for a process that may use a number of processor cores, at least one.
func NewPacer(cores float64) *Pacer {
	return &Pacer{interval: time.Duration(float64(pacedLineInterval) / max(cores, 1))}
}

// Flow is the sequence of lines in one direction of a connection. A nil flow is never paused.
type Flow struct {
	pacer    *Pacer
	occupied time.Time // as in Pacer, at the rate of one flow
}

// NewFlow returns a flow. A nil pacer returns nil.
func (p *Pacer) NewFlow() *Flow {
	if p == nil {
		return nil
	}
	return &Flow{pacer: p}
}

// Await waits until the next line may be processed. One goroutine may call it at a time.
func (f *Flow) Await() {
	if f == nil {
		return
	}
	if pause := f.admit(time.Now()); pause > 0 {
		time.Sleep(pause)
	}
}

// admit counts a line and returns the pause before it, 0 or at least minPause.
func (f *Flow) admit(now time.Time) time.Duration {
	const maxBurstTime = freeBurst * freeLineInterval
	if f.occupied.Before(now) {
		f.occupied = now
	}
	if next := f.occupied.Add(freeLineInterval); next.Sub(now) <= maxBurstTime {
		f.occupied = next
		return 0
	}
	return f.pacer.admit(now)
}

// admit counts a line that exceeds the rate of its flow, and returns the pause before it.
func (p *Pacer) admit(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.occupied.Before(now) {
		p.occupied = now
	}
	p.occupied = p.occupied.Add(p.interval)
	if pause := p.occupied.Sub(now); pause >= minPause {
		return pause
	}
	return 0
}
