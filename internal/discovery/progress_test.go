package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a change that is missing from the list at hand without notice because it arrives in parts, and against
// notice of a change that arrives at once, or after the change.
func TestWatchReportsDelayedList(t *testing.T) {
	const first, change = `{"version":41,"full":true,"servers":[]}`, `{"version":42,"full":false,"servers":[]}`
	parts := []string{first + "\n", change[:10], change[10:20], change[20:] + "\n" + first[:1], first[1:] + "\n"}
	reported := make(chan struct{})
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		for i, part := range parts {
			fmt.Fprint(w, part)
			w.(http.Flusher).Flush()
			if i == 1 {
				<-reported
			}
			time.Sleep(listDelay / 5)
		}
	})
	var events []string
	calledAt := time.Now()
	client.Client.Watch(context.Background(), client.addr, 0, time.Time{}, WatchHandler{
		OnEvent: func(list *EndpointList) { events = append(events, fmt.Sprint(list.Version)) },
		OnDelay: func(begunAt time.Time) {
			if waited := time.Since(begunAt); begunAt.Before(calledAt) || waited < listDelay {
				t.Errorf("reported %v after its beginning", waited)
			}
			events = append(events, "delay")
			close(reported)
		},
		OnAlive:   func() {},
		OnSilence: func() { t.Error("a watch with data counts as silent") },
	})
	if got := strings.Join(events, " "); got != "41 delay 42" { // 41 is older the second time
		t.Errorf("got %s", got)
	}
}

// Guards against a watch that waits for the rest of a list for ever, and against an error that does not name the cause.
func TestSlowListEndsWatch(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"version":41,`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	var progress *listProgress
	ctx, cancel := context.WithCancelCause(context.Background())
	timedOut := make(chan struct{})
	progress = &listProgress{onDelay: func(time.Time) { t.Error("an early report") },
		onTimeout: func() { cancel(ErrListTooSlow); close(timedOut) }}
	progress.begin()
	progress.mu.Lock()
	progress.begunAt = time.Now().Add(-maxListTime)
	progress.mu.Unlock()
	<-timedOut
	progress.end()
	err := client.Watch(ctx, 0, func(*EndpointList) {})
	if !errors.Is(err, ErrListTooSlow) {
		t.Errorf("got %v", err)
	}
}

// Guards against the report of a list that is complete, by a timer that fires late.
func TestCompleteListIsNotReported(t *testing.T) {
	progress := &listProgress{onDelay: func(time.Time) { t.Error("reported") }, onTimeout: func() { t.Error("ended") }}
	for range 5 {
		progress.begin()
		progress.end()
		progress.expire()
		progress.begin()
		progress.expire() // of the timer of the list before
		progress.end()
	}
	time.Sleep(listDelay + listDelay/2)
	if progress.hasBegun() {
		t.Error("a complete list counts as begun")
	}
}
