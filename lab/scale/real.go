package scale

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

// realNode is a node process of the program that serves real clients.
type realNode struct {
	fleet          *fleet
	index          int
	proc           *process.Process // guarded by fleet.mu
	listVersion    int64            // guarded by fleet.mu
	countersLogged chan struct{}    // receives a value when the process has logged its counters

	// State at the start of the measurement.
	startUsage     process.Usage
	startedAt      time.Time
	countersBefore map[string]float64
	startPID       int
}

// startRealNode starts the process of a node and waits until it serves.
func (f *fleet) startRealNode(n *realNode) error {
	config := maps.Clone(f.configTemplate)
	settings := maps.Clone(config["settings"].(map[string]any))
	ceilings := maps.Clone(settings["ceilings"].(map[string]any))
	ceilings["may_probe"] = true
	settings["ceilings"], settings["index"] = ceilings, n.index
	peers := map[string]any{"listen": "127.0.0.1:0"}
	var addrs []string
	if f.options.ControlNodes > 0 {
		for _, i := range f.topology.controlOrder(n.index) {
			addrs = append(addrs, f.relay.Addr(f.topology.firstControlNode()+i))
		}
		peers["control"] = addrs
	} else {
		for i := range f.size {
			addrs = append(addrs, f.relay.Addr(i))
		}
		peers["nodes"] = addrs
	}
	config["settings"] = settings
	config["name"], config["listen"] = fmt.Sprintf("r%d", n.index), "127.0.0.1:0"
	config["seed"] = strconv.FormatUint(f.options.Seed<<20+uint64(n.index)+1, 16)
	config["source"] = emulator.SourceAddr(n.index).String()
	config["peers"] = peers
	config["lab"] = map[string]any{"tell_lists": true}
	f.mu.Lock()
	n.listVersion = f.configTemplate["known"].(map[string]any)["version"].(int64)
	f.mu.Unlock()
	n.countersLogged = make(chan struct{}, 1)
	proc, err := f.starter.StartNode(f.options.Binary, n.index, config, nil,
		func(_ *process.Process, line map[string]any) {
			switch line["msg"] {
			case "listening for peers":
				if text, ok := line["address"].(string); ok {
					if addr, err := netip.ParseAddrPort(text); err == nil {
						f.relay.SetNodeAddr(n.index, addr, false)
					}
				}
			case "list in force":
				value, _ := line["version"].(float64)
				f.mu.Lock()
				if version := int64(value); version > n.listVersion {
					f.recordApplied(n.index, n.listVersion, version, time.Now())
					n.listVersion = version
				}
				f.mu.Unlock()
			case "counters":
				select {
				case n.countersLogged <- struct{}{}:
				default:
				}
			}
		})
	if err != nil {
		return err
	}
	f.mu.Lock()
	n.proc = proc
	f.mu.Unlock()
	select {
	case <-proc.Listening:
		return nil
	case <-proc.Exited:
		return fmt.Errorf("node %d exited during startup: %s", n.index, proc.LogExcerpt(""))
	case <-time.After(time.Minute):
		return fmt.Errorf("node %d does not serve within 1 minute", n.index)
	}
}

// process returns the current process of the node.
func (n *realNode) process() *process.Process {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.proc
}

// readCounters requests the counters of the process and waits for them for up to 5 s.
func (n *realNode) readCounters() map[string]float64 {
	select {
	case <-n.countersLogged:
	default:
	}
	n.process().Signal(syscall.SIGUSR1)
	select {
	case <-n.countersLogged:
	case <-time.After(5 * time.Second):
	}
	return n.process().Counters()
}

// beginMeasurement records the counters and the resource usage at the start of the measurement.
func (n *realNode) beginMeasurement() {
	n.countersBefore = n.readCounters()
	n.startPID = n.process().PID()
	n.startUsage, n.startedAt = process.ReadUsage(strconv.Itoa(n.process().PID())), time.Now()
}

