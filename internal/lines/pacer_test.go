package lines

import (
	"testing"
	"time"
)

// Guards against a flow at an ordinary rate, or a burst, that is paused, and against a flow that stays paused after its
// flood has ended.
func TestFlowAtOrdinaryRateIsNotPaused(t *testing.T) {
	flow := NewPacer(1).NewFlow()
	now := time.Unix(1_800_000_000, 0)
	admit := func(count int, interval time.Duration) (paused time.Duration) {
		for range count {
			pause := flow.admit(now)
			paused += pause
			now = now.Add(interval + pause)
		}
		return paused
	}
	if paused := admit(10_000, freeLineInterval); paused > 0 {
		t.Errorf("at an ordinary rate: paused for %v", paused)
	}
	now = now.Add(time.Second)
	if paused := admit(freeBurst, 0); paused > 0 {
		t.Errorf("burst: paused for %v", paused)
	}
	if paused := admit(50_000, 0); paused < 4*time.Second {
		t.Errorf("flood of 50,000 lines: paused for %v", paused)
	}
	now = now.Add(freeBurst * freeLineInterval)
	if paused := admit(freeBurst, 0); paused > 0 {
		t.Errorf("burst after the flood: paused for %v", paused)
	}
	(*Pacer)(nil).NewFlow().Await() // without a pacer
}

// Guards against floods on several connections that together take more than the rate of one, and against pauses so
// short that the scheduler does not look for the data of other connections.
func TestFloodsShareOneRate(t *testing.T) {
	const floods, duration, cores = 50, 10 * time.Second, 2
	pacer := NewPacer(cores)
	startedAt := time.Unix(1_800_000_000, 0)
	lineCount := 0
	type flood struct {
		flow *Flow
		now  time.Time
	}
	var running []*flood
	for range floods {
		running = append(running, &flood{pacer.NewFlow(), startedAt})
	}
	for elapsed := time.Duration(0); elapsed < duration; elapsed += time.Millisecond {
		for _, f := range running {
			for f.now.Before(startedAt.Add(elapsed)) {
				pause := f.flow.admit(f.now)
				if pause > 0 && pause < minPause {
					t.Fatalf("pause of %v", pause)
				}
				f.now = f.now.Add(pause + 10*time.Microsecond) // the time that a line takes
				lineCount++
			}
		}
	}
	perFlow := freeBurst + int(duration/freeLineInterval)
	if limit := cores*int(duration/pacedLineInterval) + floods*perFlow; lineCount > limit*11/10 {
		t.Errorf("%d lines, want at most %d", lineCount, limit)
	}
}
