// Package rig runs scenarios with many processes of the program on the loopback, together with stand-in servers, a list
// service and clients. It injects faults into every link and process, and a checker verifies the history that the
// receivers record.
package rig

import (
	"embed"
	"fmt"
	"slices"
	"strings"
	"time"

	"brassmux/lab/scenario"
	"brassmux/lab/shim"
)

// Scenario describes a run: its processes, its clients and the faults that are injected. Durations are written as in
// "1.5s".
type Scenario struct {
	Name        string   `toml:"name"`
	Description string   `toml:"about"`
	Length      Duration `toml:"length"`
	Nodes       int      `toml:"nodes"`
	// ControlMachines is the number of control machines, numbered after the nodes; 0 means that the nodes exchange
	// leases with one another.
	ControlMachines int `toml:"control"`
	// Zones is the number of zones over which nodes and control machines are spread; 0 means 1.
	Zones int `toml:"zones"`
	// FleetSize is the number of nodes in the fleet according to the nodes' settings; 0 means Nodes.
	FleetSize   int         `toml:"fleet"`
	Servers     int         `toml:"servers"`
	Clients     Clients     `toml:"clients"`
	Server      Server      `toml:"server"`
	ListService ListService `toml:"list"`
	Quotas      Quotas      `toml:"budgets"`
	// UseShim runs the processes under a shim, which can step their wall clocks and make their system calls fail.
	UseShim bool `toml:"shim"`
	// InheritSocket gives each node a listening socket that its processes inherit, so that they can be upgraded live.
	InheritSocket bool    `toml:"inherit"`
	Events        []Event `toml:"events"`
}

// Duration is written in a scenario as in "1.5s".
type Duration = scenario.Duration

// Clients describes the clients.
type Clients struct {
	Initial int `toml:"standing"` // connect within two seconds of the start
	// Customers is the number of customers, one of which is drawn for each client; 0 means that each client is its own
	// customer.
	Customers    int      `toml:"customers"`
	PerSecond    float64  `toml:"per_second"` // new clients
	MeanDuration Duration `toml:"life"`       // of the time for which a client wants a connection
	Deadline     Duration `toml:"deadline"`   // for an answer
	// ReconnectDelay bounds the delay after a rejection or a lost connection.
	ReconnectDelay [2]Duration `toml:"rejoin"`
	// BusyNodeWeight is the traffic of each busy node over that of any other node; 0 means 1. A tenth of the nodes is
	// busy, at least one.
	BusyNodeWeight        float64 `toml:"uneven"`
	MisbehavingPerSecond  float64 `toml:"odd"`    // misbehaving clients
	NotIdempotentFraction float64 `toml:"unsafe"` // of the clients: their requests must not be repeated
	KeyedFraction         float64 `toml:"keyed"`  // of the clients: servers drop repetitions for a while
}

// Server describes each server.
type Server struct {
	Capacity             int      `toml:"holds"`     // connections
	SlowStartMinCapacity float64  `toml:"cold_from"` // fraction of the capacity at the start
	SlowStartDuration    Duration `toml:"cold_for"`  // until the full capacity
	OverloadFactor       float64  `toml:"fall_multiple"`
	OverloadWindow       Duration `toml:"fall_window"` // in which attempts are held to the overload factor
	DrainGrace           Duration `toml:"grace"`       // for attempts after a node learns that the server drains
}

// ListService describes the list service.
type ListService struct {
	CallsPerSecond   float64  `toml:"per_second"` // calls processed
	CallTimeout      Duration `toml:"patience"`   // a call that waits for longer fails but is processed all the same
	PropagationDelay Duration `toml:"lag"`        // until a change of a server is in the list
	// EmptyInitialList starts nodes without any known server; otherwise they start with the current list.
	EmptyInitialList bool `toml:"unknown"`
	// NotificationGrace is the time after which a departing server counts as reported to all nodes, from when the
	// service has the change and is reachable; 0 means that it counts as reported when it was written to the node.
	NotificationGrace Duration `toml:"told"`
}

