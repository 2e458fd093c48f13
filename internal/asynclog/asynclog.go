// Package asynclog writes log lines in the background. If the log collector hangs or fails, lines are dropped and
// counted, and the goroutines that log are never blocked. The package is independent of the format of the lines.
package asynclog

import (
	"io"
	"sync/atomic"
	"time"
)

// Writer queues lines and writes them to another writer from a single goroutine, in the order of the calls. Its methods
// are safe for concurrent use.
type Writer struct {
	out             io.Writer
	queue           chan queueEntry
	formatDropped   func(dropped int64) []byte
	dropped         atomic.Int64
	reportedDropped int64 // dropped lines that were reported; only used by the goroutine of run
}

// queueEntry is a line or a flush marker. A flush marker has a channel, which is closed when all lines before it are
// written.
type queueEntry struct {
	line    []byte
	written chan<- struct{}
}

// New returns a Writer that queues up to maxQueued lines while out is busy and drops further lines. Once the queue is
// empty again, it writes the line that formatDropped returns for the number of dropped lines. Its goroutine runs until
// the process ends, because a write that hangs cannot be cancelled.
func New(out io.Writer, maxQueued int, formatDropped func(dropped int64) []byte) *Writer {
	w := &Writer{out: out, queue: make(chan queueEntry, maxQueued), formatDropped: formatDropped}
	go w.run()
	return w
}

// Write queues a copy of a line and returns without blocking. If the queue is full, the line is dropped. Write never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- queueEntry{line: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost because the queue was full or out returned an error for them.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// syncTimeout bounds Sync, so that a log collector that hangs does not delay the end of the process.
const syncTimeout = 50 * time.Millisecond

// Sync waits until all lines queued before it are written, for at most 50 ms. Lines that are not written by then are
// lost if the process ends. Sync never returns an error.
func (w *Writer) Sync() error {
	w.flush(syncTimeout)
	return nil
}

// flush waits until all lines queued before it are written. It reports whether that took no longer than timeout.
func (w *Writer) flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case w.queue <- queueEntry{written: written}:
	case <-timer.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// run writes the queued lines and reports dropped ones whenever the queue is empty. It closes the channel of each flush
// marker that it reaches.
func (w *Writer) run() {
	for entry := range w.queue {
		if entry.written == nil {
			w.writeLine(entry.line)
		}
		if len(w.queue) == 0 {
			w.reportDropped()
		}
		if entry.written != nil {
			close(entry.written)
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// reportDropped writes a line with the number of lines that were dropped since the last report.
func (w *Writer) reportDropped() {
	dropped := w.dropped.Load()
	if dropped == w.reportedDropped {
		return
	}
	if _, err := w.out.Write(w.formatDropped(dropped - w.reportedDropped)); err == nil {
		w.reportedDropped = dropped
	}
}
