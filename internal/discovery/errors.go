package discovery

import (
	"errors"
	"fmt"
)

// ErrTooLate reports a call that could not be started by its deadline.
var ErrTooLate = errors.New("the deadline for the start of the discovery call has passed")

// ErrWatchEnded reports a watch that the discovery service closed.
var ErrWatchEnded = errors.New("the discovery service closed the watch")

// ErrListTooSlow reports a list whose parts took longer than maxListTime to arrive.
var ErrListTooSlow = errors.New("the discovery service sent a list too slowly")

// EndpointError reports an endpoint with an invalid field.
type EndpointError struct {
	Index   int    // in the list
	Field   string // its JSON key
	Problem string
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("servers[%d].%s %s", e.Index, e.Field, e.Problem)
}

// StatusError reports an HTTP status other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "the discovery service returned status " + e.Status }

// ListError reports a watch event that is not an endpoint list or has an invalid endpoint.
type ListError struct{ Err error }

func (e *ListError) Error() string {
	return "the discovery service sent an invalid list: " + e.Err.Error()
}

// Unwrap returns the error of the list.
func (e *ListError) Unwrap() error { return e.Err }

// StaleError reports a list that is older than the current one.
type StaleError struct{ Version, Current int64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("the discovery service sent list version %d, older than %d", e.Version, e.Current)
}

// SizeError reports a list that exceeds the size limit.
type SizeError struct{ MaxBytes int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("the discovery service sent a list of more than %d bytes", e.MaxBytes)
}
