package frontend

import "sync/atomic"

// Counts counts what the clients' side takes in.
type Counts struct {
	Accepted, AcceptErrors, Pings, Requests, Malformed, NoRoom atomic.Int64
}
