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

// readyTimeout is the time in which a process must be ready after its start. The run is extended by up to this time
// while a process is not ready.
const readyTimeout = 10 * time.Second

// awaitReady polls a process that an event started until it is ready, it exits or the run ends, and records the startup
// time. It connects to the process directly, so injected link faults do not affect it.
func (r *run) awaitReady(event int, started *process.Process, startedAt time.Time) {
	const pollInterval = 5 * time.Millisecond
	ready := false
	for waiting := true; waiting && !ready; {
		select {
		case <-started.Exited:
			waiting = false
			continue
		default:
		}
		if addr, _ := started.Address(); addr != "" {
			ready = isReady(addr)
		}
		waiting = ready || r.sleep(pollInterval)
	}
	duration := time.Since(startedAt)
	if event != runStart {
		r.checker.ProcessStarted(event, duration, ready)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startingCount--; ready {
		close(started.Ready)
		r.readyDurations[event] = append(r.readyDurations[event], duration)
	} else {
		r.unreadyCounts[event]++
	}
}

// awaitAllReady waits until every started process is ready or has exited, or until readyTimeout is over.
func (r *run) awaitAllReady() {
	for deadline := time.Now().Add(readyTimeout + 100*time.Millisecond); time.Now().Before(deadline); time.Sleep(
		5 * time.Millisecond) {
		r.mu.Lock()
		starting := r.startingCount
		r.mu.Unlock()
		if starting == 0 {
			return
		}
	}
}

// isReady reports whether a node answers PING with PONG, which it does once it is ready.
func isReady(addr string) bool {
	const timeout = time.Second
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, "PING\r\n"); err != nil {
		return false
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line) == "PONG"
}

// startupTimes returns the distribution of the startup times by event.
func (r *run) startupTimes() (times []StartupTimes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := map[int]bool{}
	for event := range r.readyDurations {
		events[event] = true
	}
	for event := range r.unreadyCounts {
		events[event] = true
	}
	for _, event := range slices.Sorted(maps.Keys(events)) {
		durations, neverReady := r.readyDurations[event], r.unreadyCounts[event]
		times = append(times, StartupTimes{Event: event, Starts: len(durations) + neverReady,
			Median: percentile(durations, 0.5), P90: percentile(durations, 0.9), Max: percentile(durations, 1),
			NeverReady: neverReady})
	}
	return times
}
