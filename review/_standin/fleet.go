package main

import (
	"fmt"
	"time"
)

// fleet is a deployment: nodes, hosts, the discovery service, and the front with its clients.
type fleet struct {
	*play
	site  *site
	names []string // of the nodes
	disc  *discovery
	front *front
	hosts []*host
}

// startFleet starts the nodes and waits until the front may deal out clients to all of them.
func (p *play) startFleet(s *site, nodeCount, hostCount int) (*fleet, error) {
	f := &fleet{play: p, site: s, front: &front{rec: p.rec, site: *s, answers: map[string]int{}}}
	for i := range nodeCount {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
	}
	var err error
	if f.disc, err = newDiscovery(f.names, p.rec); err != nil {
		return nil, err
	}
	if err := f.addHosts(hostCount); err != nil {
		return nil, err
	}
	for i := range f.names {
		if err := f.startNode(i, f.disc.known(f.names[i])); err != nil {
			return nil, err
		}
	}
	for i, n := range p.nodes {
		if err := f.awaitStart(i); err != nil {
			return nil, err
		}
		f.front.put(n)
	}
	return f, nil
}

// awaitStart waits until a node is ready. If its process has ended, another one may have its port: it is started again
// with another.
func (f *fleet) awaitStart(index int) (err error) {
	n := f.nodes[index]
	for range 3 {
		if _, err = n.waitReady(10 * time.Second); err == nil || !n.hasExited() {
			return err
		}
		f.rec.say("%v", err)
		if n.addr, err = freeAddr(); err != nil {
			return err
		}
		if err = f.startNode(index, f.disc.known(n.name)); err != nil {
			return err
		}
	}
	return err
}

// startNode starts a process of a node with the list that it had last.
func (f *fleet) startNode(index int, known list) error {
	name := f.names[index]
	if index == len(f.nodes) {
		if _, err := f.addNode(name); err != nil {
			return err
		}
	}
	n, addr := f.nodes[index], f.disc.addrs[name]
	if err := n.writeConfig(f.site.config(n, index, len(f.names), addr, known)); err != nil {
		return err
	}
	return n.start(addr)
}

// addHosts adds hosts to the list. Those that come while the nodes run have just started.
func (f *fleet) addHosts(count int) error {
	var added []*host
	for range count {
		zone := f.site.zones[len(f.hosts)%len(f.site.zones)]
		h, err := newHost(fmt.Sprintf("s-%d", 11+len(f.hosts)), zone, f.names, f.rec)
		if err != nil {
			return err
		}
		if len(f.nodes) > 0 {
			h.started = time.Now().UnixMilli()
		}
		f.hosts, added = append(f.hosts, h), append(added, h)
	}
	f.disc.set("up", added...)
	return nil
}

// judge counts the requests that were sent to draining hosts after the grace, and gives the exit code. toldAt returns
// when a node counts as told of the drain, or the zero time if what it sent does not matter.
func (f *fleet) judge(drained []*host, toldAt func(h *host, sent send) time.Time) int {
	limit := time.Duration(f.site.graceMS+50) * time.Millisecond
	late := 0
	for _, h := range drained {
		for _, sent := range h.allSends() {
			told := toldAt(h, sent)
			if after := sent.firstByte.Sub(told); !told.IsZero() && after > limit {
				late++
				f.rec.say("%s sent %s to draining %s %.3f s after it counts as told (limit %.3f s)", sent.node, sent.id,
					h.id, after.Seconds(), limit.Seconds())
			}
		}
	}
	f.front.clients.Wait()
	f.rec.say("answers: %v; lost: %v", f.front.answers, f.front.lost)
	f.rec.say("%d requests were sent to draining servers after the limit", late)
	switch {
	case f.front.answers["served"] == 0:
		return cannot
	case late > 0:
		return broken
	}
	return held
}
