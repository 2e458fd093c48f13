package main

import "time"

func init() { cases["3"] = outageWithPushedList }

// outageWithPushedList has discovery down for 8 s, twice, while servers begin to drain, and at its return it has too
// many callers: it works through calls in turn. Lists are pushed, so what discovery has at its return counts as told at
// once.
func outageWithPushedList(p *play) (int, error) {
	const (
		nodeCount = 4
		rounds    = 2
		drained   = 2 // servers in a round
		outage    = 8 * time.Second
		allCalls  = 4800 * time.Millisecond // for a call from every node, from the return on
		after     = 8 * time.Second         // until the servers are gone
	)
	f, err := p.startFleet(skagenLandings(), nodeCount, 9)
	if err != nil {
		return cannot, err
	}
	go f.front.run(40, time.Now().Add(rounds*(outage+after+5*time.Second)))
	toldAt := map[*host]time.Time{}
	for round := range rounds {
		time.Sleep(3 * time.Second)
		if p.trouble {
			f.disc.setDown(true)
		}
		time.Sleep(outage / 2)
		leaving := f.hosts[round*drained : (round+1)*drained]
		f.disc.set("draining", leaving...)
		told := time.Now()
		time.Sleep(outage / 2)
		if p.trouble {
			f.disc.limit(&queue{cost: allCalls / nodeCount, timeout: 2 * time.Second})
			f.disc.setDown(false)
			told = time.Now()
		}
		for _, h := range leaving {
			toldAt[h] = told
		}
		time.Sleep(after)
		f.disc.limit(nil)
		f.remove(leaving)
		if err := f.addHosts(drained); err != nil {
			return cannot, err
		}
		time.Sleep(2 * time.Second)
	}
	return f.judge(f.hosts[:rounds*drained], func(h *host, _ send) time.Time { return toldAt[h] }), nil
}