// Quotas describes the limits that all nodes share, and how they divide them. A limit of 0 means none.
type Quotas struct {
	Leased             bool    `toml:"lease"` // from one another; otherwise each node has a fixed quota
	GuaranteedFraction float64 `toml:"floor"` // of a limit that is divided into fixed quotas

	RetriesPerSecond      int `toml:"retries_per_s"`    // further attempts of requests, by all nodes
	ListCallsPerSecond    int `toml:"list_calls_per_s"` // calls of the list service
	HealthChecksPerSecond int `toml:"probes_per_s"`     // of each server
	ConnectsPerSecond     int `toml:"connects_per_s"`   // new connections to each server
	MovesPerSecond        int `toml:"moves_per_s"`      // clients moved off each server to rebalance it
	OpensPerSecond        int `toml:"opens_per_s"`      // new connections of each customer

	OpenPerCustomer int `toml:"open_per_customer"` // concurrent connections
	// OpenLeaseTerm is the lease term of a concurrent connection beyond a node's fixed quota; 0 means the program's
	// default.
	OpenLeaseTerm Duration `toml:"open_lease"`
}

// limits returns the limits by their keys.
func (q Quotas) limits() map[string]int {
	return map[string]int{"retries_per_s": q.RetriesPerSecond, "list_calls_per_s": q.ListCallsPerSecond,
		"probes_per_s": q.HealthChecksPerSecond, "connects_per_s": q.ConnectsPerSecond,
		"moves_per_s": q.MovesPerSecond, "opens_per_s": q.OpensPerSecond, "open_per_customer": q.OpenPerCustomer}
}

// Event is a fault, or a planned change such as a restart, that is injected during the run.
type Event struct {
	At       Duration `toml:"at"`
	Kind     string   `toml:"do"`
	Fraction float64  `toml:"part"`  // of the nodes or servers
	Stagger  Duration `toml:"over"`  // the time over which the targets are hit one after another
	Steps    int      `toml:"steps"` // number of groups in which they are hit; 0 means one by one
	// Duration is how long the fault lasts; with kill, stop and crash_servers the time until a replacement starts,
	// with replace_servers how long an old server drains.
	Duration Duration `toml:"for"`
	Nodes    []int    `toml:"nodes"` // in place of a fraction
	// AwaitReady makes kill and stop wait for each process to be ready, for at most readyTimeout.
	AwaitReady bool   `toml:"ready"`
	Group      string `toml:"of"` // "control" draws the fraction from the control machines in place of the nodes

	Link        string   `toml:"link"` // peers, children, list, servers or clients
	Direction   string   `toml:"way"`  // to the node, from it, or both
	Mode        string   `toml:"mode"` // pass, drop, stall, reset, cut
	Delay       Duration `toml:"delay"`
	Loss        float64  `toml:"lose"`  // probability that a datagram is lost
	Duplicate   float64  `toml:"twice"` // probability that a datagram is duplicated
	Reorder     float64  `toml:"late"`  // probability that a datagram is late and so reordered
	ClockOffset Duration `toml:"clock"` // of the wall clock of a restarted node, or of one whose clock is stepped

	Syscalls    []string `toml:"calls"`  // system calls that fail at random: accept, socket, connect
	Probability float64  `toml:"chance"` // that a call fails, or that a server's answer is malformed
}

// peerCount returns the number of processes that exchange leases as peers: the control machines, or without those the
// nodes.
func (s *Scenario) peerCount() int {
	if s.ControlMachines > 0 {
		return s.ControlMachines
	}
	return s.Nodes
}

// zone returns the zone of a process. Nodes are assigned to zones in blocks, control machines round-robin.
func (s *Scenario) zone(index int) int {
	if zones := max(s.Zones, 1); index >= s.Nodes {
		return (index - s.Nodes) % zones
	} else {
		return index * zones / s.Nodes
	}
}

// controlMachinesByZone returns the process indices of a node's control machines, those in its zone first. Neighboring
// nodes start with different ones, to spread the load.
func (s *Scenario) controlMachinesByZone(index int) (near []int) {
	var far []int
	for i := range s.ControlMachines {
		if control := s.Nodes + (index+i)%s.ControlMachines; s.zone(control) == s.zone(index) {
			near = append(near, control)
		} else {
			far = append(far, control)
		}
	}
	return append(near, far...)
}

// unknownNodeIndex returns the position, in the nodes of an event, of the first that does not exist; -1 if all exist.
func (s *Scenario) unknownNodeIndex(event Event) int {
	return slices.IndexFunc(event.Nodes, func(n int) bool { return n < 0 || n >= s.Nodes+s.ControlMachines })
}

