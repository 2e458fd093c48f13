package fleet

import (
	"container/heap"
	"time"
)

// scheduledEvent is a function that runs at a virtual time.
type scheduledEvent struct {
	at       time.Duration
	sequence int // order among events of the same time
	run      func()
}

// eventQueue is a heap.Interface ordered by time, then by sequence.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int)   { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(event any) { *q = append(*q, event.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs a function after a delay. Functions scheduled for the same time run in the order of their scheduling.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, scheduledEvent{sim.now + delay, sim.lastSequence, run})
}

// runUntil runs the scheduled events in order, up to and including the virtual time end.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		if next.at > end {
			return
		}
		sim.now = next.at
		next.run()
	}
}
