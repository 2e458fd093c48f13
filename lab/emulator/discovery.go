package emulator

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// ListKind says what the list service is like.
type ListKind struct {
	PerSecond float64       // calls that it works through, in turn
	Patience  time.Duration // a call that waits for longer fails, and is worked on all the same
	Lag       time.Duration // until it knows of a change
}

// Entry is a server in the list, as the service writes it.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`

	server *Server
}

// Call is what the service saw of one call.
type Call struct {
	At, Done time.Time
	Node     int
	Failed   bool
}

// Told is news that was written to a node.
type Told struct {
	At      time.Time
	Node    int
	Version int64
	Entries []Entry
}

// List is the list service, for all nodes.
type List struct {
	kind   ListKind
	onTold func(Told)
	onCall func(Call)

	mu      sync.Mutex
	entries []Entry // changes, by version, from 1
	changed chan struct{}
	free    time.Time // when it has done its work
	down    bool
	server  *http.Server
	addr    string
	stuck   map[int]int64 // by node: the instance that it asks has learned nothing since this version
	work    sync.WaitGroup

	Behind atomic.Int64 // lists that such an instance gave
}

// NewList makes one that is not open yet.
func NewList(kind ListKind, onTold func(Told), onCall func(Call)) *List {
	return &List{kind: kind, onTold: onTold, onCall: onCall, changed: make(chan struct{}), stuck: map[int]int64{}}
}

// Open opens the address under which the nodes reach the service.
func (l *List) Open(ways Ways) error {
	ln, err := Listen(ways)
	if err != nil {
		return err
	}
	l.server = &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			l.serve(nodeOf(from), w, r)
		}
	})}
	l.addr = ln.Addr().String()
	l.work.Go(func() { l.server.Serve(ln) })
	return nil
}

// OpenAnother opens one more address of the same service.
func (l *List) OpenAnother(ways Ways) (addr string, err error) {
	ln, err := Listen(ways)
	if err != nil {
		return "", err
	}
	l.work.Go(func() { l.server.Serve(ln) })
	return ln.Addr().String(), nil
}

// Addr is where the nodes reach it.
func (l *List) Addr() string { return l.addr }

// Change makes a change of a server known, after the lag.
func (l *List) Change(s *Server, state string) {
	started := int64(0)
	if !s.Started.IsZero() {
		started = s.Started.UnixMilli()
	}
	l.Put(Entry{ID: s.ID, State: state, Weight: 1, Started: started, server: s})
}

// Put makes a change known, after the lag, of a server that is elsewhere.
func (l *List) Put(e Entry) {
	time.AfterFunc(l.kind.Lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.entries = append(l.entries, e)
		close(l.changed)
		l.changed = make(chan struct{})
	})
}

// Known is the list as the service has it now, with the addresses for a node.
func (l *List) Known(node int) (version int64, all []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version(node), l.since(node, 0)
}

// version is that of the instance that a node asks. l.mu is held.
func (l *List) version(node int) int64 {
	if v, ok := l.stuck[node]; ok {
		return v
	}
	return int64(len(l.entries))
}

// since gives the latest of each server after a version. l.mu is held.
func (l *List) since(node int, version int64) (out []Entry) {
	at := map[string]int{}
	now := l.version(node)
	for _, e := range l.entries[min(max(version, 0), now):now] {
		if e.server != nil {
			e.Addr = e.server.Addr()
		}
		if i, ok := at[e.ID]; ok {
			out[i] = e
		} else {
			at[e.ID], out = len(out), append(out, e)
		}
	}
	return out
}

// Stick has the instance that a node asks learn nothing more, or all that it has missed.
func (l *List) Stick(node int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delete(l.stuck, node); on {
		l.stuck[node] = int64(len(l.entries))
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Down has all watches end and calls fail, or the service come back.
func (l *List) Down(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close ends it.
func (l *List) Close() {
	if l.server != nil {
		l.server.Close()
	}
	l.work.Wait()
}

// take waits for the call's turn, and tells whether it is to be answered.
func (l *List) take(r *http.Request) bool {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	if l.kind.PerSecond > 0 {
		l.free = l.free.Add(time.Duration(float64(time.Second) / l.kind.PerSecond))
	}
	wait, down := l.free.Sub(now), l.down
	l.mu.Unlock()
	late := l.kind.Patience > 0 && wait > l.kind.Patience
	if late {
		wait = l.kind.Patience
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return false
	}
	return !late && !down
}

func (l *List) serve(node int, w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	ok := l.take(r)
	l.onCall(Call{At: begun, Done: time.Now(), Node: node, Failed: !ok})
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	version, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	follow := r.URL.Query().Get("follow") == "1"
	flush := http.NewResponseController(w)
	for first := true; ; first = false {
		l.mu.Lock()
		changed, down, now := l.changed, l.down, l.version(node)
		if now < int64(len(l.entries)) {
			l.Behind.Add(1)
		}
		full := !follow || version > now || version <= 0
		if version > now {
			version = 0
		}
		news := l.since(node, version)
		l.mu.Unlock()
		if down {
			return
		}
		if first || len(news) > 0 {
			if full {
				var up []Entry
				for _, e := range news {
					if e.State != "removed" {
						up = append(up, e)
					}
				}
				news = up
			}
			line, _ := json.Marshal(map[string]any{"version": now, "full": full, "servers": append([]Entry{}, news...)})
			l.onTold(Told{At: time.Now(), Node: node, Version: now, Entries: news})
			if _, err := w.Write(append(line, '\n')); err != nil || flush.Flush() != nil || !follow {
				return
			}
			version = now
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
