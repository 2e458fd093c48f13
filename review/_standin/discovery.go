package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a server in the list. Its address is filled in for each node.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`

	changed int64 // version of the last change
	host    *host
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the discovery service. It has an address for each node, so that it knows who calls.
type discovery struct {
	rec   *record
	addrs map[string]string // by node

	mu      sync.Mutex
	version int64
	entries map[string]*entry
	order   []string
	changed chan struct{} // closed at each change
	down    bool
	ended   chan struct{} // closed when watches end
	silent  chan struct{} // closed when the watches that are open fall silent
	told    map[string]map[string]time.Time

	// admit decides how long a call of a node waits, and whether it then fails.
	admit func(node string) (wait time.Duration, ok bool)
}

func newDiscovery(nodes []string, rec *record) (*discovery, error) {
	d := &discovery{rec: rec, addrs: map[string]string{}, version: 40, entries: map[string]*entry{},
		changed: make(chan struct{}), ended: make(chan struct{}), silent: make(chan struct{}), told: map[string]map[string]time.Time{}}
	for _, node := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.addrs[node] = listener.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.serve(w, r, node)
		})}
		go server.Serve(listener)
	}
	return d, nil
}

// set changes the states of servers in one new version.
func (d *discovery) set(state string, hosts ...*host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, h := range hosts {
		e := d.entries[h.id]
		if e == nil {
			e = &entry{ID: h.id, Zone: h.zone, Kind: "quad", Cell: len(d.order)/3 + 1, Weight: 1,
				Started: h.started, host: h}
			d.entries[h.id] = e
			d.order = append(d.order, h.id)
		}
		e.State, e.changed = state, d.version
		d.rec.add(time.Now(), "discovery has version %d: %s is %s", d.version, h.id, state)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// listFor returns the list or the changes after a version, for one node. d.mu must be held.
func (d *discovery) listFor(node string, since int64) list {
	result := list{Version: d.version, Full: since == 0, Servers: []entry{}}
	for _, id := range d.order {
		e := *d.entries[id]
		if e.changed <= since || result.Full && e.State == "removed" {
			continue
		}
		e.Addr = e.host.addrs[node]
		result.Servers = append(result.Servers, e)
	}
	return result
}

// known returns the whole list for one node.
func (d *discovery) known(node string) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listFor(node, 0)
}

// setDown ends all watches, and fails all calls, until it is called again.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		close(d.ended)
		d.ended = make(chan struct{})
	}
	d.rec.add(time.Now(), "discovery is down: %v", down)
}

// silence makes all open watches fall silent: their connections stay open, and nothing more comes on them.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silent)
	d.silent = make(chan struct{})
	d.rec.add(time.Now(), "all open watches fall silent")
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request, node string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	d.rec.add(time.Now(), "%s calls discovery: %s", node, r.URL)
	d.mu.Lock()
	down, admit := d.down, d.admit
	d.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if admit != nil {
		wait, ok := admit(node)
		if left := !sleep(r.Context(), wait); left || !ok {
			d.rec.add(time.Now(), "a call of %s fails after up to %.3f s", node, wait.Seconds())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	d.watch(w, r, node, since)
}

// watch writes the changes after a version, and an empty line every 2 s while nothing changes.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request, node string, since int64) {
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	for first := true; ; first = false {
		d.mu.Lock()
		changes, changed, ended, down := d.listFor(node, since), d.changed, d.ended, d.down
		d.mu.Unlock()
		if down {
			return
		}
		if first || changes.Version > since {
			line, _ := json.Marshal(changes)
			d.rec.add(time.Now(), "discovery writes to %s: version %d, %d entries", node, changes.Version,
				len(changes.Servers))
			d.noteTold(node, changes)
			fmt.Fprintf(w, "%s\n", line)
			since = changes.Version
		} else {
			fmt.Fprint(w, "\n")
		}
		w.(http.Flusher).Flush()
		if r.URL.Query().Get("follow") == "" {
			return
		}
		select {
		case <-changed:
			select {
			case <-silent:
				<-r.Context().Done()
				return
			default:
			}
		case <-time.After(2 * time.Second):
		case <-silent:
			<-r.Context().Done()
			return
		case <-ended:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// noteTold records when a node was first told that a server drains or is gone.
func (d *discovery) noteTold(node string, l list) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told[node] == nil {
		d.told[node] = map[string]time.Time{}
	}
	for _, e := range l.Servers {
		if _, ok := d.told[node][e.ID]; e.State != "up" && !ok {
			d.told[node][e.ID] = time.Now()
		}
	}
}

// toldAt returns when a node was first told that a server drains or is gone, or the zero time.
func (d *discovery) toldAt(node, server string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[node][server]
}

// sleep waits and returns false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// limit has discovery work through calls in turn; nil ends that.
func (d *discovery) limit(calls *queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admit = nil
	if calls != nil {
		d.admit = calls.admit
	}
}

// queue is a service that works through calls in turn, and fails a call that would wait too long when it has waited.
type queue struct {
	cost, timeout time.Duration // of one call; for which a call waits

	mu   sync.Mutex
	free time.Time // when the service has worked through the calls that it has taken
}

// admit takes a call, and returns how long it waits and whether it is answered then.
func (q *queue) admit(string) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	start := now
	if q.free.After(now) {
		start = q.free
	}
	if wait = start.Add(q.cost).Sub(now); wait > q.timeout {
		return q.timeout, false // it costs the service nothing
	}
	q.free = start.Add(q.cost)
	return wait, true
}
