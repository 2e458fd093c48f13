package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeDiscovery is a discovery service that sends the elements of lines to its watches, and can fail the first calls.
type fakeDiscovery struct {
	addr          string
	lines         chan string
	parts         chan string // of lines, sent without a line ending
	mu            sync.Mutex
	failingCalls  int
	failureDelay  time.Duration // before a failing call is answered
	answeredCalls int           // later calls get no answer; 0 to answer all
	omitsDate     bool          // responses have no Date header
	calls         int
	sinceVersion  string // the parameter "since" of the last call
	breakWatches  func() // closes all connections

	silent  chan struct{} // closed by silence
	resumed chan struct{} // closed by resume
}

// silence ends the data on open watches, whose connections stay open. Later calls are kept waiting until resume.
func (d *fakeDiscovery) silence() { close(d.silent) }

// resume lets the calls go on that wait since silence.
func (d *fakeDiscovery) resume() { close(d.resumed) }

// awaitResume returns at once unless silence was called. Then it waits for resume or the end of a call, and returns
// whether the call goes on, with the channel that is closed when its watch falls silent; nil if it does not.
func (d *fakeDiscovery) awaitResume(call context.Context) (silent <-chan struct{}, goesOn bool) {
	select {
	case <-d.silent:
	default:
		return d.silent, true
	}
	select {
	case <-d.resumed:
		return nil, true
	case <-call.Done():
		return nil, false
	}
}

// lastSinceVersion returns the parameter "since" of the last call.
func (d *fakeDiscovery) lastSinceVersion() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sinceVersion
}

func newFakeDiscovery(t *testing.T, failures int) *fakeDiscovery {
	d := &fakeDiscovery{lines: make(chan string, 100), parts: make(chan string), failingCalls: failures,
		silent: make(chan struct{}), resumed: make(chan struct{})}
	httpServer := httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() { // closing the connections ends the handlers too
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	d.breakWatches = httpServer.CloseClientConnections
	d.addr = strings.TrimPrefix(httpServer.URL, "http://")
	return d
}

// serve handles a call.
func (d *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	d.sinceVersion = r.URL.Query().Get("since")
	fails := d.calls <= d.failingCalls
	isUnanswered, delay := d.answeredCalls > 0 && d.calls > d.answeredCalls, d.failureDelay
	if d.omitsDate {
		w.Header()["Date"] = nil
	}
	d.mu.Unlock()
	if isUnanswered {
		<-r.Context().Done()
		return
	} else if fails {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
		http.Error(w, "later", http.StatusServiceUnavailable)
		return
	}
	if silent, goesOn := d.awaitResume(r.Context()); goesOn {
		d.serveWatch(r.Context(), w.(watchWriter), silent)
	}
}

// watchWriter is the part of a response that a watch uses.
type watchWriter interface {
	io.Writer
	http.Flusher
}

// serveWatch sends lines and heartbeats until the watch ends, or none once it is silent.
func (d *fakeDiscovery) serveWatch(watch context.Context, w watchWriter, silent <-chan struct{}) {
	for {
		w.Flush()
		select {
		case <-watch.Done():
			return
		case <-silent:
			<-watch.Done()
			return
		case line := <-d.lines:
			fmt.Fprintln(w, line)
		case part := <-d.parts:
			fmt.Fprint(w, part)
		case <-time.After(time.Second):
			fmt.Fprintln(w)
		}
	}
}

// sendListInParts sends a list in parts over a time. A heartbeat would interrupt it.
func (d *fakeDiscovery) sendListInParts(over time.Duration, version int, full bool, entries ...string) {
	const parts = 20
	list := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
	for part := range slices.Chunk([]byte(list), len(list)/parts) {
		d.parts <- string(part)
		time.Sleep(over / (parts + 1))
	}
}

// sendList sends a list with entries in JSON to a watch.
func (d *fakeDiscovery) sendList(version int, full bool, entries ...string) {
	d.lines <- fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}
