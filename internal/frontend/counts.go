package frontend

import "sync/atomic"

// Counts counts what the clients' side takes in; Unanswered are requests whose connections ended before they were answered or left,
// which is a fault of the program.
type Counts struct {
	Accepted, AcceptErrors, Pings, Requests, Malformed, NoRoom, Unanswered atomic.Int64
}
