package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["restart"] = restartInOutage
	cases["pieces"] = changeInPieces
	cases["silence"] = silenceThenOutage // played for the report, not kept as a case
}

// startPlain starts one node that listens itself, and waits until it answers PONG.
func startPlain(b *bench, index int, listen string, d *discovery, configPath string) (*nodeProcess, error) {
	name := fmt.Sprintf("n%d", index)
	n, err := startNode(b.root, name, b.path(name+".log"), []string{"LB_NAME=" + name, "LB_LISTEN=" + listen,
		"LB_DISCOVERY=" + d.addr, "LB_CONFIG=" + configPath, "TMPDIR=" + b.dir}, nil)
	if err != nil {
		return nil, err
	}
	b.add(n)
	if !awaitPong(listen, 30*time.Second) {
		return nil, fmt.Errorf("%s is not ready in 30 s", name)
	}
	return n, nil
}

// restartInOutage: lists are pushed. A node is killed; a server begins to drain; discovery goes down for 8 s; the node
// starts again with the list that it last had.
func restartInOutage(b *bench) (int, error) {
	hosts, entries, err := b.hosts(4, true)
	if err != nil {
		return failed, err
	}
	d, err := newDiscovery(b.rec, "d", 40)
	if err != nil {
		return failed, err
	}
	d.set(entries...)
	var listens []string
	var nodes []*nodeProcess
	for i := range 2 {
		listen, err := freeAddr()
		if err != nil {
			return failed, err
		}
		listens = append(listens, listen)
		path := b.path(fmt.Sprintf("config%d.json", i))
		if err := writeJSON(path, nodeConfig(fmt.Sprintf("n%d", i), listen, d.addr, d.since(0), pushedSite(2, i))); err != nil {
			return failed, err
		}
		n, err := startPlain(b, i, listen, d, path)
		if err != nil {
			return failed, err
		}
		nodes = append(nodes, n)
	}
	time.Sleep(3 * time.Second)
	b.rec.sayf("n0 is killed")
	nodes[0].signal(syscall.SIGKILL)
	<-nodes[0].exited
	time.Sleep(500 * time.Millisecond)
	hosts[0].drain(false)
	d.set(hosts[0].entry("draining"))
	b.rec.sayf("server %s drains; the agents have it", hosts[0].id)
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		d.setMode(failing, 0)
		b.rec.sayf("discovery is down: watches end, calls end with 503")
	}
	down := time.Now()
	time.Sleep(500 * time.Millisecond)
	b.rec.sayf("n0 starts again")
	if _, err := startPlain(b, 0, listens[0], d, b.path("config0.json")); err != nil {
		return failed, err
	}
	told := time.Now() // later than the first moment of the new process
	b.rec.sayf("n0 is ready")
	load := startStream(b, listens[0], "tour-live", 1800*time.Millisecond, 50*time.Millisecond)
	time.Sleep(time.Until(down.Add(8 * time.Second)))
	d.setMode(answering, 0)
	b.rec.sayf("discovery is up")
	time.Sleep(3 * time.Second)
	load.end()
	return judgeDrain(b, hosts[0], told, 500*time.Millisecond), nil
}

// changeInPieces: discovery writes a change in pieces of ten bytes, one each half second.
func changeInPieces(b *bench) (int, error) {
	hosts, d, listen, err := oneAskedNode(b)
	if err != nil {
		return failed, err
	}
	load := startStream(b, listen, "balance-watch", 2*time.Second, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	if b.trouble {
		d.mu.Lock()
		d.pieceSize, d.pause = 10, 500*time.Millisecond
		d.mu.Unlock()
	}
	hosts[0].drain(false)
	d.set(hosts[0].entry("draining"))
	told := time.Now().Add(toldAfter)
	b.rec.sayf("server %s drains", hosts[0].id)
	time.Sleep(14 * time.Second)
	load.end()
	return judgeDrain(b, hosts[0], told, 250*time.Millisecond), nil
}

// oneAskedNode starts four servers, discovery and one node that has to ask for the list.
func oneAskedNode(b *bench) (hosts []*host, d *discovery, listen string, err error) {
	hosts, entries, err := b.hosts(4, false)
	if err != nil {
		return nil, nil, "", err
	}
	if d, err = newDiscovery(b.rec, "d", 40); err != nil {
		return nil, nil, "", err
	}
	d.set(entries...)
	if listen, err = freeAddr(); err != nil {
		return nil, nil, "", err
	}
	config := nodeConfig("n0", listen, d.addr, d.since(0), askedSite(1, 0))
	if err := writeJSON(b.path("config0.json"), config); err != nil {
		return nil, nil, "", err
	}
	_, err = startPlain(b, 0, listen, d, b.path("config0.json"))
	return hosts, d, listen, err
}

// silenceThenOutage: the open watch falls silent, a server begins to drain right after, and discovery goes down for 8 s.
func silenceThenOutage(b *bench) (int, error) {
	hosts, d, listen, err := oneAskedNode(b)
	if err != nil {
		return failed, err
	}
	load := startStream(b, listen, "balance-watch", 2*time.Second, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	d.set(hosts[3].entry("up")) // so that the watch has just delivered something
	time.Sleep(50 * time.Millisecond)
	if b.trouble {
		d.silenceWatches()
		b.rec.sayf("the open watch falls silent")
	}
	time.Sleep(300 * time.Millisecond)
	hosts[0].drain(true)
	d.set(hosts[0].entry("draining"))
	told := time.Now().Add(toldAfter)
	b.rec.sayf("server %s drains", hosts[0].id)
	time.Sleep(time.Second)
	if b.trouble {
		d.stop()
		b.rec.sayf("discovery is down: watches end, calls are refused")
	}
	time.Sleep(8 * time.Second)
	if b.trouble {
		if err := d.restart(); err != nil {
			return failed, err
		}
		b.rec.sayf("discovery is up")
	}
	time.Sleep(5 * time.Second)
	load.end()
	return judgeDrain(b, hosts[0], told, 250*time.Millisecond), nil
}
