package main

import (
	"syscall"
	"time"
)

func init() { cases["1"] = restartsWithPushedList }

// restartsWithPushedList kills three of five nodes at once and starts them again, while servers begin to drain. Lists
// are pushed, so a new process counts as told from its first moment. With the disruption discovery has too many
// callers: it works through calls in turn.
func restartsWithPushedList(p *play) (int, error) {
	const (
		nodeCount = 5
		killed    = 3
		allCalls  = 7 * time.Second // for a call from every node
	)
	f, err := p.startFleet(skagenLandings(), nodeCount, 9)
	if err != nil {
		return cannot, err
	}
	go f.front.run(8, time.Now().Add(18*time.Second))
	time.Sleep(5 * time.Second)

	leaving := []*host{f.hosts[0], f.hosts[4]}
	known := map[string]list{} // as each node last had it
	for _, n := range f.nodes[:killed] {
		known[n.name] = f.disc.known(n.name)
		f.front.take(n)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	time.Sleep(500 * time.Millisecond)
	f.disc.set("draining", leaving...)
	drainedAt := time.Now()
	if p.trouble {
		f.disc.limit(&queue{cost: allCalls / nodeCount, timeout: 2 * time.Second})
	}
	time.Sleep(500 * time.Millisecond)
	for i, n := range f.nodes[:killed] {
		if err := f.startNode(i, known[n.name]); err != nil {
			return cannot, err
		}
	}
	readyAt := map[string]time.Time{}
	for _, n := range f.nodes[:killed] {
		if readyAt[n.name], err = n.waitReady(10 * time.Second); err != nil {
			return cannot, err
		}
		f.front.put(n)
	}
	time.Sleep(12 * time.Second)

	return f.judge(leaving, func(h *host, sent send) time.Time {
		if ready, ok := readyAt[sent.node]; ok && sent.firstByte.After(drainedAt) {
			return ready // its first PONG, which came later than its first moment
		}
		return f.disc.toldAt(sent.node, h.id) // the others, when discovery has written it
	}), nil
}
