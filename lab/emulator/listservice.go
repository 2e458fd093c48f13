package emulator

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	keepAliveInterval = 2 * time.Second // interval of empty lines on a watch without changes
	headerTimeout     = 10 * time.Second
)

// stateRemoved is the state of servers that are omitted from full lists.
const stateRemoved = "removed"

// ListConfig configures the capacity and the delays of the list service.
type ListConfig struct {
	CallsPerSecond   float64       // processing rate, one call at a time; 0 means no limit
	QueueTimeout     time.Duration // calls that wait longer fail but are still processed; 0 means no limit
	PropagationDelay time.Duration // from a change until the list contains it
}

// Endpoint is the entry of a server in the list.
type Endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time in milliseconds; 0 if the server started long ago

	server *Server // source of Addr; nil if Addr is set
}

// Call describes a node's call of the list service.
type Call struct {
	At, Done time.Time
	Node     int
	Failed   bool
}

// Notification describes a full list or changes that the service writes to a node.
type Notification struct {
	At        time.Time
	Node      int
	Version   int64
	Endpoints []Endpoint
}

// ListService emulates the list service for all nodes. Its methods are safe for concurrent use. The callbacks are
// called concurrently from the goroutines that serve the calls.
type ListService struct {
	config         ListConfig
	onNotification func(Notification)
	onCall         func(Call)

	mu            sync.Mutex
	changes       []Endpoint    // index i holds the change of version i+1
	changed       chan struct{} // closed and replaced when watches have to read the list again
	idleAt        time.Time     // time at which all calls received so far will be processed
	down          bool
	server        *http.Server
	addr          string
	staleVersions map[int]int64 // by node: the version at which its instance of the service stopped receiving changes
	serving       sync.WaitGroup

	StaleAnswers atomic.Int64 // lists read from an instance that lacked changes
}

// NewListService returns a service that accepts no connections before Open.
func NewListService(config ListConfig, onNotification func(Notification), onCall func(Call)) *ListService {
	return &ListService{
		config: config, onNotification: onNotification, onCall: onCall,
		changed: make(chan struct{}), staleVersions: map[int]int64{},
	}
}

// Open starts listening for calls of the nodes. Close ends it.
func (l *ListService) Open(links Links) error {
	listener, err := Listen(links)
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if remote, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			l.serve(nodeOf(remote), w, r)
		}
	}
	l.server = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(handler)}
	l.addr = listener.Addr().String()
	l.serving.Go(func() { l.server.Serve(listener) })
	return nil
}

