package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"brassmux/lab/scaling"
)

// Assumption is an input of the extrapolation that is given or assumed, not measured.
type Assumption struct {
	Name   string
	Value  float64
	Unit   string
	Source string
}

// The planned fleet, as given by the operators, and further assumptions.
const (
	targetNodes       = 5700
	targetConnections = 260e6
	targetZones       = 17
	targetRegions     = 5
	targetShards      = 1.7e6
	targetListeners   = 830_000 // of the largest topic
	targetDeliveries  = 160e6   // per second
	targetChanges     = 18_000  // configuration changes per day
	maxChangeSeconds  = 14      // until all nodes have applied a change
	maxControlCPU     = 0.022   // cores per node
	maxControlMemory  = 128e6   // bytes per node
	maxControlBytes   = 14e3    // bytes per second and node, received and sent
	controlNodes      = 32
	targetRestarts    = 1500 // restarts or replacements of nodes per day
	secondsPerDay     = 86400.0

	targetServers      = 5000
	nodesPerRack       = 40
	connectionLifetime = 3600.0  // seconds
	datagramHeader     = 28      // bytes of the IPv4 and UDP headers
	segmentHeader      = 52      // bytes of the IPv4 and TCP headers of one write, with TCP timestamps
	settingsBytes      = 4096    // bytes of a change of settings
	maxListBytes       = 1 << 20 // bytes
	controlNodeCores   = 1.0     // cores of a control node
	maxDescriptors     = 20_000  // of a process
	localPorts         = 28_232  // of one address
	listCallsPerSecond = 20.0    // capacity of the list service
)

// Assumptions returns all assumptions of the extrapolation.
func Assumptions() []Assumption {
	const given = "the operators"
	return []Assumption{
		{"nodes", targetNodes, "", given}, {"standing connections", targetConnections, "", given},
		{"zones", targetZones, "", given}, {"regions", targetRegions, "", given},
		{"shards of topics", targetShards, "", given},
		{"listeners of the largest topic", targetListeners, "", given},
		{"deliveries", targetDeliveries, "1/s", given},
		{"changes of configuration", targetChanges, "a day", given},
		{"a change is in force everywhere within", maxChangeSeconds, "s", given},
		{"restarts or replacements of nodes", targetRestarts, "a day", given},
		{"control at a node: processor", maxControlCPU * 100, "% of a core", given},
		{"control at a node: memory", maxControlMemory / 1e6, "MB", given},
		{"control at a node: bytes, in and out", maxControlBytes / 1e3, "KB/s", given},
		{"control machines", controlNodes, "", given},
		{"a control machine's processor", controlNodeCores, "core", given},
		{"servers", targetServers, "", "assumed: 52,000 connections each"},
		{"machines on a rack or switch", nodesPerRack, "", "assumed"},
		{"life of a connection", connectionLifetime, "s",
			"assumed: 72,000 clients a second come new or again on an ordinary day"},
		{"a change of settings", settingsBytes, "bytes", "assumed; of the list: measured"},
		{"headers of a datagram; of a write on a connection", datagramHeader, "bytes; and 52",
			"IPv4, UDP; IPv4, TCP with its times"},
		{"calls that the list service works through", listCallsPerSecond, "1/s",
			"assumed, as in the rig's `cold-start`"},
		{"descriptors that a process may have", maxDescriptors, "", "the limit of the machine that measured"},
		{"local ports of an address", localPorts, "", "the kernel's usual range, 32,768 to 60,999"},
	}
}

// estimate is a value with its interval and the names of the measurements that it is based on.
type estimate struct {
	value, low, high float64
	measurements     []string
	growth           scaling.Verdict
	measured         bool // measured at the target size, not extrapolated
}

// exact returns an estimate without uncertainty.
func exact(value float64) estimate { return estimate{value: value, low: value, high: value} }

// times returns the estimate multiplied by a factor.
func (e estimate) times(factor float64) estimate {
	e.value, e.low, e.high = e.value*factor, e.low*factor, e.high*factor
	e.measured = e.measured && factor == 1
	return e
}

// plus returns the sum of two estimates.
func (e estimate) plus(other estimate) estimate {
	growth := e.growth
	if other.growth == scaling.Superlinear || growth == "" {
		growth = other.growth
	}
	var measurements []string
	for _, name := range append(slices.Clone(e.measurements), other.measurements...) {
		if !slices.Contains(measurements, name) {
			measurements = append(measurements, name)
		}
	}
	return estimate{e.value + other.value, e.low + other.low, e.high + other.high, measurements, growth, false}
}