// endMeasurement adds the resource usage and the traffic of the node to its role.
func (n *realNode) endMeasurement(roles *map[string]Role) {
	usage, seconds := process.ReadUsage(strconv.Itoa(n.process().PID())), time.Since(n.startedAt).Seconds()
	delta := n.readCounters()
	if n.process().PID() == n.startPID { // otherwise the counters and the CPU time began at 0 with a new process
		for k, v := range n.countersBefore {
			delta[k] -= v
		}
	} else {
		n.startUsage.CPU = 0
	}
	role := (*roles)["real"]
	role.Nodes, role.Processes = role.Nodes+1, role.Processes+1
	addToMean := func(mean *float64, value float64) { *mean = round(*mean + (value-*mean)/float64(role.Nodes)) }
	cores, residentMB := (usage.CPU-n.startUsage.CPU).Seconds()/seconds, usage.Resident/1e6
	addToMean(&role.CPU, cores)
	addToMean(&role.ResidentMB, residentMB)
	addToMean(&role.Descriptors, float64(usage.Descriptors))
	role.MaxCPU, role.MaxResidentMB = max(role.MaxCPU, round(cores)), max(role.MaxResidentMB, round(residentMB))
	for _, rate := range []struct {
		flow            *flow
		messages, bytes float64
	}{
		{&role.In, delta["peer_words"] / seconds, delta["peer_bytes"] / seconds},
		{&role.Out, delta["peer_words_sent"] / seconds, delta["peer_bytes_sent"] / seconds},
	} {
		addToMean(&rate.flow.Messages, rate.messages)
		addToMean(&rate.flow.Bytes, rate.bytes)
		rate.flow.MaxMessages, rate.flow.MaxBytes =
			max(rate.flow.MaxMessages, round(rate.messages)), max(rate.flow.MaxBytes, round(rate.bytes))
	}
	role.Dropped += int64(delta["peer_dropped"])
	(*roles)["real"] = role
}

// clientStats counts the outcomes of the sessions of real clients.
type clientStats struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *clientStats) add(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[outcome]++
}

// snapshot returns a copy of the counts.
func (c *clientStats) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// observe counts the attempts that arrive at servers.
func (c *clientStats) observe(event emulator.Event) {
	if event.Kind == emulator.AttemptReceived {
		c.add("attempts at servers")
	}
}

// startClients starts the clients of the real nodes. Each keeps one connection open and reconnects when it ends.
func (f *fleet) startClients() {
	for client := range f.options.RealNodes * clientsPerRealNode {
		go func() {
			rng := rand.New(rand.NewPCG(f.options.Seed, uint64(client)))
			for session := 0; f.sleep(time.Duration(rng.Int64N(int64(time.Second)))); session++ {
				f.runClientSession(client, session, rng)
			}
		}()
	}
}

// runClientSession opens a connection to a random real node and keeps it until it fails or is moved.
func (f *fleet) runClientSession(client, session int, rng *rand.Rand) {
	n := f.realNodes[rng.IntN(len(f.realNodes))]
	addr, up := n.process().Address()
	if !up {
		return
	}
	conn, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", addr)
	if err != nil {
		f.clientStats.add("node not there")
		return
	}
	defer conn.Close()
	sessionOver := make(chan struct{})
	defer close(sessionOver)
	go func() {
		select {
		case <-f.done:
			conn.Close()
		case <-sessionOver:
		}
	}()
	f.clientStats.add("asked")
	fmt.Fprintf(conn, "OPEN c%d-%d-%d k%d c=c,d=2000\r\n", f.options.Seed, client, session, client)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); {
	case err != nil && f.ended():
		return
	case err != nil:
		f.clientStats.add("without an answer")
		return
	case word == "BUSY":
		f.clientStats.add("refused")
		return
	case word != "UP":
		f.clientStats.add("failed")
		return
	}
	f.clientStats.add("up")
	conn.SetReadDeadline(time.Time{})
	go func() {
		for f.sleep(2 * time.Second) {
			if _, err := io.WriteString(conn, "m\r\n"); err != nil {
				return
			}
		}
	}()
	for {
		line, err := reader.ReadString('\n')
		if f.ended() {
			return
		} else if err != nil {
			f.clientStats.add("cut off")
			return
		} else if strings.HasPrefix(line, "MOVE") {
			f.clientStats.add("moved")
			return
		}
	}
}

// ended reports whether the run is over.
func (f *fleet) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}
