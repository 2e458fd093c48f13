package main

import "time"

func init() { cases["2"] = silentWatches }

// silentWatches has all open watches of fourteen nodes fall silent once, soon before servers begin to drain. Lists are
// asked for, and servers may not be probed. Discovery works through calls in turn.
func silentWatches(p *play) (int, error) {
	const (
		nodeCount = 14
		call      = 540 * time.Millisecond // of discovery's time; 7.6 s for one call from every node
		drained   = 4                      // servers
		toldAfter = 6 * time.Second        // at the latest, from the silence on
	)
	f, err := p.startFleet(tbilisiLive(), nodeCount, 13)
	if err != nil {
		return cannot, err
	}
	time.Sleep(3 * time.Second) // all have their lists
	f.disc.limit(&queue{cost: call, timeout: 2 * time.Second})
	go f.front.run(4.9, time.Now().Add(25*time.Second))
	time.Sleep(5 * time.Second)
	if err := f.addHosts(drained); err != nil { // the successors start first
		return cannot, err
	}
	time.Sleep(300 * time.Millisecond)
	leaving, silentAt := f.hosts[:drained], time.Now()
	if p.trouble {
		f.disc.silence()
	}
	time.Sleep(time.Second)
	f.disc.set("draining", leaving...)
	time.Sleep(18 * time.Second)
	return f.judge(leaving, func(*host, send) time.Time { return silentAt.Add(toldAfter) }), nil
}
