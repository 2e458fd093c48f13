package rig

import (
	"bufio"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"brassmux/lab/process"
)

// readyWithin is the time in which a process is to be ready after its start. The day goes on for as long while one is not.
const readyWithin = 10 * time.Second

// awaitReady asks a process that an event has started whether it is ready, past all faults, until it is, has ended or the day has.
func (r *rig) awaitReady(event int, p *process.Process, begun time.Time) {
	const again = 5 * time.Millisecond
	ready := false
	for going := true; going && !ready; {
		select {
		case <-p.Exited:
			going = false
			continue
		default:
		}
		if addr, _ := p.Address(); addr != "" {
			ready = ping(addr)
		}
		going = ready || r.sleep(again)
	}
	took := time.Since(begun)
	if event != dayStart {
		r.ref.ProcessStarted(event, took, ready)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starting--; ready {
		close(p.Ready)
		r.ready[event] = append(r.ready[event], took)
	} else {
		r.unready[event]++
	}
}

// allReady waits until no process is on its way to be ready, or all have had the time for it.
func (r *rig) allReady() {
	for until := time.Now().Add(readyWithin + 100*time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		starting := r.starting
		r.mu.Unlock()
		if starting == 0 {
			return
		}
	}
}

// ping tells whether a node says that it is ready.
func ping(addr string) bool {
	const patience = time.Second
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, "PING\r\n"); err != nil {
		return false
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line) == "PONG"
}

// readies sums up how long starts took, by event.
func (r *rig) readies() (all []StartupTimes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := map[int]bool{}
	for event := range r.ready {
		events[event] = true
	}
	for event := range r.unready {
		events[event] = true
	}
	for _, event := range slices.Sorted(maps.Keys(events)) {
		took, never := r.ready[event], r.unready[event]
		all = append(all, StartupTimes{Event: event, Starts: len(took) + never, Median: within(took, 0.5), P90: within(took, 0.9), Max: within(took, 1), NeverReady: never})
	}
	return all
}
