package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeDiscovery is a discovery service that sends the elements of lines to its watches, and can fail the first calls.
type fakeDiscovery struct {
	addr          string
	lines         chan string
	mu            sync.Mutex
	failingCalls  int
	failureDelay  time.Duration // before a failing call is answered
	answeredCalls int           // later calls get no answer; 0 to answer all
	omitsDate     bool          // responses have no Date header
	calls         int
	sinceVersion  string // the parameter "since" of the last call
	breakWatches  func() // closes all connections
}

// lastSinceVersion returns the parameter "since" of the last call.
func (d *fakeDiscovery) lastSinceVersion() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sinceVersion
}

func newFakeDiscovery(t *testing.T, failures int) *fakeDiscovery {
	d := &fakeDiscovery{lines: make(chan string, 100), failingCalls: failures}
	httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		w.(http.Flusher).Flush()
		for {
			select {
			case <-r.Context().Done():
				return
			case line := <-d.lines:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-time.After(time.Second):
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		}
	}))
	t.Cleanup(func() { // closing the connections ends the handlers too
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	d.breakWatches = httpServer.CloseClientConnections
	d.addr = strings.TrimPrefix(httpServer.URL, "http://")
	return d
}

// sendList sends a list with entries in JSON to a watch.
func (d *fakeDiscovery) sendList(version int, full bool, entries ...string) {
	d.lines <- fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}
