package main

import (
	"syscall"
	"time"
)

func init() { cases["1"] = restartWithPushedList }

// restartWithPushedList restarts one of three nodes while servers begin to drain. Lists are pushed, so the new process
// counts as told from its first moment. With the disruption discovery is slow.
func restartWithPushedList(p *play) (int, error) {
	const (
		nodeCount = 3
		allCalls  = 5400 * time.Millisecond // for a call from every node: 1.8 s for one, of the 2 s that it may wait
	)
	f, err := p.startFleet(skagenLandings(), nodeCount, 9)
	if err != nil {
		return cannot, err
	}
	go f.front.run(60, time.Now().Add(13*time.Second))
	time.Sleep(5 * time.Second)

	restarted, leaving := f.nodes[1], []*host{f.hosts[0], f.hosts[4]}
	known := f.disc.known(restarted.name) // as the node last had it
	f.front.take(restarted)
	restarted.signal(syscall.SIGKILL)
	<-restarted.exited
	time.Sleep(500 * time.Millisecond)
	f.disc.set("draining", leaving...)
	drainedAt := time.Now()
	if p.trouble {
		f.disc.limit(&queue{cost: allCalls / nodeCount, timeout: 2 * time.Second})
	}
	time.Sleep(500 * time.Millisecond)
	if err := f.startNode(1, known); err != nil {
		return cannot, err
	}
	readyAt, err := restarted.waitReady(10 * time.Second)
	if err != nil {
		return cannot, err
	}
	f.front.put(restarted)
	time.Sleep(6 * time.Second)

	return f.judge(leaving, func(h *host, sent send) time.Time {
		if sent.node == restarted.name && sent.firstByte.After(drainedAt) {
			return readyAt // its first PONG, which came later than its first moment
		}
		return f.disc.toldAt(sent.node, h.id) // the others, when discovery has written it
	}), nil
}
