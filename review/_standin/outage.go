package main

import "time"

func init() { cases["3"] = outageWithPushedList }

// outageWithPushedList has discovery down for 8 s while servers begin to drain, and at its return it has too many
// callers: it works through calls in turn. Lists are pushed, so what discovery has at its return counts as told at
// once.
func outageWithPushedList(p *play) (int, error) {
	const (
		nodeCount = 4
		outage    = 8 * time.Second
		allCalls  = 4800 * time.Millisecond // for a call from every node, from the return on
	)
	f, err := p.startFleet(skagenLandings(), nodeCount, 9)
	if err != nil {
		return cannot, err
	}
	go f.front.run(8, time.Now().Add(21*time.Second))
	time.Sleep(3 * time.Second)
	if p.trouble {
		f.disc.setDown(true)
	}
	time.Sleep(outage / 2)
	leaving := f.hosts[:2]
	f.disc.set("draining", leaving...)
	told := time.Now()
	time.Sleep(outage / 2)
	if p.trouble {
		f.disc.limit(&queue{cost: allCalls / nodeCount, timeout: 2 * time.Second})
		f.disc.setDown(false)
		told = time.Now()
	}
	time.Sleep(10 * time.Second)
	return f.judge(leaving, func(*host, send) time.Time { return told }), nil
}