// OpenAddress opens an additional address. The service must be open.
func (l *ListService) OpenAddress(links Links) (addr string, err error) {
	listener, err := Listen(links)
	if err != nil {
		return "", err
	}
	l.serving.Go(func() { l.server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Addr returns the address at which the nodes reach the service.
func (l *ListService) Addr() string { return l.addr }

// UpdateServer publishes the state of an emulated server after the propagation delay.
func (l *ListService) UpdateServer(server *Server, state string) {
	started := int64(0)
	if !server.Started.IsZero() {
		started = server.Started.UnixMilli()
	}
	l.Update(Endpoint{ID: server.ID, State: state, Weight: 1, Started: started, server: server})
}

// Update publishes the entry of any server after the propagation delay.
func (l *ListService) Update(endpoint Endpoint) {
	time.AfterFunc(l.config.PropagationDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.changes = append(l.changes, endpoint)
		l.wakeWatches()
	})
}

// Snapshot returns the list as it is now at the instance of the service that a node calls.
func (l *ListService) Snapshot(node int) (version int64, endpoints []Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version(node), l.changesSince(node, 0)
}

// SetStale sets whether the instance that a node calls receives no changes. When unset, it receives all missed changes.
func (l *ListService) SetStale(node int, stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delete(l.staleVersions, node); stale {
		l.staleVersions[node] = int64(len(l.changes))
	}
	l.wakeWatches()
}

// SetDown sets whether the service is down. While it is down, watches end and calls fail.
func (l *ListService) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wakeWatches()
}

// Close closes all addresses and connections, and waits until they are no longer served.
func (l *ListService) Close() {
	if l.server != nil {
		l.server.Close()
	}
	l.serving.Wait()
}

// wakeWatches makes all watches read the list again. l.mu must be held.
func (l *ListService) wakeWatches() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// version returns the list version at the instance that a node calls. l.mu must be held.
func (l *ListService) version(node int) int64 {
	if version, isStale := l.staleVersions[node]; isStale {
		return version
	}
	return int64(len(l.changes))
}

// changesSince returns the latest state of each server that changed after a version, as far as the instance that a node
// calls has received it. l.mu must be held.
func (l *ListService) changesSince(node int, version int64) (endpoints []Endpoint) {
	indexes := map[string]int{}
	latest := l.version(node)
	for _, endpoint := range l.changes[min(max(version, 0), latest):latest] {
		if endpoint.server != nil {
			endpoint.Addr = endpoint.server.Addr()
		}
		if i, found := indexes[endpoint.ID]; found {
			endpoints[i] = endpoint
		} else {
			indexes[endpoint.ID], endpoints = len(endpoints), append(endpoints, endpoint)
		}
	}
	return endpoints
}

// awaitProcessing waits until a call is processed or fails, and reports whether to answer it.
func (l *ListService) awaitProcessing(r *http.Request) bool {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	if l.config.CallsPerSecond > 0 {
		l.idleAt = l.idleAt.Add(time.Duration(float64(time.Second) / l.config.CallsPerSecond))
	}
	wait, down := l.idleAt.Sub(now), l.down
	l.mu.Unlock()
	timedOut := l.config.QueueTimeout > 0 && wait > l.config.QueueTimeout
	if timedOut {
		wait = l.config.QueueTimeout
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return false
	}
	return !timedOut && !down
}

// update is the part of the list that is sent in answer to a call or to a change.
type update struct {
	version   int64
	full      bool
	endpoints []Endpoint
	down      bool
	changed   <-chan struct{} // closed when the list has to be read again
}

// nextUpdate returns the changes after a version for a node. An unknown version counts as 0. The update is marked as
// full for version 0 and for calls that do not follow changes.
func (l *ListService) nextUpdate(node int, version int64, follow bool) update {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := update{version: l.version(node), down: l.down, changed: l.changed}
	if result.version < int64(len(l.changes)) {
		l.StaleAnswers.Add(1)
	}
	result.full = !follow || version > result.version || version <= 0
	if version > result.version {
		version = 0
	}
	result.endpoints = l.changesSince(node, version)
	return result
}

// encode returns the update as a line of JSON, and the endpoints in it.
func (u update) encode() ([]byte, []Endpoint) {
	endpoints := slices.Clone(u.endpoints)
	if u.full {
		endpoints = slices.DeleteFunc(endpoints, func(e Endpoint) bool { return e.State == stateRemoved })
	}
	if endpoints == nil {
		endpoints = []Endpoint{} // encoded as [], not null
	}
	line, _ := json.Marshal(map[string]any{"version": u.version, "full": u.full, "servers": endpoints})
	return append(line, '\n'), endpoints
}

// serve answers a call of a node.
func (l *ListService) serve(node int, w http.ResponseWriter, r *http.Request) {
	calledAt := time.Now()
	answered := l.awaitProcessing(r)
	l.onCall(Call{At: calledAt, Done: time.Now(), Node: node, Failed: !answered})
	if !answered {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	version, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	follow := r.URL.Query().Get("follow") == "1"
	l.writeUpdates(node, version, follow, w, r.Context().Done())
}

// writeUpdates writes the list. If follow is true, it then writes changes until the call ends or the service is down.
func (l *ListService) writeUpdates(
	node int, version int64, follow bool, w http.ResponseWriter, callDone <-chan struct{},
) {
	controller := http.NewResponseController(w)
	write := func(line []byte) bool {
		_, err := w.Write(line)
		return err == nil && controller.Flush() == nil
	}
	for first := true; ; first = false {
		next := l.nextUpdate(node, version, follow)
		switch {
		case next.down:
			return
		case first || len(next.endpoints) > 0:
			if !write(l.notify(node, next)) || !follow {
				return
			}
			version = next.version
		}
		select {
		case <-next.changed:
		case <-time.After(keepAliveInterval):
			if !write([]byte("\n")) {
				return
			}
		case <-callDone:
			return
		}
	}
}

// notify calls onNotification for an update that is about to be written, and returns the encoded update.
func (l *ListService) notify(node int, u update) []byte {
	line, endpoints := u.encode()
	l.onNotification(Notification{At: time.Now(), Node: node, Version: u.version, Endpoints: endpoints})
	return line
}
