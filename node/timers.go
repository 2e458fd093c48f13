package node

import (
	"container/heap"
	"time"

	"brassmux/balance"
)

// timerOwner identifies the component that has set a timer.
type timerOwner uint8

const (
	balancerTimer timerOwner = iota
	shadowTimer
	controlTimer
)

// timer expires at a time of the node's clock.
type timer struct {
	at    time.Duration
	token uint64 // identifies the timer to the balancer or the shadow
	owner timerOwner
}

// timers is a heap of timers ordered by expiry.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push is part of heap.Interface.
func (t *timers) Push(v any) { *t = append(*t, v.(timer)) }

// Pop is part of heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// setTimer sets a timer that calls its owner after a delay.
func (l *loop) setTimer(after time.Duration, token uint64, owner timerOwner) {
	heap.Push(&l.timers, timer{at: l.now() + after, token: token, owner: owner})
}

// fireTimers calls the owners of the timers that have expired.
func (l *loop) fireTimers() {
	for now := l.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		switch t := heap.Pop(&l.timers).(timer); t.owner {
		case controlTimer:
			l.control.Tick()
		case shadowTimer:
			l.shadow.now = now
			l.shadow.handle(balance.TimerFired{Token: t.token})
		case balancerTimer:
			l.handle(balance.TimerFired{Token: t.token})
		}
	}
}
