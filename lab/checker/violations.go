package checker

import "fmt"

// Violations counts the violations of each rule. Its JSON keys are part of the format of stored results.
type Violations struct {
	Unanswered       int `json:"unanswered"` // requests without a final answer in time
	AfterFinalAnswer int `json:"after"`      // answers after a final answer, or without a request
	Concurrent       int `json:"twice"`      // attempts that started while another one of the request was in progress
	Repeated         int `json:"repeated"`   // attempts that may execute a request again
	AfterDeparture   int `json:"for_nobody"` // attempts that started too long after the client had left
	NotClosed        int `json:"held"`       // clients without a request that were not disconnected in time
	LateSends        int `json:"late_sends"` // attempts at a draining or removed server after the grace period
	SlowStart        int `json:"over_whole"` // windows with too many attempts at a server in slow start
	RateLimits       int `json:"over_rates"` // windows in which a rate limit was exceeded
	Asserted         int `json:"asserted"`   // violations that the program detected and prevented
	Crashed          int `json:"crashed"`    // processes that crashed or in which the race detector found a data race
	Unready          int `json:"unready"`    // events with over 10% of the started processes not ready in time
}

// Any reports whether a rule was violated.
func (v Violations) Any() bool { return v != Violations{} }

// String returns the form in which the commands print the counts, which differs from the names of the fields.
func (v Violations) String() string {
	return fmt.Sprintf("{Unanswered:%d After:%d Twice:%d Repeated:%d Gone:%d Held:%d Late:%d Over:%d Rates:%d "+
		"Asserted:%d Crashed:%d Unready:%d}",
		v.Unanswered, v.AfterFinalAnswer, v.Concurrent, v.Repeated, v.AfterDeparture, v.NotClosed, v.LateSends,
		v.SlowStart, v.RateLimits, v.Asserted, v.Crashed, v.Unready)
}
