// Package admin implements the node's administrative HTTP server. Operators and their platform use it to read readiness
// and metrics and to take the node out of service. The package defines the paths, the JSON of the responses and the
// limits on callers. Implementations of the interface Node define the effects of the requests.
package admin

import (
	"encoding/json"
	"net/http"
)

// Node is the node that requests act on. Its methods must not wait for a socket, a log or a queue.
type Node interface {
	// Ready reports whether this process can serve clients.
	Ready() bool
	// SetOutOfService takes the node out of service or puts it back into service. It reports whether it did so. It
	// returns false if the node is stopping.
	SetOutOfService(outOfService bool) bool
	// Metrics returns the current metrics.
	Metrics() Metrics
}

// RequestCounts counts the connections of one class by outcome.
type RequestCounts struct {
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// Metrics holds the node's metrics in the format of the response. Counters start at 0 with the process.
type Metrics struct {
	Requests        map[string]RequestCounts `json:"requests"`       // by class
	Attempts        int64                    `json:"attempts"`       // completely sent to servers
	InFlight        int64                    `json:"in_flight"`      // open client connections
	KnownServers    int64                    `json:"hosts_known"`    // in the endpoint list
	ExcludedServers int64                    `json:"hosts_excluded"` // of these, currently not chosen for new clients
}

// newHandler returns a handler that routes requests to a node.
func newHandler(node Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		writeState(w, node.Ready(), "ready", "not ready")
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, node.Metrics())
	})
	mux.HandleFunc("POST /control/out-of-service", func(w http.ResponseWriter, _ *http.Request) {
		writeState(w, node.SetOutOfService(true), "out of service", "stopping")
	})
	mux.HandleFunc("POST /control/in-service", func(w http.ResponseWriter, _ *http.Request) {
		writeState(w, node.SetOutOfService(false), "in service", "stopping")
	})
	return mux
}

// writeState responds with the positive state and status 200 if ok, else with the negative state and status 503, which
// load balancers and scripts understand.
func writeState(w http.ResponseWriter, ok bool, positive, negative string) {
	state, status := positive, http.StatusOK
	if !ok {
		state, status = negative, http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"state": state})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // fails if the caller has disconnected
}
