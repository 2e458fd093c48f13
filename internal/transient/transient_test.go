package transient

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Guards against transient errors that are not retried, also if they are wrapped, and against retries after a permanent
// error.
func TestRetryValue(t *testing.T) {
	permanent := errors.New("permanent")
	for _, test := range []struct {
		errs      []error
		wantCalls int
		wantErr   error
	}{
		{nil, 1, nil},
		{[]error{syscall.ENFILE, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}}, 3,
			nil},
		{[]error{permanent}, 1, permanent},
		{[]error{syscall.EMFILE, fmt.Errorf("listen: %w", syscall.EADDRINUSE)}, 2, syscall.EADDRINUSE},
	} {
		calls := 0
		value, err := RetryValue(func() (int, error) {
			calls++
			if calls <= len(test.errs) {
				return 0, test.errs[calls-1]
			}
			return 7, nil
		})
		if calls != test.wantCalls || !errors.Is(err, test.wantErr) || (err == nil) != (value == 7) {
			t.Errorf("%v: %d calls, %v, %v", test.errs, calls, value, err)
		}
	}
}
