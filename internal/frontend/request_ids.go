package frontend

import "sync"

// maxEndedPerGeneration is the maximum number of IDs of ended requests in a generation. Two generations are kept.
const maxEndedPerGeneration = 2048

// requestIDs holds the IDs of the requests that are open or ended recently. Clients use a new ID for each connection,
// so a request with a known ID does not come from the client that used it first.
type requestIDs struct {
	mu              sync.Mutex
	open            map[string]bool
	ended           map[string]bool // current generation
	previouslyEnded map[string]bool // previous generation
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]bool{}, ended: map[string]bool{}}
}

// begin adds the ID of an open request. It returns false if the ID is known.
func (r *requestIDs) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[id] || r.ended[id] || r.previouslyEnded[id] {
		return false
	}
	r.open[id] = true
	return true
}

// end moves the ID of a request from the open to the ended ones.
func (r *requestIDs) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if len(r.ended) >= maxEndedPerGeneration {
		r.previouslyEnded, r.ended = r.ended, map[string]bool{}
	}
	r.ended[id] = true
}
