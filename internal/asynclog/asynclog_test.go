package asynclog

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// collector is a writer that records lines. Its writes can be made to block or to fail.
type collector struct {
	mu         sync.Mutex
	text       strings.Builder
	failWrites bool
	unblocked  chan struct{} // writes block until it is closed
}

func (c *collector) Write(line []byte) (int, error) {
	<-c.unblocked
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failWrites {
		return 0, errors.New("collector failed")
	}
	return c.text.Write(line)
}

func (c *collector) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

// flush waits until all lines are written and fails the test if that takes too long.
func flush(t *testing.T, w *Writer) {
	t.Helper()
	if !w.flush(10 * time.Second) {
		t.Fatal("the lines were not written within the timeout")
	}
}

func formatDropped(dropped int64) []byte { return fmt.Appendf(nil, "%d dropped\n", dropped) }

// Guards against lines that are lost, reordered, or changed when the caller reuses its buffer.
func TestWriteKeepsOrder(t *testing.T) {
	out := &collector{unblocked: make(chan struct{})}
	close(out.unblocked)
	w := New(out, 100, formatDropped)
	want := ""
	line := make([]byte, 0, 10)
	for i := range 100 {
		line = fmt.Appendf(line[:0], "line %d\n", i) // reuses the buffer
		w.Write(line)
		want += string(line)
	}
	flush(t, w)
	if got := out.String(); got != want || w.Dropped() != 0 {
		t.Errorf("got %q, %d dropped", got, w.Dropped())
	}
}

// Guards against a log collector that hangs and blocks the callers or the end of the process, and against dropped lines
// that are neither counted nor reported.
func TestBlockedCollectorDropsLines(t *testing.T) {
	out := &collector{unblocked: make(chan struct{})}
	w := New(out, 10, formatDropped)
	for range 1000 {
		w.Write([]byte("line\n"))
	}
	start := time.Now()
	w.Sync()
	if elapsed := time.Since(start); elapsed < syncTimeout {
		t.Errorf("Sync returned after %v, with lines in the queue", elapsed)
	}
	if got := w.Dropped(); got < 989 || got > 990 { // one line may already be out of the queue
		t.Errorf("%d dropped", got)
	}
	close(out.unblocked)
	flush(t, w)
	w.Write([]byte("last\n"))
	flush(t, w)
	written := strings.Count(out.String(), "line\n")
	if want := fmt.Sprintf("%d dropped\n", 1000-written); !strings.Contains(out.String(), want) {
		t.Errorf("got %q, want it to contain %q", out.String(), want)
	}
}

// Guards against lines that are lost in a failed write and not counted.
func TestFailedWriteCountsAsDropped(t *testing.T) {
	out := &collector{unblocked: make(chan struct{}), failWrites: true}
	close(out.unblocked)
	w := New(out, 10, formatDropped)
	w.Write([]byte("line\n"))
	flush(t, w)
	if w.Dropped() < 1 {
		t.Error("the lost line was not counted")
	}
}
