package budget

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Data that is not a message, such as another type or an array of another length, has to result in a DecodeError that
// wraps the decoder's error.
func TestDecodeErrors(t *testing.T) {
	shortArray, err := cbor.Marshal([]any{false, 1, 2})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][]byte{"empty": nil, "number": {0x07}, "truncated": {0x91, 0xf4}, "short array": shortArray}
	for name, data := range cases {
		message, err := DecodeMessage(data)
		var decodeError *DecodeError
		if message != nil || !errors.As(err, &decodeError) || errors.Unwrap(decodeError) == nil {
			t.Errorf("%s: decoded as %v, error %v", name, message, err)
		}
	}
}
