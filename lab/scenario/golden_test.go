package scenario

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

//go:embed testdata/scenarios
var embedded embed.FS

// settings is a minimal scenario.
type settings struct {
	For   Duration
	Nodes int
}

func (s *settings) Check() error {
	if s.Nodes == 0 {
		return errors.New("no nodes")
	}
	return nil
}

// Guards against changes of the file format and the errors: decoded values and errors must match a recorded file.
func TestParseAndLoadMatchGoldenFile(t *testing.T) {
	var output strings.Builder
	for _, data := range []string{
		"For = '1.5s'\nNodes = 3\n", "Nodes = 0\n", "Nodes = 1\nMore = 2\n", "Nodes = 1\n[a]\nb = 2\n", "Nodes = 'x'\n",
		"For = '5'\nNodes = 1\n", "Nodes = \n", "",
	} {
		var s settings
		err := Parse([]byte(data), &s)
		duration, _ := s.For.MarshalText()
		fmt.Fprintf(&output, "%q: %s %v %d: %v\n", data, duration, time.Duration(s.For), s.Nodes, err)
	}
	var s settings
	fmt.Fprintln(&output, Load(embedded, "testdata/scenarios/faulty.toml", &s))
	fmt.Fprintln(&output, Load(embedded, "testdata/scenarios/good.toml", &s), s.Nodes)
	fmt.Fprintln(&output, Load(embedded, "none", &s))
	want, err := os.ReadFile("testdata/golden.txt")
	if err != nil || output.String() != string(want) {
		t.Errorf("%v, got:\n%s", err, &output)
	}
}