// eventKinds are the valid values of Event.Kind.
var eventKinds = []string{"kill", "stop", "pause", "twin", "split", "link", "replace_servers", "crash_servers",
	"hang_servers", "list_down", "list_stuck", "upgrade", "reload", "log_stuck", "clock_step", "syscalls",
	"spoil_servers"}

// syscalls are the system calls that can be made to fail, by their names in a scenario.
var syscalls = map[string]shim.Call{"accept": shim.Accept, "socket": shim.Socket, "connect": shim.Connect}

//go:embed scenarios/*.toml
var embedded embed.FS

// EmbeddedNames returns the names of the scenarios that are part of the program.
func EmbeddedNames() []string { return scenario.EmbeddedNames(embedded) }

// Load reads an embedded scenario by its name, or a file by its path, and checks it.
func Load(name string) (*Scenario, error) {
	s := &Scenario{}
	return s, scenario.Load(embedded, name, s)
}

// SetNodes changes the number of nodes and checks the scenario again. An error names the scenario and the key that does
// not fit the number, such as an event that names a missing node.
func (s *Scenario) SetNodes(nodes int) error {
	s.Nodes = nodes
	if err := s.Check(); err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	return nil
}

// Check returns an error that names the first invalid key.
func (s *Scenario) Check() error {
	clients, server := s.Clients, s.Server
	for _, rule := range []struct {
		key         string
		valid       bool
		requirement string
	}{
		{"name", s.Name != "", "a non-empty text"},
		{"length", s.Length > 0 && s.Length <= Duration(time.Hour), "over 0, at most 1h"},
		{"nodes", s.Nodes >= 2 && s.Nodes <= 300, "2 to 300"},
		{"control", s.ControlMachines >= 0 && s.ControlMachines <= 32 && (s.ControlMachines == 0 || s.Quotas.Leased),
			"0 to 32, and 0 without budgets.lease"},
		{"zones", s.Zones >= 0 && s.Zones <= s.Nodes, "0 to the number of nodes"},
		{"servers", s.Servers > 0 && s.Servers <= 300, "1 to 300"},
		{"clients.standing", clients.Initial >= 0 && clients.Initial <= 4000, "0 to 4000"},
		{"clients.customers", clients.Customers >= 0, "0 or more"},
		{"clients.per_second", clients.PerSecond >= 0 && clients.PerSecond <= 2000, "0 to 2000"},
		{"clients.life", clients.MeanDuration > 0, "over 0"},
		{"clients.deadline", clients.Deadline >= Duration(100*time.Millisecond), "0.1s or more"},
		{"clients.rejoin", clients.ReconnectDelay[0] > 0 && clients.ReconnectDelay[1] >= clients.ReconnectDelay[0],
			"two durations over 0, the shorter first"},
		{"clients.uneven", clients.BusyNodeWeight >= 0 && clients.BusyNodeWeight <= 1000, "0 to 1000"},
		{"clients.odd", clients.MisbehavingPerSecond >= 0 && clients.MisbehavingPerSecond <= 1000, "0 to 1000"},
		{"clients.unsafe", clients.NotIdempotentFraction >= 0 && clients.KeyedFraction >= 0 &&
			clients.NotIdempotentFraction+clients.KeyedFraction <= 1,
			"0 to 1, and at most 1 together with clients.keyed"},
		{"server.holds", server.Capacity > 0, "over 0"},
		{"server.cold_from", server.SlowStartMinCapacity > 0 && server.SlowStartMinCapacity <= 1, "over 0, at most 1"},
		{"server.cold_for", server.SlowStartDuration > 0, "over 0"},
		{"server.fall_multiple", server.OverloadFactor > 0, "over 0"},
		{"server.fall_window", server.OverloadWindow > 0, "over 0"},
		{"server.grace", server.DrainGrace >= 0, "0 or more"},
		{"list.per_second", s.ListService.CallsPerSecond >= 0, "0 or more"},
		{"list.patience", s.ListService.CallTimeout >= 0, "0 or more"},
		{"list.lag", s.ListService.PropagationDelay >= 0, "0 or more"},
		{"list.told", s.ListService.NotificationGrace >= 0, "0 or more"},
		{"fleet", s.FleetSize == 0 || s.FleetSize >= s.Nodes, "0, or at least the number of nodes"},
		{"budgets.floor", s.Quotas.GuaranteedFraction >= 0 && s.Quotas.GuaranteedFraction <= 1,
			"0 to 1, as a fraction of each limit"},
	} {
		if !rule.valid {
			return fmt.Errorf("%s: must be %s", rule.key, rule.requirement)
		}
	}
	for key, limit := range s.Quotas.limits() {
		if limit < 0 || limit > 0 && !s.Quotas.Leased {
			return fmt.Errorf("budgets.%s: must be 0 or more, and 0 without budgets.lease", key)
		}
	}
	for i, event := range s.Events {
		maxProbability := max(event.Loss, event.Duplicate, event.Reorder)
		switch {
		case !slices.Contains(eventKinds, event.Kind):
			return fmt.Errorf("events[%d].do: %q is none of %s", i, event.Kind, strings.Join(eventKinds, ", "))
		case event.At < 0 || event.At > s.Length:
			return fmt.Errorf("events[%d].at: must be within the length of the scenario", i)
		case event.Fraction < 0 || event.Fraction > 1:
			return fmt.Errorf("events[%d].part: must be 0 to 1", i)
		case event.Steps < 0:
			return fmt.Errorf("events[%d].steps: must be 0 or more", i)
		case event.Duration < 0 || event.Stagger < 0 || event.Delay < 0:
			return fmt.Errorf("events[%d]: for, over and delay must be 0 or more", i)
		case s.unknownNodeIndex(event) >= 0:
			return fmt.Errorf("events[%d].nodes: %d is not 0 to %d", i, event.Nodes[s.unknownNodeIndex(event)],
				s.Nodes+s.ControlMachines-1)
		case event.Group != "" && (event.Group != "control" || s.ControlMachines == 0):
			return fmt.Errorf("events[%d].of: %q is not control, or there are no control machines (%d)", i, event.Group,
				s.ControlMachines)
		case maxProbability > 1 || min(event.Loss, event.Duplicate, event.Reorder) < 0:
			return fmt.Errorf("events[%d]: lose, twice and late must be 0 to 1", i)
		case s.ListService.NotificationGrace > 0 &&
			(event.Kind == "list_stuck" || event.Kind == "link" && event.Link == "list"):
			return fmt.Errorf("events[%d]: list.told does not allow faults of the list service at some nodes only", i)
		case event.Probability < 0 || event.Probability > 1:
			return fmt.Errorf("events[%d].chance: must be 0 to 1", i)
		case !s.UseShim && (event.Kind == "clock_step" || event.Kind == "syscalls"):
			return fmt.Errorf("events[%d].do: %s needs shim = true", i, event.Kind)
		case !s.InheritSocket && event.Kind == "upgrade":
			return fmt.Errorf("events[%d].do: upgrade needs inherit = true", i)
		case event.Kind == "syscalls" && (len(event.Syscalls) == 0 ||
			slices.ContainsFunc(event.Syscalls, func(name string) bool { return syscalls[name] == 0 })):
			return fmt.Errorf("events[%d].calls: %q must be some of accept, socket, connect", i, event.Syscalls)
		case event.Kind != "link":
		case !slices.Contains([]string{"peers", "children", "list", "servers", "clients"}, event.Link):
			return fmt.Errorf("events[%d].link: %q is none of peers, children, list, servers, clients", i, event.Link)
		case event.Link == "children" && s.ControlMachines == 0:
			return fmt.Errorf("events[%d].link: children needs control machines, and there are none", i)
		case event.Link == "peers" && s.ControlMachines > 0 && event.Group != "control" && len(event.Nodes) == 0,
			event.Link == "peers" &&
				slices.ContainsFunc(event.Nodes, func(n int) bool { return s.ControlMachines > 0 && n < s.Nodes }):
			return fmt.Errorf("events[%d].link: peers must be control machines, as the scenario has some", i)
		case !slices.Contains([]string{"to", "from", "both"}, event.Direction):
			return fmt.Errorf("events[%d].way: %q is none of to, from, both", i, event.Direction)
		case linkModes[event.Mode] == 0 && event.Mode != "pass":
			return fmt.Errorf("events[%d].mode: %q is none of pass, drop, stall, reset, cut", i, event.Mode)
		case maxProbability > 0 && event.Link != "peers" && event.Link != "children":
			return fmt.Errorf("events[%d]: lose, twice and late are for peers and children, which use datagrams", i)
		}
	}
	return nil
}
