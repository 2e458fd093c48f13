// Stand-ins and tests of the second review's cases. Each case plays one scenario against the project's own program, on
// loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// bench is what every case needs.
type bench struct {
	root    string // of the repository
	dir     string // temporary
	rec     *record
	trouble bool

	mu    sync.Mutex
	nodes []*nodeProcess
}

// limit is the time after which a case is ended.
const limit = 110 * time.Second

// endNodes ends all processes that the case has started.
func (b *bench) endNodes() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		select {
		case <-n.exited:
		default:
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
}

// add registers a process that the case has started.
func (b *bench) add(n *nodeProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, n)
}

// recordLogs copies the logs of the processes to the record, without the lines of single connections.
func (b *bench) recordLogs() {
	paths, _ := filepath.Glob(b.path("*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, `"connection ended"`) {
				b.rec.logf("log of %s: %s", filepath.Base(path), strings.TrimSpace(line))
			}
		}
	}
}

var cases = map[string]func(*bench) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "r2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	b := &bench{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.sayf("case %s, disruption: %v", name, b.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		b.endNodes()
		os.RemoveAll(dir)
		fmt.Fprintln(os.Stderr, "stopped: the case took too long, or was told to end")
		os.Exit(failed)
	}()
	result, err := cases[name](b)
	b.endNodes()
	if err != nil {
		rec.sayf("the case could not run: %v", err)
		return failed
	}
	b.recordLogs()
	rec.sayf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[result])
	return result
}

// path returns a path in the temporary folder.
func (b *bench) path(name string) string { return filepath.Join(b.dir, name) }

// hosts starts servers and returns their entries in the list.
func (b *bench) hosts(count int, probes bool) (hosts []*host, entries []entry, err error) {
	for i := range count {
		h, err := newHost(b.rec, fmt.Sprintf("s-%08x", 0x5be2a070+i), probes)
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
		entries = append(entries, h.entry("up"))
	}
	return hosts, entries, nil
}

// slack of each time limit on sockets, from the protocol page.
const socketSlack = 50 * time.Millisecond
