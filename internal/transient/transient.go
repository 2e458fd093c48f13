// Package transient retries operations that fail because a system resource, such as descriptors or memory, is
// temporarily exhausted. Its callers decide which operations to retry.
package transient

import (
	"errors"
	"syscall"
	"time"
)

const (
	retryTimeout  = 2 * time.Second
	retryInterval = 20 * time.Millisecond
)

// transientErrors are the errors of socket(2), bind(2), listen(2) and open(2) that may be temporary.
var transientErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.EADDRNOTAVAIL,
}

// Is reports whether an error is or wraps a transient error.
func Is(err error) bool {
	for _, transientErr := range transientErrors {
		if errors.Is(err, transientErr) {
			return true
		}
	}
	return false
}

// Retry calls operation until it succeeds or returns an error that is not transient, for about 2 s. It returns the
// result of the last call.
func Retry(operation func() error) error {
	for deadline := time.Now().Add(retryTimeout); ; time.Sleep(retryInterval) {
		err := operation()
		if err == nil || !Is(err) || time.Now().After(deadline) {
			return err
		}
	}
}

// RetryValue is Retry for an operation that returns a value.
func RetryValue[T any](operation func() (T, error)) (value T, err error) {
	err = Retry(func() error {
		var callErr error
		value, callErr = operation()
		return callErr
	})
	return value, err
}
