package process

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against changes in the parsing of logs: the stored lines, counters, excerpts and crash report must match a
// recorded file.
func TestReadLogMatchesGoldenFile(t *testing.T) {
	var input, output strings.Builder
	input.WriteString(`{"msg":"serving","listen":"127.0.0.1:5"}` + "\n")
	for i := range 500 {
		fmt.Fprintf(&input, `{"msg":"request","id":"r%d"}`+"\n", i)
	}
	input.WriteString(`{"msg":"counters","placed":3,"name":"x"}` + "\n")
	process := &Process{Node: 7, Listening: make(chan struct{})}
	handledLines := 0
	process.readLog(strings.NewReader(input.String()), func(*Process, map[string]any) { handledLines++ })
	<-process.Listening
	addr, serving := process.Address()
	fmt.Fprintf(&output, "%s %v %v %v %q %d\n",
		addr, serving, process.Counters(), process.CountersSettled(), process.Crash(), handledLines)
	fmt.Fprintf(&output, "%s\n%s\n%s\n%d\n",
		process.LogExcerpt("r499"), process.LogExcerpt("r1"), process.LogExcerpt(""), len(process.lastLines))
	report := "WARNING: DATA RACE\n" + strings.Repeat("at f\n", 100)
	process.readLog(strings.NewReader(report), func(*Process, map[string]any) {})
	fmt.Fprintf(&output, "%s\n", process.Crash())
	want, err := os.ReadFile("testdata/log.txt")
	if err != nil || output.String() != string(want) {
		t.Errorf("%v, got:\n%s", err, &output)
	}
}
