package admin

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"brassmux/internal/golden"
)

var dateLine = regexp.MustCompile(`(?m)^Date: .*\n`)

// Guards against changed responses, which scripts of operators read: the status line, all headers except Date, and the
// body.
func TestGoldenResponses(t *testing.T) {
	node, _, addr := newTestServer(t, 8, time.Second)
	var output strings.Builder
	record := func(method, path, headers string) {
		conn := dial(t, addr)
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: node\r\n%s\r\n", method, path, headers)
		response, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		text := dateLine.ReplaceAllString(strings.ReplaceAll(string(response), "\r\n", "\n"), "")
		fmt.Fprintf(&output, "> %s %s %s\n%s\n", method, path, strings.TrimSpace(headers), text)
	}
	record("GET", "/control/ready", "")
	node.ready.Store(true)
	record("GET", "/control/ready", "")
	record("HEAD", "/control/ready", "")
	record("GET", "/control/counters", "")
	record("POST", "/control/out-of-service", "")
	record("POST", "/control/in-service", "")
	node.stopping.Store(true)
	record("POST", "/control/out-of-service", "")
	record("POST", "/control/in-service", "")
	record("POST", "/control/ready", "")
	record("GET", "/control/in-service", "")
	record("GET", "/control/other", "")
	record("POST", "/control/in-service", "Content-Length: 4097\r\n")
	golden.Check(t, "answers.txt", output.String())
}
