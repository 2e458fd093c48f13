package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// cases holds the cases by number; each file of a case adds its own.
var cases = map[string]func(*play) (int, error){}

// play is what all cases share.
type play struct {
	root    string // the repository
	dir     string // a temporary folder
	rec     *record
	trouble bool
	nodes   []*node
}

// addNode adds a node with a free address.
func (p *play) addNode(name string) (*node, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	n := &node{name: name, addr: addr, root: p.root, dir: p.dir, rec: p.rec}
	p.nodes = append(p.nodes, n)
	return n, nil
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return cannot
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	p := &play{root: filepath.Dir(filepath.Dir(folder)), dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](p)
		done <- result{code, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	r := result{cannot, fmt.Errorf("the case takes too long")}
	select {
	case r = <-done:
	case <-time.After(maxTime):
	case s := <-interrupted:
		r.err = fmt.Errorf("the case was ended by a signal: %v", s)
	}
	for _, n := range p.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	if r.err != nil {
		rec.say("the case could not run: %v", r.err)
		return cannot
	}
	verdicts := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", cannot: "could not run"}
	rec.say("result: %s", verdicts[r.code])
	return r.code
}
