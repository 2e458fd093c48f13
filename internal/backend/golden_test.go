package backend

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// testdata/reports.txt has the utilisation that is parsed from each line of a server.
func TestGoldenReports(t *testing.T) {
	want, err := os.ReadFile("testdata/reports.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	client := New(Config{LoadField: "x0"}, nil, nil)
	for _, line := range []string{
		"PONG eps=0,rif=3,x0=0.75\r\n", "BYE x0=1\r\n", "PONG x0=1e3\n", "PONG\r\n", "PONG a b\r\n", "x0=1\r\n",
		"PONG x0=-1\r\n", "PONG x0=inf\r\n", "PONG x0=nan\r\n", "PONG x0=much,x0=2\r\n", "PONG x0=1 x0=2\r\n",
		"PONG x0=0.5,x0=-3\r\n", "PONG x0\r\n", "PONG =\r\n", "BUSY x0=2,\r\n", "",
	} {
		if report := client.ParseLoadReport([]byte(line)); report == nil {
			fmt.Fprintf(&got, "%q: none\n", line)
		} else {
			fmt.Fprintf(&got, "%q: %v\n", line, report.Utilisation)
		}
	}
	if got.String() != string(want) {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
}
