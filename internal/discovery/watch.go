package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// WatchHandler holds the callbacks of a watch. They are called from the goroutines of the watch.
type WatchHandler struct {
	// OnEvent is called for each list or set of changes.
	OnEvent func(*EndpointList)

	// OnAlive is called once, when the first bytes of the response body arrive.
	OnAlive func()

	// OnHeartbeat is called for empty lines between two lists, which confirm that nothing has changed. Before the
	// first list they do so only if that has not arrived within firstListTime of the response header. It may be nil.
	OnHeartbeat func()

	// OnDelay is called once for a list or a set of changes that has begun to arrive at begunAt and is not complete
	// after listDelay. OnEvent for it is called later. It may be nil.
	OnDelay func(begunAt time.Time)

	// OnSilence is called each time that no data has arrived for the client's SilenceTimeout, or for
	// responseTimeFactor of that before the first data.
	OnSilence func()

	// OnDate is called with the Date header of the response and the local times between which the service set it: when
	// the request was sent and when the response header was received. It may be nil.
	OnDate func(date, sent, received time.Time)
}

// Watch calls the service at addr for the changes after a version and passes them to the handler until the watch breaks
// or ctx ends. It always returns an error with the reason. A silent watch is reported to the handler and stays open:
// later events are still passed on.
//
// A list that is older than the current one ends the watch, because one of several service instances may lag behind and
// would bring back removed servers. The next complete list is accepted even if it is older, since the service must then
// have restarted its version numbers.
//
// Watch returns ErrTooLate without a call if there is no connection by startDeadline. Zero means no deadline.
func (c *Client) Watch(
	ctx context.Context, addr string, sinceVersion int64, startDeadline time.Time, handler WatchHandler,
) error {
	responseTimeout := time.Duration(responseTimeFactor * float64(c.SilenceTimeout))
	timer := newSilenceTimer(responseTimeout, c.SilenceTimeout, handler.OnSilence)
	defer timer.stop()
	onAlive := sync.OnceFunc(handler.OnAlive)
	onData := func() {
		onAlive()
		timer.reset()
	}
	currentVersion := sinceVersion
	accept := func(list *EndpointList) error {
		if list.Version < currentVersion && !c.acceptOlderList(list) {
			return &StaleError{Version: list.Version, Current: currentVersion}
		}
		currentVersion = list.Version
		c.olderListRejected.Store(false)
		c.Counters.WatchEvents.Add(1)
		handler.OnEvent(list)
		return nil
	}
	callCtx, cancel := context.WithCancelCause(context.WithValue(ctx, startDeadlineKey{}, startDeadline))
	defer cancel(nil)
	progress := &listProgress{onDelay: handler.OnDelay, onTimeout: func() { cancel(ErrListTooSlow) }}
	if progress.onDelay == nil {
		progress.onDelay = func(time.Time) {}
	}
	defer progress.end()
	body := &listReader{onData: onData, onHeartbeat: handler.OnHeartbeat, progress: progress}
	err := c.watch(callCtx, addr, sinceVersion, body, handler.OnDate, accept)
	if callCtx.Err() != nil {
		err = context.Cause(callCtx)
	}
	c.Counters.Failures.Add(1)
	return err
}

// acceptOlderList reports whether a list that is older than the current one is accepted. It rejects the first complete
// older list and records that; it accepts the next one. It always rejects sets of changes.
func (c *Client) acceptOlderList(list *EndpointList) bool {
	return list.Full && !c.olderListRejected.CompareAndSwap(false, true)
}

