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

// The files in testdata hold what other programs and other versions read and write: they stay as they are, byte for
// byte.

func golden(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sameAsGolden compares a text with a file, line by line.
func sameAsGolden(t *testing.T, name, got string) {
	t.Helper()
	want := strings.Split(golden(t, name), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("%s differs at line %d: got %q, all of it is\n%s", name, i+1, line, got)
		}
	}
	if n := strings.Count(got, "\n") + 1; n != len(want) {
		t.Fatalf("%s has %d lines, not %d", name, len(want), n)
	}
}

// dump writes each value with the path of its keys, in the order of the fields.
func dump(path string, v reflect.Value, to *strings.Builder) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			dump(path, v.Elem(), to)
			return
		}
	case reflect.Struct:
		for i := range v.NumField() {
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if key != "" && key != "-" {
				dump(path+"."+key, v.Field(i), to)
			}
		}
		return
	case reflect.Slice:
		for i := range v.Len() {
			dump(fmt.Sprintf("%s[%d]", path, i), v.Index(i), to)
		}
		return
	}
	fmt.Fprintf(to, "%s = %v\n", strings.TrimPrefix(path, "."), v)
}

func dumped(c *Config) string {
	var text strings.Builder
	dump("", reflect.ValueOf(c).Elem(), &text)
	return text.String()
}

func TestAConfigurationWithEveryKeyIsReadAndWritten(t *testing.T) {
	text := golden(t, "config.json")
	var c Config
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		t.Fatal(err)
	}
	sameAsGolden(t, "config.txt", dumped(&c))
	again, err := json.MarshalIndent(c, "", "\t")
	if err != nil || string(again)+"\n" != text {
		t.Errorf("written as %s, %v", again, err)
	}
	set := c.Settings.BalanceConfig()
	if set.NodeCount != 1001 || set.NodeIndex != 1022 || set.SlowStartWindow != settings.Microseconds(1035) {
		t.Errorf("decided by %+v", set)
	}
}

func TestTheDefaultsOfAConfigurationAndTheMessagesOfItsFaults(t *testing.T) {
	var text strings.Builder
	for in := range strings.Lines(golden(t, "faulty.txt")) {
		var c Config
		if err := json.Unmarshal([]byte(in), &c); err != nil {
			t.Fatal(err)
		}
		for _, fault := range c.Validate() {
			fmt.Fprintln(&text, fault)
		}
		text.WriteString(dumped(&c) + "\n")
	}
	sameAsGolden(t, "faults.txt", text.String())
}

func TestNamesOfCounters(t *testing.T) {
	rates := func(c *Config) {
		c.Budgets.RetriesPerSecond, c.Budgets.ListCallsPerSecond, c.Budgets.HealthChecksPerSecond,
			c.Budgets.ConnectsPerSecond = 10, 10, 10, 10
		c.Budgets.MovesPerSecond, c.Budgets.OpensPerSecond, c.Budgets.OpenPerCustomer = 10, 10, 10
	}
	var text strings.Builder
	for _, n := range []struct {
		role   string
		change func(*Config)
	}{
		{"plain", func(*Config) {}},
		{"all", func(c *Config) {
			leaseQuotas(c)
			rates(c)
			c.Admin, c.ShadowSettings = "127.0.0.1:0", &c.Settings
		}},
		{"control", func(c *Config) {
			leaseQuotas(c)
			c.Peers.ChildListen = "127.0.0.1:0"
		}},
	} {
		list := newFakeDiscovery(t, 0)
		cfg := testConfig(t, list)
		n.change(&cfg)
		made := newTestNode(t, cfg, list)
		var names []string
		for _, f := range made.Counters() {
			names = append(names, f.Key)
		}
		slices.Sort(names)
		fmt.Fprintf(&text, "%s\n%s\n\n", n.role, strings.Join(names, "\n"))
		made.run()
	}
	sameAsGolden(t, "counters.txt", text.String())
}

// rawLink is a socket of a stand-in for the other process, which reads and writes the bytes of messages.
type rawLink struct {
	t    *testing.T
	conn *net.UnixConn
}

func (p rawLink) write(message string) {
	p.t.Helper()
	if _, err := p.conn.Write([]byte(message)); err != nil {
		p.t.Fatal(err)
	}
}

func (p rawLink) read() string {
	p.t.Helper()
	data := make([]byte, 1<<16)
	p.conn.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := p.conn.Read(data)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(data[:n])
}

var (
	ageForm  = regexp.MustCompile(`"age":\d+`)
	rateForm = regexp.MustCompile(`"rate":[\d.]+,"rated":\d+`) // falls from the moment at which it is taken over
)

// acceptRawLink accepts the one connection of a node that looks for the process before it.
func acceptRawLink(t *testing.T, path string, start func()) rawLink {
	t.Helper()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	defer l.Close() // who comes after that waits for the node
	start()
	conn, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return rawLink{t, conn}
}

// dialRawLink connects as the next process.
func dialRawLink(n *testNode, path string) rawLink {
	n.t.Helper()
	var conn *net.UnixConn
	n.waitFor("its place", func() (ok bool) {
		var err error
		conn, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		return err == nil
	})
	n.t.Cleanup(func() { conn.Close() })
	return rawLink{n.t, conn}
}

// The lines of handover.txt, by what they say.
const (
	helloLine = iota
	firstStateLine
	stateLines    = 4
	servingLine   = 5
	relievedLine  = 6
	afterwardLine = 8
)

// A node takes over from one process and hands over to another. The clock stands at a fixed date, and what it was
// told goes on as it came.
func TestMessagesOfAHandOver(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	list := newFakeDiscovery(t, 0)
	text := strings.NewReplacer("SERVER", h.addr, "DISCOVERY", list.addr).Replace(golden(t, "handover.txt"))
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	state := lines[firstStateLine:][:stateLines]
	cfg := testConfig(t, list)
	change(&cfg)
	withoutHealthChecks(&cfg)
	cfg.TestOptions.WallClock = func() time.Time { return time.Unix(1_790_000_000, 0) }
	n := newTestNode(t, cfg, list)
	before := acceptRawLink(t, path, n.run)
	got := append([]string{before.read()}, state...)
	for _, line := range state {
		before.write(line)
	}
	got = append(got, before.read())
	before.write(lines[relievedLine])
	n.waitFor("the node to serve", func() bool { return n.lifecycle.acceptsClients() })
	next := dialRawLink(n, path)
	next.write(lines[helloLine])
	for _, line := range state {
		const rate = `"rate":3.5,"rated":1789999999000000000`
		if message := rateForm.ReplaceAllString(next.read(), rate); message != line {
			t.Errorf("handed on as\n%s\nnot\n%s", message, line)
		}
	}
	next.write(lines[servingLine])
	got = append(got, next.read())
	client, _ := n.establish(h)
	n.stop()
	got = append(got, ageForm.ReplaceAllString(next.read(), `"age":0`))
	next.write(lines[afterwardLine])
	client.expect("MOVE\r\n")
	got = append(got, lines[afterwardLine])
	plain := strings.NewReplacer(h.addr, "SERVER", list.addr, "DISCOVERY")
	sameAsGolden(t, "handover.txt", plain.Replace(strings.Join(got, "\n"))+"\n")
}
