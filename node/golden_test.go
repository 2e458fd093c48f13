package node

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"brassmux/internal/settings"
)

// The files in testdata are the formats that other programs and other versions of this one read and write. They must
// not change.

// readGolden returns the contents of a file in testdata.
func readGolden(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// compareWithGolden compares a text with a file in testdata, line by line.
func compareWithGolden(t *testing.T, name, got string) {
	t.Helper()
	want := strings.Split(readGolden(t, name), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("%s differs at line %d: got %q, complete text:\n%s", name, i+1, line, got)
		}
	}
	if lines := strings.Count(got, "\n") + 1; lines != len(want) {
		t.Fatalf("%s has %d lines, got %d", name, len(want), lines)
	}
}

// dumpValue writes each value below a value with the path of its JSON keys, in the order of the fields.
func dumpValue(path string, value reflect.Value, out *strings.Builder) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			dumpValue(path, value.Elem(), out)
			return
		}
	case reflect.Struct:
		for i := range value.NumField() {
			key, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
			if key != "" && key != "-" {
				dumpValue(path+"."+key, value.Field(i), out)
			}
		}
		return
	case reflect.Slice:
		for i := range value.Len() {
			dumpValue(fmt.Sprintf("%s[%d]", path, i), value.Index(i), out)
		}
		return
	}
	fmt.Fprintf(out, "%s = %v\n", strings.TrimPrefix(path, "."), value)
}

// dumpConfig returns all values of a configuration with their keys.
func dumpConfig(c *Config) string {
	var text strings.Builder
	dumpValue("", reflect.ValueOf(c).Elem(), &text)
	return text.String()
}

// Guards against renamed or lost configuration keys.
func TestConfigRoundTrip(t *testing.T) {
	text := readGolden(t, "config.json")
	var cfg Config
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		t.Fatal(err)
	}
	compareWithGolden(t, "config.txt", dumpConfig(&cfg))
	encoded, err := json.MarshalIndent(cfg, "", "\t")
	if err != nil || string(encoded)+"\n" != text {
		t.Errorf("encoded as %s, %v", encoded, err)
	}
	balanceConfig := cfg.Settings.BalanceConfig()
	if balanceConfig.NodeCount != 1001 || balanceConfig.NodeIndex != 1022 ||
		balanceConfig.SlowStartWindow != settings.Microseconds(1035) {
		t.Errorf("the balancer is configured with %+v", balanceConfig)
	}
}

// Guards against changed defaults and error messages.
func TestConfigDefaultsAndErrorMessages(t *testing.T) {
	var text strings.Builder
	for line := range strings.Lines(readGolden(t, "faulty.txt")) {
		var cfg Config
		if err := json.Unmarshal([]byte(line), &cfg); err != nil {
			t.Fatal(err)
		}
		for _, fault := range cfg.Validate() {
			fmt.Fprintln(&text, fault)
		}
		text.WriteString(dumpConfig(&cfg) + "\n")
	}
	compareWithGolden(t, "faults.txt", text.String())
}

// Guards against renamed or lost counters.
func TestCounterNames(t *testing.T) {
	setQuotas := func(c *Config) {
		c.Budgets.RetriesPerSecond, c.Budgets.ListCallsPerSecond, c.Budgets.HealthChecksPerSecond,
			c.Budgets.ConnectsPerSecond = 10, 10, 10, 10
		c.Budgets.MovesPerSecond, c.Budgets.OpensPerSecond, c.Budgets.OpenPerCustomer = 10, 10, 10
	}
	var text strings.Builder
	for _, role := range []struct {
		name   string
		change func(*Config)
	}{
		{"plain", func(*Config) {}},
		{"all", func(c *Config) {
			leaseQuotas(c)
			setQuotas(c)
			c.Admin, c.ShadowSettings = "127.0.0.1:0", &c.Settings
		}},
		{"control", func(c *Config) {
			leaseQuotas(c)
			c.Peers.ChildListen = "127.0.0.1:0"
		}},
	} {
		discoveryServer := newFakeDiscovery(t, 0)
		cfg := testConfig(t, discoveryServer)
		role.change(&cfg)
		node := newTestNode(t, cfg, discoveryServer)
		var names []string
		for _, field := range node.Counters() {
			names = append(names, field.Key)
		}
		slices.Sort(names)
		fmt.Fprintf(&text, "%s\n%s\n\n", role.name, strings.Join(names, "\n"))
		node.run()
	}
	compareWithGolden(t, "counters.txt", text.String())
}

