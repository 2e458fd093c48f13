package exchange

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// checkGolden compares a text with the contents of a file in testdata.
func checkGolden(t *testing.T, file, got string) {
	t.Helper()
	want, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// testdata/codes.txt has the codes of log lines, which must not change.
func TestGoldenCodes(t *testing.T) {
	var got strings.Builder
	for _, code := range []Reason{Rejected, Failed, ClientLeft, ClientEnded, ClientReset, ServerEnded, ServerMoved,
		ServerReset, ServerSilent, Moved, WroteEarly, LineTooLong, HandedOver} {
		got.WriteString(string(code) + "\n")
	}
	checkGolden(t, "codes.txt", got.String())
}

// testdata/heads.txt has the result of parsing each first line, and the line that is sent to a server with 1.5 s left.
func TestGoldenHeads(t *testing.T) {
	var got strings.Builder
	for _, line := range []string{
		"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,r=1\r\n", "OPEN a b d=500,at=s-5be2,c=chat,again=1\r\n",
		"OPEN a b c=x,d=0.5\r\n", "OPEN a b h=3,r=0,again=0,z=,c=x,d=1e3\r\n", "OPEN a b c=x,d=86400000\r\n",
		"OPEN a b c=x,d=86400001\r\n", "OPEN a b r=1,again=0,c=x,d=1,g=,at=\r\n", "OPEN a b c=x,d=5,r=2\r\n",
		"OPEN " + strings.Repeat("i", 128) + " b c=x,d=9\r\n", "OPEN " + strings.Repeat("i", 129) + " b c=x,d=9\r\n",
		"open a b c=x,d=5\r\n", "OPEN a b c=x,d=5\n", "OPEN a b c=x\r\n", "STATS\r\n", "",
	} {
		head, err := ParseHead([]byte(line))
		if err != nil {
			fmt.Fprintf(&got, "%q: error %q\n", line, err)
			continue
		}
		var sent bytes.Buffer
		buffers := head.WithTimeout(1500 * time.Millisecond)
		if _, err := buffers.WriteTo(&sent); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%q: %q %q %q %q %q %v %v sent %q\n", line, head.ID, head.Key, head.Class, head.Group,
			head.PreviousServer, head.IsRepeat, head.Timeout, sent.Bytes())
	}
	checkGolden(t, "heads.txt", got.String())
}
