package scale

import (
	"sync"
	"time"
)

// delaySampleInterval is the time between two samples of the delay of a process. A sample above lateThreshold counts
// as late: this is also the timeout of a request for a unit.
const (
	delaySampleInterval = 20 * time.Millisecond
	lateThreshold       = unitTimeout
)

// delayMonitor measures how much later than planned a sleeping goroutine of the process resumes.
type delayMonitor struct {
	mu                   sync.Mutex
	maxDelay             time.Duration
	samples, lateSamples float64
}

// run takes samples until done is closed.
func (m *delayMonitor) run(done <-chan struct{}) {
	for {
		start := time.Now()
		select {
		case <-done:
			return
		case <-time.After(delaySampleInterval):
		}
		delay := time.Since(start) - delaySampleInterval
		m.mu.Lock()
		m.maxDelay = max(m.maxDelay, delay)
		if m.samples++; delay > lateThreshold {
			m.lateSamples++
		}
		m.mu.Unlock()
	}
}

// reset discards all samples.
func (m *delayMonitor) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxDelay, m.samples, m.lateSamples = 0, 0, 0
}

// results returns the maximum delay in milliseconds and the fraction of the samples that were late.
func (m *delayMonitor) results() (maxDelayMS, lateRatio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.maxDelay.Microseconds()) / 1000, m.lateSamples / max(m.samples, 1)
}