// rawLink is a hand-over socket of another process, over which a test reads and writes the bytes of messages.
type rawLink struct {
	t    *testing.T
	conn *net.UnixConn
}

func (l rawLink) write(message string) {
	l.t.Helper()
	if _, err := l.conn.Write([]byte(message)); err != nil {
		l.t.Fatal(err)
	}
}

func (l rawLink) read() string {
	l.t.Helper()
	data := make([]byte, 1<<16)
	l.conn.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := l.conn.Read(data)
	if err != nil {
		l.t.Fatal(err)
	}
	return string(data[:n])
}

var (
	agePattern  = regexp.MustCompile(`"age":\d+`)
	ratePattern = regexp.MustCompile(`"rate":[\d.]+,"rated":\d+`) // decays with time after the hand-over
	// The state has an age of 1.5 s, which grows until the hand-over.
	grownListAgePattern = regexp.MustCompile(`"list_age_ms":(1[5-9]|[2-9]\d)\d\d\b`)
)

// acceptRawLink calls start to start a node, and accepts its connection as its predecessor.
func acceptRawLink(t *testing.T, path string, start func()) rawLink {
	t.Helper()
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false)
	defer listener.Close() // later connections go to the node
	start()
	conn, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return rawLink{t, conn}
}

// dialRawLink connects to a node as its successor.
func dialRawLink(n *testNode, path string) rawLink {
	n.t.Helper()
	var conn *net.UnixConn
	n.waitFor("the hand-over socket", func() (ok bool) {
		var err error
		conn, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		return err == nil
	})
	n.t.Cleanup(func() { conn.Close() })
	return rawLink{n.t, conn}
}

// Indices of lines of handover.txt, and the number of state lines.
const (
	helloLine = iota
	firstStateLine
	stateLines   = 4
	servingLine  = 5
	releasedLine = 6
	rejectedLine = 9
)

// Guards against changed hand-over messages. A node takes over from a predecessor and hands over to a successor, and
// must pass on the state that it received. The clock starts at a fixed date.
func TestHandoverMessages(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	discoveryServer := newFakeDiscovery(t, 0)
	text := strings.NewReplacer("SERVER", srv.addr, "DISCOVERY",
		discoveryServer.addr).Replace(readGolden(t, "handover.txt"))
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	state := lines[firstStateLine:][:stateLines]
	cfg := testConfig(t, discoveryServer)
	change(&cfg)
	withoutHealthChecks(&cfg)
	cfg.TestOptions.WallClock = func() time.Time { return time.Unix(1_790_000_000, 0) }
	n := newTestNode(t, cfg, discoveryServer)
	predecessor := acceptRawLink(t, path, n.run)
	got := append([]string{predecessor.read()}, state...)
	for _, line := range state {
		predecessor.write(line)
	}
	got = append(got, predecessor.read())
	predecessor.write(lines[releasedLine])
	n.waitFor("the node to serve", func() bool { return n.lifecycle.acceptsClients() })
	successor := dialRawLink(n, path)
	successor.write(lines[helloLine])
	for _, line := range state {
		const rate = `"rate":3.5,"rated":1789999999000000000`
		message := ratePattern.ReplaceAllString(successor.read(), rate)
		if message = grownListAgePattern.ReplaceAllString(message, `"list_age_ms":1500`); message != line {
			t.Errorf("handed over as\n%s\nwant\n%s", message, line)
		}
	}
	successor.write(lines[servingLine])
	got = append(got, successor.read())
	client, _ := n.establish(srv)
	got = append(got, successor.read()) // the ID of the request
	n.stop()
	got = append(got, agePattern.ReplaceAllString(successor.read(), `"age":0`))
	successor.write(lines[rejectedLine])
	client.expect("MOVE\r\n")
	got = append(got, lines[rejectedLine])
	placeholders := strings.NewReplacer(srv.addr, "SERVER", discoveryServer.addr, "DISCOVERY")
	compareWithGolden(t, "handover.txt", placeholders.Replace(strings.Join(got, "\n"))+"\n")
}
