package wire

import (
	"errors"
	"strings"
	"testing"
)

// Guards against invalid input that is accepted, or reported with the wrong error or line number.
func TestReadErrors(t *testing.T) {
	const tick = `{"TICK":{"at_time_us":1}}` + "\n"
	for name, test := range map[string]struct {
		input string
		line  int
		want  error
	}{
		"no tick":         {`{"COMMIT":{}}` + "\n", 1, ErrNoTick},
		"two ticks":       {tick + tick, 2, ErrUnexpectedTick},
		"unknown message": {tick + "{}\n", 2, ErrUnknownMessage},
		"no line feed":    {tick + "{}", 2, ErrTruncatedLine},
		"no commit":       {tick, 1, ErrTruncatedBatch},
	} {
		_, err := NewReader(strings.NewReader(test.input)).Read()
		if lineErr := (&LineError{}); !errors.As(err, &lineErr) || lineErr.Line != test.line ||
			!errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want line %d: %v", name, err, test.line, test.want)
		}
	}
	_, err := NewReader(strings.NewReader(tick + `{"PONG":{"ending":9}}` + "\n")).Read()
	if outcomeErr := (&OutcomeError{}); !errors.As(err, &outcomeErr) || outcomeErr.Code != 9 {
		t.Errorf("unknown outcome: got %v, want an *OutcomeError with code 9", err)
	}
}