// Figure is the estimate of one cost at the target size.
type Figure struct {
	Role, Name string
	Unit       string
	estimate
	Limit             float64 // 0 for no limit
	Mechanism         string  // mechanism that causes the cost
	ControlNodeEffect string  // how control nodes change the cost by design; "" for not at all
}

// LimitRatio returns the estimate divided by the limit, or 0 if there is no limit.
func (f Figure) LimitRatio() float64 {
	if f.Limit == 0 {
		return 0
	}
	return f.value / f.Limit
}

// Load reads result files and merges their measurements.
func Load(paths ...string) (*Results, error) {
	merged := &Results{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Results{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		for _, m := range r.Measurements {
			if merged.Measurement(m.Name) != nil {
				return nil, fmt.Errorf("%s: measurement %s is in another file too", path, m.Name)
			}
			if m.Fit, err = scaling.FitModel(m.Points); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", path, m.Name, err)
			}
		}
		if r.SizeDivisor != 1 {
			return nil, fmt.Errorf("%s: sizes were divided by %d, so the results say nothing about large sizes",
				path, r.SizeDivisor)
		}
		merged.Measurements = append(merged.Measurements, r.Measurements...)
	}
	return merged, nil
}

// Extrapolate calculates the figures at the target size.
func Extrapolate(r *Results) ([]Figure, error) {
	var missing []string
	estimateAt := func(name string, size float64) estimate {
		m := r.Measurement(name)
		if m == nil {
			missing = append(missing, name)
			return estimate{}
		}
		e := estimate{measurements: []string{name}, growth: m.Fit.Verdict}
		e.value, e.low, e.high = m.Fit.Predict(size)
		if slices.Contains(m.Sizes(), size) {
			e.measured, e.value, e.low, e.high = true, m.Median(size), math.Inf(1), 0
			for _, p := range m.Points {
				if p.Size == size {
					e.low, e.high = min(e.low, p.Value), max(e.high, p.Value)
				}
			}
		}
		return e
	}
	var (
		connsPerNode        = targetConnections / targetNodes
		heartbeatsPerSecond = 1 / heartbeat.Seconds()
		requestsPerSecond   = targetNodes * heartbeatsPerSecond
		changesPerSecond    = targetChanges / secondsPerDay
		arrivalsPerSecond   = connsPerNode / connectionLifetime // new clients at each node
		microsToPercent     = 1e-6 * 100                        // from microseconds per second to % of a core

		placement       = estimateAt("place.first", targetServers)
		setup           = perConnection(estimateAt, "node.setup", 4000)
		message         = perConnection(estimateAt, "node.messages", 4000)
		connMemory      = perConnection(estimateAt, "node.memory", 4000)
		arrival         = placement.plus(setup) // microseconds per new client
		requestTime     = estimateAt("keeper.ask", targetNodes)
		idleRequestTime = estimateAt("keeper.beat", targetNodes)
		requestBytes    = estimateAt("keeper.ask_bytes", targetNodes).plus(exact(datagramHeader))
		responseBytes   = estimateAt("keeper.answer_bytes", targetNodes).plus(exact(datagramHeader))
		changeBytes     = estimateAt("list.change_bytes", targetServers).plus(exact(segmentHeader))
		listBytes       = estimateAt("list.bytes", targetServers)
	)
	const (
		nodeDay   = "node, ordinary day"
		leaderDay = "keeper of the budgets, ordinary day"
		listDay   = "list service, ordinary day"

		sharedByControlNodes = "yes: 178 children on the mean at each of 32, which are a group of 32 above"
		plannedLater         = "no: lists are to go the same way, later"
	)
	maxControlPercent := maxControlCPU * 100.0
	// movedClients returns the clients that each of the remaining nodes gets from the lost ones.
	movedClients := func(lost, remaining float64) float64 { return lost * connsPerNode / remaining }
	figures := []Figure{
		{nodeDay, "words of the budgets, in and out", "bytes/s",
			requestBytes.plus(responseBytes).times(heartbeatsPerSecond), maxControlBytes,
			"an ask a beat to one keeper", "yes: to its parent, not to one keeper"},
		{nodeDay, "processor for them", "% of a core",
			estimateAt("follower.beat", targetNodes).times(heartbeatsPerSecond * microsToPercent), maxControlPercent,
			"an ask a beat to one keeper", "yes: it knows at most 32 control machines, not all nodes"},
		{nodeDay, "changes of the list, if each of the 18,000 is one", "bytes/s", changeBytes.times(changesPerSecond),
			maxControlBytes, "a watch at the list service", plannedLater},
		{nodeDay, "processor to take these in", "% of a core",
			estimateAt("list.change", targetServers).times(changesPerSecond * microsToPercent), maxControlPercent,
			"the watch, `balance`", ""},
		{nodeDay, "processor to place those who come, each by a ranking worked out anew", "% of a core",
			placement.times(arrivalsPerSecond * microsToPercent), maxControlPercent,
			"rendezvous ranking of all servers", ""},
		{nodeDay, "memory for control: process, servers, 1,024 rankings, budgets", "bytes",
			estimateAt("start.memory", targetNodes).plus(estimateAt("memory.rankings", targetServers)).
				plus(estimateAt("follower.memory", targetNodes)),
			maxControlMemory, "maps and slices of one process",
			"the budgets' part: it knows at most 32 control machines"},
		{nodeDay, "of that, the rankings kept", "bytes", estimateAt("memory.rankings", targetServers),
			maxControlMemory, "1,024 rankings of all servers", ""},
		{nodeDay, "its file, which names all nodes", "bytes", estimateAt("start.bytes", targetNodes), 0,
			"`peers.nodes`, read at a start", "yes: it names its control machines, at most 32"},
		{nodeDay, "connections: memory (service, not control)", "bytes", connMemory.times(connsPerNode), 0,
			"two sockets and an exchange each", ""},
		{nodeDay, "connections: descriptors (service)", "",
			estimateAt("node.descriptors", 4000).times(connsPerNode / 4000), maxDescriptors, "two sockets each", ""},
		{nodeDay, "connections: local ports, where the key `source` is set (service)", "",
			estimateAt("ports.source", 4000).times(connsPerNode / 4000), localPorts,
			"one address, whose ports the servers share: a port is taken before it is known for which server", ""},
		{nodeDay, "deliveries: processor (service)", "% of a core",
			message.times(0.5 * targetDeliveries / targetNodes * microsToPercent), 0,
			"lines passed on; one way taken as half of there and back", ""},

		{leaderDay, "processor, if each ask wants a unit, against an ordinary node's 2.2%", "% of a core",
			requestTime.times(requestsPerSecond * microsToPercent), maxControlPercent,
			"one keeper for all budgets: `free` and `majority` go through all followers, `reserved` through all grants",
			sharedByControlNodes},
		{leaderDay, "processor, if no ask wants anything, against an ordinary node's 2.2%", "% of a core",
			idleRequestTime.times(requestsPerSecond * microsToPercent), maxControlPercent,
			"one keeper for all budgets: `majority` goes through all followers", sharedByControlNodes},
		{leaderDay, "processor, if each ask wants a unit, against a control machine's whole core", "% of a core",
			requestTime.times(requestsPerSecond * microsToPercent), controlNodeCores * 100,
			"one keeper for all budgets", sharedByControlNodes},
		{leaderDay, "words sent and received", "1/s", exact(2 * requestsPerSecond), 0,
			"one ask and one answer a node and beat", sharedByControlNodes},
		{leaderDay, "bytes in and out", "bytes/s", requestBytes.plus(responseBytes).times(requestsPerSecond),
			maxControlBytes, "one ask and one answer a node and beat", sharedByControlNodes},
		{leaderDay, "memory for it", "bytes", estimateAt("keeper.memory", targetNodes), maxControlMemory,
			"a follower and its lent amounts each", sharedByControlNodes},

		{listDay, "the whole list", "bytes", listBytes, maxListBytes, "one JSON line, at most 1 MiB", plannedLater},
		{listDay, "writes of changes to watches", "1/s", exact(targetNodes * changesPerSecond), 0,
			"each node watches the service itself", plannedLater},
		{listDay, "bytes of these", "bytes/s", changeBytes.times(targetNodes * changesPerSecond), 0,
			"each node watches the service itself", plannedLater},
		{listDay, "time until a node asks again after a first failed call", "s",
			estimateAt("pause.first", targetNodes), maxChangeSeconds,
			"a pause in proportion to the nodes, without words between them", plannedLater},
		{listDay, "time until a node asks again after a third failed call", "s",
			estimateAt("pause.third", targetNodes), maxChangeSeconds,
			"a pause that grows from failure to failure, and in proportion to the nodes", plannedLater},

		{"a node starts (1,500 a day)", "processor until it takes clients", "us",
			estimateAt("start.cpu", targetNodes), 0, "one process, one file", ""},
		{"a node starts (1,500 a day)", "memory then", "bytes", estimateAt("start.memory", targetNodes),
			maxControlMemory, "one process, one file", ""},
		{"a node starts (1,500 a day)", "files that name all nodes and change with it, a day", "",
			exact((targetRestarts + 18) * targetNodes), 0,
			"`peers.nodes`, by file and restart at each node: nothing carries it", ""},
		{"a node starts (1,500 a day)", "its 45,600 clients come: processor", "s of a core",
			arrival.times(connsPerNode * 1e-6), maxChangeSeconds, "placement among all servers; set-up", ""},
		{"a change of settings", "bytes to all nodes, a day", "bytes",
			exact(settingsBytes * targetNodes * targetChanges), 0,
			"file and SIGHUP at each node: nothing between nodes carries it", ""},
		{"a change of the list", "processor at a node to take it in", "us", estimateAt("list.change", targetServers),
			0, "the watch, `balance`", ""},
		{"a change of the list", "bytes out of the service, at once", "bytes", changeBytes.times(targetNodes), 0,
			"each node watches the service itself", ""},
		{"600 restarts in ten minutes", "processor at every other node for their clients", "% of a core",
			arrival.times(600.0 / 600 * connsPerNode / targetNodes * microsToPercent), 0,
			"placement among all servers; set-up", ""},
		{"a machine fails (18 a day)", "its clients at others of its zone: processor of each", "s of a core",
			arrival.times(movedClients(1, targetNodes/targetZones-1) * 1e-6), maxChangeSeconds,
			"placement among all servers; set-up", ""},
		{"a rack fails (40 nodes)", "its clients at others of its region: processor of each", "s of a core",
			arrival.times(movedClients(nodesPerRack, targetNodes/targetRegions-nodesPerRack) * 1e-6),
			maxChangeSeconds, "placement among all servers; set-up", ""},
		{"a zone lost (335 nodes)", "its clients at others of its region: processor of each", "s of a core",
			arrival.times(movedClients(
				targetNodes/targetZones, targetNodes/targetRegions-targetNodes/targetZones) * 1e-6),
			maxChangeSeconds, "placement among all servers; set-up", ""},
		{"a zone lost (335 nodes)", "connections at each of these then: memory (service)", "bytes",
			connMemory.times(connsPerNode + movedClients(
				targetNodes/targetZones, targetNodes/targetRegions-targetNodes/targetZones)),
			0, "two sockets and an exchange each", ""},
		{"a zone comes back", "calls for the whole list, 20 a second: time of the service", "s",
			exact(targetNodes / targetZones / listCallsPerSecond), maxChangeSeconds,
			"each node asks the service itself", ""},
		{"a fleet starts while six in ten servers are replaced", "words that the busiest node sends", "1/s",
			estimateAt("words.busiest", targetNodes), 0,
			"hellos until one keeper is found, asks at each need, one keeper's answers", ""},
		{"a fleet starts while six in ten servers are replaced", "words that a node sends in the mean", "1/s",
			estimateAt("words.mean", targetNodes), 0, "hellos until one keeper is found, asks at each need", ""},
		{"all nodes cold", "a node that has an old list asks first after, at most", "s",
			estimateAt("pause.start", targetNodes), maxChangeSeconds, "a spread in proportion to the nodes", ""},
		{"all nodes cold", "calls for the whole list, 20 a second: time of the service", "s",
			exact(targetNodes / listCallsPerSecond), maxChangeSeconds, "each node asks the service itself", ""},
		{"all nodes cold", "bytes of these", "bytes", listBytes.times(targetNodes), 0,
			"each node asks the service itself", ""},
		{"all nodes cold", "a node reads it and takes it in", "us", estimateAt("list.whole", targetServers), 0,
			"`balance`", ""},
		{"all nodes cold", "each places 45,600 clients: processor", "s of a core", arrival.times(connsPerNode * 1e-6),
			maxChangeSeconds, "placement among all servers; set-up", ""},
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("not measured: %s", strings.Join(missing, ", "))
	}
	return figures, nil
}

// perConnection returns the cost of one connection: the slope between the estimates at 500 and at size connections.
func perConnection(estimateAt func(string, float64) estimate, name string, size float64) estimate {
	high, low := estimateAt(name, size), estimateAt(name, 500)
	return estimate{(high.value - low.value) / (size - 500), (high.low - low.high) / (size - 500),
		(high.high - low.low) / (size - 500), high.measurements, high.growth, false}
}
