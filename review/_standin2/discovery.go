package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is a server in discovery's list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
	version   int64
}

// discovery stands in for the service: the whole list, or a watch with an empty line every 2 s.
type discovery struct {
	rec  *record
	name string
	addr string

	mu      sync.Mutex
	version int64
	entries map[string]entry
	changed chan struct{} // closed at the next change of the list or the mode
	mode    discoveryMode
	silent  time.Time // watches that were opened before say nothing any more

	pieceSize int           // of the pieces in which each change is written; 0 for one piece
	pause     time.Duration // between two pieces
	wait      time.Duration // before a call fails, in the mode failing
	calls     int

	server *http.Server
}

type discoveryMode int

const (
	answering discoveryMode = iota
	failing                 // a call waits for a while and then ends with 503; open watches have ended
)

func newDiscovery(rec *record, name string, version int64) (*discovery, error) {
	d := &discovery{rec: rec, name: name, version: version, entries: map[string]entry{}, changed: make(chan struct{})}
	return d, d.listen("127.0.0.1:0")
}

func (d *discovery) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	d.addr = ln.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.server.Serve(ln)
	return nil
}

// stop ends the service: watches end and calls are refused.
func (d *discovery) stop() { d.server.Close() }

// restart brings the service back at the same address.
func (d *discovery) restart() error { return d.listen(d.addr) }

func (d *discovery) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// set changes entries of the list, all in one version.
func (d *discovery) set(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		e.version = d.version
		d.entries[e.ID] = e
		d.rec.logf("discovery %s: version %d has %s %s", d.name, d.version, e.ID, e.State)
	}
	d.notify()
}

func (d *discovery) setMode(mode discoveryMode, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode, d.wait = mode, wait
	d.notify()
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// since returns the entries that changed after a version, or the whole list.
func (d *discovery) since(version int64) list {
	l := list{Version: d.version, Full: version <= 0 || version > d.version, Servers: []entry{}}
	for _, e := range d.entries {
		if l.Full && e.State != "removed" || !l.Full && e.version > version {
			l.Servers = append(l.Servers, e)
		}
	}
	sort.Slice(l.Servers, func(i, j int) bool { return l.Servers[i].ID < l.Servers[j].ID })
	return l
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	mode, wait := d.mode, d.wait
	d.mu.Unlock()
	d.rec.logf("discovery %s: call %s", d.name, r.URL.RawQuery)
	if mode == failing {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		d.rec.logf("discovery %s: call ended with 503", d.name)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	openedAt := time.Now()
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	first := true
	for {
		d.mu.Lock()
		mode, changed := d.mode, d.changed
		l, isSilent := d.since(since), openedAt.Before(d.silent)
		d.mu.Unlock()
		if mode == failing {
			return // watches end
		}
		if !isSilent && (len(l.Servers) > 0 || l.Full && first || first && since == l.Version) {
			if len(l.Servers) > 0 || l.Full {
				d.rec.logf("discovery %s: wrote version %d with %d entries", d.name, l.Version, len(l.Servers))
				data, _ := json.Marshal(l)
				d.write(w, append(data, '\n'), l.Full)
			}
			since = l.Version
			flusher.Flush()
		}
		if r.URL.Query().Get("follow") == "" {
			return
		}
		first = false
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if !isSilent {
				w.Write([]byte("\n"))
				flusher.Flush()
			}
		}
	}
}

// write writes a list, and a change in pieces with pauses if these are set.
func (d *discovery) write(w http.ResponseWriter, data []byte, full bool) {
	d.mu.Lock()
	size, pause := d.pieceSize, d.pause
	d.mu.Unlock()
	if full || size == 0 {
		size = len(data)
	}
	for first := true; len(data) > 0; first = false {
		if !first {
			time.Sleep(pause)
		}
		n := min(size, len(data))
		w.Write(data[:n])
		w.(http.Flusher).Flush()
		d.rec.logf("discovery %s: wrote %d bytes, %d are left", d.name, n, len(data)-n)
		data = data[n:]
	}
}

// silenceWatches makes all watches that are open now say nothing any more.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	d.silent = time.Now()
	d.mu.Unlock()
}
