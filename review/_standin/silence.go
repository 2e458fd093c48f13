package main

import "time"

func init() { cases["2"] = silentWatches }

// silentWatches has all open watches of fourteen nodes fall silent four times, each time soon before servers begin to
// drain. Lists are asked for, and servers may not be probed. Discovery can take a call from every node in 4 s.
func silentWatches(p *play) (int, error) {
	const (
		nodeCount = 14
		allCalls  = 4 * time.Second // for one call from every node
		rounds    = 4
		drained   = 3               // servers in a round
		toldAfter = 6 * time.Second // at the latest, from the silence on
	)
	f, err := p.startFleet(tbilisiLive(), nodeCount, 13)
	if err != nil {
		return cannot, err
	}
	time.Sleep(3 * time.Second) // all have their lists
	f.disc.limit(&queue{cost: allCalls / nodeCount, timeout: 2 * time.Second})
	go f.front.run(60, time.Now().Add(rounds*22*time.Second))
	toldAt := map[*host]time.Time{}
	for round := range rounds {
		time.Sleep(5 * time.Second)
		if err := f.addHosts(drained); err != nil { // the successors start first
			return cannot, err
		}
		time.Sleep(300 * time.Millisecond)
		leaving, silentAt := f.hosts[round*drained:(round+1)*drained], time.Now()
		if p.trouble {
			f.disc.silence()
		}
		time.Sleep(time.Second)
		f.disc.set("draining", leaving...)
		for _, h := range leaving {
			toldAt[h] = silentAt.Add(toldAfter)
		}
		time.Sleep(13 * time.Second)
		f.remove(leaving)
		time.Sleep(2 * time.Second)
	}
	return f.judge(f.hosts[:rounds*drained], func(h *host, _ send) time.Time { return toldAt[h] }), nil
}
