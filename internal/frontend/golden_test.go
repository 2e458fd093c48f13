package frontend

import (
	"os"
	"strings"
	"testing"

	"brassmux/internal/exchange"
)

// testdata/codes.txt has the codes of log lines, which must not change.
func TestGoldenCodes(t *testing.T) {
	want, err := os.ReadFile("testdata/codes.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, code := range []exchange.Reason{
		PingOnly, NoFirstLine, FirstLineTimedOut, FirstLineTooLong, Malformed, IDInUse, AtCapacity,
	} {
		got.WriteString(string(code) + "\n")
	}
	if got.String() != string(want) {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
}