// watch makes the call, reads its response through body, and passes each list to accept until either fails.
func (c *Client) watch(ctx context.Context, addr string, sinceVersion int64, body *listReader,
	onDate func(date, sent, received time.Time), accept func(*EndpointList) error,
) error {
	req, err := c.newRequest(ctx, addr, sinceVersion)
	if err != nil {
		return err
	}
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if date, err := http.ParseTime(resp.Header.Get("Date")); err == nil && onDate != nil {
		onDate(date, sent, time.Now())
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.Status}
	}
	body.body, body.respondedAt = resp.Body, time.Now()
	for decoder := json.NewDecoder(body); ; { // a list may span several lines
		body.startList(decoder.Buffered())
		var list EndpointList
		switch err := decoder.Decode(&list); {
		case err == io.EOF:
			return ErrWatchEnded
		case body.readErr != nil:
			return body.readErr
		case err != nil:
			return &ListError{Err: err}
		}
		body.progress.end()
		if err := list.Validate(); err != nil {
			return &ListError{Err: err}
		}
		if err := accept(&list); err != nil {
			return err
		}
		body.hasList = true
	}
}

// maxListBytes bounds the JSON text of a list or a set of changes. 1 MiB has room for several thousand servers and is a
// small part of the memory of the smallest machine.
const maxListBytes = 1 << 20

// listReader reads the response body of a watch: lists, and empty lines as heartbeats. It enforces maxListBytes.
type listReader struct {
	body        io.Reader
	onData      func() // called when bytes arrive
	onHeartbeat func() // called when an empty line confirms the list; may be nil
	respondedAt time.Time
	progress    *listProgress
	hasList     bool  // a list was read
	listBytes   int   // bytes since the last list
	readErr     error // the read error that ended the body, other than io.EOF
}

// firstListTime is the time from the response header within which the first list follows, if there is any.
const firstListTime = 500 * time.Millisecond

// startList begins the count of the next list's bytes. buffered holds those that were read together with the last
// list.
func (r *listReader) startList(buffered io.Reader) {
	text, _ := io.ReadAll(buffered) // a reader of memory, which cannot fail
	if r.listBytes = len(bytes.TrimSpace(text)); r.listBytes > 0 {
		r.progress.begin()
	}
}

func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.onData()
	}
	switch {
	case len(bytes.TrimSpace(p[:n])) > 0:
		r.progress.begin()
		r.listBytes += n
	case len(bytes.Trim(p[:n], "\r\n")) > 0: // white space before or within a list
		r.listBytes += n
	case n > 0:
		r.readEmptyLine()
	}
	if r.listBytes > maxListBytes {
		n, err = 0, &SizeError{MaxBytes: maxListBytes}
	}
	if err != io.EOF {
		r.readErr = err
	}
	return n, err
}

// readEmptyLine reports a heartbeat, unless the line belongs to a list or precedes the first one.
func (r *listReader) readEmptyLine() {
	isBetweenLists := !r.progress.hasBegun() && (r.hasList || time.Since(r.respondedAt) >= firstListTime)
	if isBetweenLists && r.onHeartbeat != nil {
		r.onHeartbeat()
	}
}

// responseTimeFactor is the ratio of the time that a call may wait for its first data to the silence timeout: the
// service handles calls in turn, and lets them wait for longer than it takes to send a heartbeat.
const responseTimeFactor = 1.5

// silenceGrace is the additional time for data to arrive after the silence timeout.
const silenceGrace = 100 * time.Millisecond

// silenceTimer calls onSilence if no data arrives within the timeout and a grace period after it. If this process was
// suspended, data that arrived in the meantime is read within the grace period.
type silenceTimer struct {
	timeout   time.Duration
	onSilence func()
	inGrace   atomic.Bool
	timer     *time.Timer
	started   chan struct{} // closed when the field timer is set
}

// newSilenceTimer returns a timer whose first timeout is firstTimeout.
func newSilenceTimer(firstTimeout, timeout time.Duration, onSilence func()) *silenceTimer {
	s := &silenceTimer{timeout: timeout, onSilence: onSilence, started: make(chan struct{})}
	s.timer = time.AfterFunc(firstTimeout, s.expire)
	close(s.started)
	return s
}

func (s *silenceTimer) expire() {
	<-s.started
	if s.inGrace.Swap(true) {
		s.onSilence()
		return
	}
	s.timer.Reset(silenceGrace)
}

// reset restarts the timeout.
func (s *silenceTimer) reset() {
	s.inGrace.Store(false)
	s.timer.Reset(s.timeout)
}

func (s *silenceTimer) stop() { s.timer.Stop() }
