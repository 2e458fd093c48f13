// Package asynclog writes log lines in the background. A log collector that hangs or has gone then costs lines, which are
// counted, and never the time of whoever logs.
package asynclog

import (
	"io"
	"sync/atomic"
	"time"
)

// Writer passes lines on to another writer, from one goroutine of its own, in the order in which they came. Its methods may be
// called from any goroutine.
type Writer struct {
	out     io.Writer
	queue   chan entry
	report  func(dropped int64) []byte
	dropped atomic.Int64
	told    int64 // of those dropped, how many a line has reported; owned by the goroutine that writes
}

// entry is a line, or the mark of a Sync that waits for what came before it.
type entry struct {
	line    []byte
	written chan<- struct{}
}

// New makes a Writer that keeps up to queued lines while out is busy. Lines beyond that are dropped. Once the queue
// is empty again one line made by report tells how many were dropped since the last such line. The goroutine lives as long as
// the process, since a write that hangs cannot be ended.
func New(out io.Writer, queued int, report func(dropped int64) []byte) *Writer {
	w := &Writer{out: out, queue: make(chan entry, queued), report: report}
	go w.run()
	return w
}

// Write queues a copy of a line and returns at once. It never fails: a line that finds the queue full is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- entry{line: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were lost: the queue was full, or out returned an error.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// syncWithin bounds Sync: a process that ends must not wait for a collector that hangs.
const syncWithin = 50 * time.Millisecond

// Sync waits until all lines that came before it are written, for 50 ms at most. It returns no error: what is not written then
// is lost with the process.
func (w *Writer) Sync() error {
	w.flush(syncWithin)
	return nil
}

// flush tells whether all lines that came before it were written in time.
func (w *Writer) flush(within time.Duration) bool {
	end := time.NewTimer(within)
	defer end.Stop()
	written := make(chan struct{})
	select {
	case w.queue <- entry{written: written}:
	case <-end.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-end.C:
		return false
	}
}

func (w *Writer) run() {
	for e := range w.queue {
		if e.written == nil {
			w.write(e.line)
		}
		if len(w.queue) == 0 {
			w.reportDropped()
		}
		if e.written != nil {
			close(e.written)
		}
	}
}

func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) reportDropped() {
	dropped := w.dropped.Load()
	if dropped == w.told {
		return
	}
	if _, err := w.out.Write(w.report(dropped - w.told)); err == nil {
		w.told = dropped
	}
}
