package scale

import (
	"sync"
	"sync/atomic"
	"time"

	"brassmux/lab/emulator"
)

// listWorker is the role of the process that runs the list service.
type listWorker struct {
	worker        *worker
	list          *emulator.ListService
	links         *links
	streamLinks   streamLinks // of real nodes; emulated nodes shape their own streams
	isReal        map[int]bool
	calls         atomic.Int64
	failedCalls   atomic.Int64
	notifications atomic.Int64
	mu            sync.Mutex
	peak          peakMeter
}

func newListWorker(w *worker, setup *setup) (*listWorker, error) {
	l := &listWorker{worker: w, links: newLinks(setup.Links), isReal: map[int]bool{}}
	for index := range setup.RealNodeAddrs {
		l.isReal[index] = true
	}
	config := emulator.ListConfig{CallsPerSecond: setup.CallsPerSecond, QueueTimeout: 2 * time.Second}
	l.list = emulator.NewListService(config, func(emulator.Notification) { l.notifications.Add(1) },
		func(call emulator.Call) {
			l.calls.Add(1)
			if call.Failed {
				l.failedCalls.Add(1)
			}
		})
	go func() {
		for range time.Tick(time.Second) {
			l.mu.Lock()
			l.peak.sample(l.calls.Load(), l.notifications.Load()+l.calls.Load())
			l.mu.Unlock()
		}
	}()
	l.streamLinks.update(l.links, listServiceZone)
	var unshaped emulator.Direction
	if err := l.list.Open(func(index int) (in, out *emulator.Direction) {
		if !l.isReal[index] {
			return &unshaped, &unshaped
		}
		return &l.streamLinks[zoneOf(index)].in, &l.streamLinks[zoneOf(index)].out
	}); err != nil {
		return nil, err
	}
	w.send(report{Action: actionSetup, Addr: l.list.Addr()})
	return l, nil
}

func (l *listWorker) execute(cmd command) error {
	switch cmd.Action {
	case actionUpdateList:
		l.list.Update(*cmd.Endpoint)
	case actionPartition:
		l.links.partition.Store(cmd.Partition)
		l.streamLinks.update(l.links, listServiceZone)
	case actionMark:
		l.mu.Lock()
		l.peak.mark()
		l.mu.Unlock()
	case actionStart, actionBeginMeasurement:
		l.calls.Store(0)
		l.failedCalls.Store(0)
		l.notifications.Store(0)
		l.mu.Lock()
		l.peak.reset()
		l.mu.Unlock()
	}
	return nil
}

// fill sets the figures of the list service.
func (l *listWorker) fill(m *measurement) {
	m.Nodes = 1
	m.Counters = map[string]int64{"calls": l.calls.Load(), "calls_failed": l.failedCalls.Load(),
		"told": l.notifications.Load()}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.PeakRatio, m.PeakNode = l.peak.ratio(), -1
}
