package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// front deals out connections among the nodes that are in it, and counts the clients' answers.
type front struct {
	rec  *record
	site site

	mu      sync.Mutex
	nodes   []*node
	next    int
	count   int
	answers map[string]int
	lost    []string
	clients sync.WaitGroup
}

func (f *front) put(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
}

func (f *front) take(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

// run starts clients at a steady rate until a time.
func (f *front) run(perSecond float64, until time.Time) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(until) {
			return
		}
		f.mu.Lock()
		if len(f.nodes) == 0 {
			f.mu.Unlock()
			continue
		}
		f.next, f.count = f.next+1, f.count+1
		n, number := f.nodes[f.next%len(f.nodes)], f.count
		f.mu.Unlock()
		f.clients.Go(func() { f.client(n, number) })
	}
}

// client opens one connection, waits for its answer, and while it is up sends a line every 2 s.
func (f *front) client(n *node, number int) {
	class := f.site.classes[number%len(f.site.classes)]
	tenant := f.site.tenants[number%len(f.site.tenants)]
	id := fmt.Sprintf("%016x", rand.Uint64())
	answer := f.open(n, id, class, tenant)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[answer]++
	if answer == "lost" {
		f.lost = append(f.lost, id)
	}
}

func (f *front) open(n *node, id string, class class, tenant string) (answer string) {
	process := n.cmd
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return "unreachable"
	}
	defer conn.Close()
	timeout := time.Duration(class.deadlineMS) * time.Millisecond
	sentAt := time.Now()
	line := fmt.Sprintf("OPEN %s %016x c=%s,t=%s,d=%d,g=%016x", id, rand.Uint64(), class.name, tenant, class.deadlineMS,
		rand.Uint64())
	if _, err := fmt.Fprintf(conn, "%s\r\n", line); err != nil {
		return "unreachable"
	}
	conn.SetReadDeadline(sentAt.Add(timeout + 550*time.Millisecond))
	reader := bufio.NewReader(conn)
	text, err := reader.ReadString('\n')
	text = strings.TrimRight(text, "\r\n")
	f.rec.add(time.Now(), "client sent at %.3f to %s: %s; answer after %.3f s: %q", f.rec.at(sentAt), n.name, line,
		time.Since(sentAt).Seconds(), text)
	word, _, _ := strings.Cut(text, " ")
	if err != nil {
		time.Sleep(200 * time.Millisecond) // a process that was killed has ended by then
	}
	switch {
	case err != nil && (n.cmd != process || n.hasExited()):
		return "killed"
	case err != nil:
		return "lost"
	case word == "BUSY":
		return "refused"
	case word != "UP":
		return "failed"
	}
	f.hold(conn, reader)
	return "served"
}

// hold sends a line now and after 2 s, expects each back, and leaves.
func (f *front) hold(conn net.Conn, reader *bufio.Reader) {
	for i := range 2 {
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := fmt.Fprintf(conn, "hello %d\r\n", i); err != nil {
			return
		}
		if line, err := reader.ReadString('\n'); err != nil || line == "MOVE\r\n" {
			return
		}
		if i == 0 {
			time.Sleep(2 * time.Second)
		}
	}
}
