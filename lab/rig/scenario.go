// Package rig starts many processes of the program on the loopback, with stand-in servers, a list service and clients, puts
// faults on every link and process, and has a checker count at the receivers.
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

// Scenario is a scripted day. Times are written as in "1.5s".
type Scenario struct {
	Name            string      `toml:"name"`
	Description     string      `toml:"about"`
	Length          Duration    `toml:"length"`
	Nodes           int         `toml:"nodes"`
	ControlMachines int         `toml:"control"` // control machines beside the nodes, numbered after them; 0 means that the nodes deal with one another
	Zones           int         `toml:"zones"`   // nodes and control machines are spread over them; 0 means 1
	FleetSize       int         `toml:"fleet"`   // of which they are, by their settings; 0 means that they are all
	Servers         int         `toml:"servers"`
	Clients         Clients     `toml:"clients"`
	Server          Server      `toml:"server"`
	ListService     ListService `toml:"list"`
	Quotas          Quotas      `toml:"budgets"`
	UseShim         bool        `toml:"shim"`    // processes run under a shim, so that their wall clocks can be stepped and their system calls fail
	InheritSocket   bool        `toml:"inherit"` // each node has a listening socket that its processes inherit, so that they can be upgraded
	Events          []Event     `toml:"events"`
}

// Duration is a time as a scenario writes it.
type Duration = scenario.Duration

// Clients says who comes. A client that is refused or cut off comes again after a time between the two of rejoin.
type Clients struct {
	Initial               int         `toml:"standing"`
	Customers             int         `toml:"customers"` // whose connections they are, in turn; 0 means that each is its own
	PerSecond             float64     `toml:"per_second"`
	MeanDuration          Duration    `toml:"life"`
	Deadline              Duration    `toml:"deadline"`
	ReconnectDelay        [2]Duration `toml:"rejoin"`
	BusyNodeWeight        float64     `toml:"uneven"` // a tenth of the nodes, one at the least, gets so many times what another does; 0 means 1
	MisbehavingPerSecond  float64     `toml:"odd"`    // clients a second that misbehave
	NotIdempotentFraction float64     `toml:"unsafe"` // part of the clients whose requests must not be repeated
	KeyedFraction         float64     `toml:"keyed"`  // and whose repeats are dropped for a while
}

// Server says what each server is like.
type Server struct {
	Capacity             int      `toml:"holds"`
	SlowStartMinCapacity float64  `toml:"cold_from"`
	SlowStartDuration    Duration `toml:"cold_for"`
	OverloadFactor       float64  `toml:"fall_multiple"`
	OverloadWindow       Duration `toml:"fall_window"`
	DrainGrace           Duration `toml:"grace"`
}

// ListService says what the list service is like.
type ListService struct {
	CallsPerSecond    float64  `toml:"per_second"` // calls that it works through
	CallTimeout       Duration `toml:"patience"`   // a call that waits longer fails, and is worked on all the same
	PropagationDelay  Duration `toml:"lag"`
	EmptyInitialList  bool     `toml:"unknown"` // nodes that start know no server; else the list as it is then
	NotificationGrace Duration `toml:"told"`    // a change counts as told to all nodes so long after the service had it and could be reached; 0 for when it was written
}

// Quotas says how the nodes share what all of them may do.
type Quotas struct {
	Leased             bool    `toml:"lease"` // among one another; else each has its fixed part
	GuaranteedFraction float64 `toml:"floor"` // part of the whole that is fixed parts

	RetriesPerSecond      int `toml:"retries_per_s"`    // further attempts of requests, of all nodes in any second; 0 means no bound, here and below
	ListCallsPerSecond    int `toml:"list_calls_per_s"` // for the list
	HealthChecksPerSecond int `toml:"probes_per_s"`     // of each server
	ConnectsPerSecond     int `toml:"connects_per_s"`   // new connections to each server
	MovesPerSecond        int `toml:"moves_per_s"`      // clients moved off each server for its relief
	OpensPerSecond        int `toml:"opens_per_s"`      // new connections of each customer

	OpenPerCustomer int      `toml:"open_per_customer"` // at once; 0 means no bound
	OpenLeaseTerm   Duration `toml:"open_lease"`        // of what is over a node's own part of that; 0 means the program's default
}

// rates are the bounds by their keys.
func (b Quotas) rates() map[string]int {
	return map[string]int{"retries_per_s": b.RetriesPerSecond, "list_calls_per_s": b.ListCallsPerSecond, "probes_per_s": b.HealthChecksPerSecond, "connects_per_s": b.ConnectsPerSecond,
		"moves_per_s": b.MovesPerSecond, "opens_per_s": b.OpensPerSecond, "open_per_customer": b.OpenPerCustomer}
}

// Event is something that goes wrong.
type Event struct {
	At         Duration `toml:"at"`
	Kind       string   `toml:"do"`
	Fraction   float64  `toml:"part"`  // of the nodes or servers
	Stagger    Duration `toml:"over"`  // spread over this time,
	Steps      int      `toml:"steps"` // in so many steps; 0 means one by one
	Duration   Duration `toml:"for"`
	Nodes      []int    `toml:"nodes"` // these, in place of a part
	AwaitReady bool     `toml:"ready"` // kill, stop: each only once its process is ready, or has had the time for it
	Group      string   `toml:"of"`    // "control": a part of the control machines, in place of the nodes

	Link        string   `toml:"link"` // peers, children, list, servers or clients
	Direction   string   `toml:"way"`  // to the node, from it, or both
	Mode        string   `toml:"mode"` // pass, drop, stall, reset, cut
	Delay       Duration `toml:"delay"`
	Loss        float64  `toml:"lose"`  // parts of the words between nodes that are lost,
	Duplicate   float64  `toml:"twice"` // come twice,
	Reorder     float64  `toml:"late"`  // or come late and so in another order
	ClockOffset Duration `toml:"clock"` // by which a restarted node's wall clock is off, or by which it is stepped

	Syscalls    []string `toml:"calls"`  // system calls that fail by chance: accept, socket, connect
	Probability float64  `toml:"chance"` // of a call to fail, or of a server's answer to be spoilt
}

// group is how many deal with one another as equals: the control machines, or the nodes where there are none.
func (s *Scenario) group() int {
	if s.ControlMachines > 0 {
		return s.ControlMachines
	}
	return s.Nodes
}

// zone is that of a process: nodes lie in blocks, control machines in turn.
func (s *Scenario) zone(index int) int {
	if zones := max(s.Zones, 1); index >= s.Nodes {
		return (index - s.Nodes) % zones
	} else {
		return index * zones / s.Nodes
	}
}

// preference gives the control machines of a node, as processes: first those of its zone, each node beginning with another.
func (s *Scenario) preference(index int) (near []int) {
	var far []int
	for i := range s.ControlMachines {
		if c := s.Nodes + (index+i)%s.ControlMachines; s.zone(c) == s.zone(index) {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return append(near, far...)
}

// missing is the place of the first node that an event names and that is not there; -1 where all are.
func (s *Scenario) missing(e Event) int {
	return slices.IndexFunc(e.Nodes, func(n int) bool { return n < 0 || n >= s.Nodes+s.ControlMachines })
}

var kinds = []string{"kill", "stop", "pause", "twin", "split", "link", "replace_servers", "crash_servers", "hang_servers", "list_down", "list_stuck",
	"upgrade", "reload", "log_stuck", "clock_step", "syscalls", "spoil_servers"}

// calls are the system calls that may be made to fail.
var calls = map[string]shim.Call{"accept": shim.Accept, "socket": shim.Socket, "connect": shim.Connect}

//go:embed scenarios/*.toml
var kept embed.FS

// EmbeddedNames returns the names of the scenarios that come with the program.
func EmbeddedNames() []string { return scenario.EmbeddedNames(kept) }

// Load reads a kept scenario by its name, or a file.
func Load(name string) (*Scenario, error) {
	s := &Scenario{}
	return s, scenario.Load(kept, name, s)
}

// SetNodes plays the scenario with another number of nodes. An error names the scenario and the key that does not fit it, such as
// an event about a node that is not there.
func (s *Scenario) SetNodes(nodes int) error {
	s.Nodes = nodes
	if err := s.Check(); err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	return nil
}

// Check names the first key that is faulty.
func (s *Scenario) Check() error {
	c, v := s.Clients, s.Server
	for _, f := range []struct {
		key  string
		good bool
		want string
	}{
		{"name", s.Name != "", "a text"},
		{"length", s.Length > 0 && s.Length <= Duration(time.Hour), "over 0, at most 1h"},
		{"nodes", s.Nodes >= 2 && s.Nodes <= 300, "2 to 300"},
		{"control", s.ControlMachines >= 0 && s.ControlMachines <= 32 && (s.ControlMachines == 0 || s.Quotas.Leased), "0 to 32, and 0 without budgets.lease"},
		{"zones", s.Zones >= 0 && s.Zones <= s.Nodes, "0 to the nodes"},
		{"servers", s.Servers > 0 && s.Servers <= 300, "1 to 300"},
		{"clients.standing", c.Initial >= 0 && c.Initial <= 4000, "0 to 4000"},
		{"clients.customers", c.Customers >= 0, "0 or more"},
		{"clients.per_second", c.PerSecond >= 0 && c.PerSecond <= 2000, "0 to 2000"},
		{"clients.life", c.MeanDuration > 0, "over 0"},
		{"clients.deadline", c.Deadline >= Duration(100*time.Millisecond), "0.1s or more"},
		{"clients.rejoin", c.ReconnectDelay[0] > 0 && c.ReconnectDelay[1] >= c.ReconnectDelay[0], "two times over 0, the shorter first"},
		{"clients.uneven", c.BusyNodeWeight >= 0 && c.BusyNodeWeight <= 1000, "0 to 1000"},
		{"clients.odd", c.MisbehavingPerSecond >= 0 && c.MisbehavingPerSecond <= 1000, "0 to 1000"},
		{"clients.unsafe", c.NotIdempotentFraction >= 0 && c.KeyedFraction >= 0 && c.NotIdempotentFraction+c.KeyedFraction <= 1, "0 to 1, and no more than 1 with clients.keyed"},
		{"server.holds", v.Capacity > 0, "over 0"},
		{"server.cold_from", v.SlowStartMinCapacity > 0 && v.SlowStartMinCapacity <= 1, "over 0, at most 1"},
		{"server.cold_for", v.SlowStartDuration > 0, "over 0"},
		{"server.fall_multiple", v.OverloadFactor > 0, "over 0"},
		{"server.fall_window", v.OverloadWindow > 0, "over 0"},
		{"server.grace", v.DrainGrace >= 0, "0 or more"},
		{"list.per_second", s.ListService.CallsPerSecond >= 0, "0 or more"},
		{"list.patience", s.ListService.CallTimeout >= 0, "0 or more"},
		{"list.lag", s.ListService.PropagationDelay >= 0, "0 or more"},
		{"list.told", s.ListService.NotificationGrace >= 0, "0 or more"},
		{"fleet", s.FleetSize == 0 || s.FleetSize >= s.Nodes, "0, or the nodes or more"},
		{"budgets.floor", s.Quotas.GuaranteedFraction >= 0 && s.Quotas.GuaranteedFraction <= 1, "0 to 1: the fixed parts are no more than the whole"},
	} {
		if !f.good {
			return fmt.Errorf("%s: must be %s", f.key, f.want)
		}
	}
	for key, n := range s.Quotas.rates() {
		if n < 0 || n > 0 && !s.Quotas.Leased {
			return fmt.Errorf("budgets.%s: must be 0 or more, and 0 without lease", key)
		}
	}
	for i, e := range s.Events {
		odds := max(e.Loss, e.Duplicate, e.Reorder)
		switch {
		case !slices.Contains(kinds, e.Kind):
			return fmt.Errorf("events[%d].do: %q is none of %s", i, e.Kind, strings.Join(kinds, ", "))
		case e.At < 0 || e.At > s.Length:
			return fmt.Errorf("events[%d].at: must lie within the length", i)
		case e.Fraction < 0 || e.Fraction > 1:
			return fmt.Errorf("events[%d].part: must be 0 to 1", i)
		case e.Steps < 0:
			return fmt.Errorf("events[%d].steps: must be 0 or more", i)
		case e.Duration < 0 || e.Stagger < 0 || e.Delay < 0:
			return fmt.Errorf("events[%d]: times must be 0 or more", i)
		case s.missing(e) >= 0:
			return fmt.Errorf("events[%d].nodes: %d is not 0 to %d", i, e.Nodes[s.missing(e)], s.Nodes+s.ControlMachines-1)
		case e.Group != "" && (e.Group != "control" || s.ControlMachines == 0):
			return fmt.Errorf("events[%d].of: %q is not control, of which there are %d", i, e.Group, s.ControlMachines)
		case odds > 1 || min(e.Loss, e.Duplicate, e.Reorder) < 0:
			return fmt.Errorf("events[%d]: lose, twice and late must be 0 to 1", i)
		case s.ListService.NotificationGrace > 0 && (e.Kind == "list_stuck" || e.Kind == "link" && e.Link == "list"):
			return fmt.Errorf("events[%d]: with list.told the service is the same to all nodes", i)
		case e.Probability < 0 || e.Probability > 1:
			return fmt.Errorf("events[%d].chance: must be 0 to 1", i)
		case !s.UseShim && (e.Kind == "clock_step" || e.Kind == "syscalls"):
			return fmt.Errorf("events[%d].do: %s needs shim = true", i, e.Kind)
		case !s.InheritSocket && e.Kind == "upgrade":
			return fmt.Errorf("events[%d].do: upgrade needs inherit = true", i)
		case e.Kind == "syscalls" && (len(e.Syscalls) == 0 || slices.ContainsFunc(e.Syscalls, func(c string) bool { return calls[c] == 0 })):
			return fmt.Errorf("events[%d].calls: %q are not of accept, socket, connect", i, e.Syscalls)
		case e.Kind != "link":
		case !slices.Contains([]string{"peers", "children", "list", "servers", "clients"}, e.Link):
			return fmt.Errorf("events[%d].link: %q is none of peers, children, list, servers, clients", i, e.Link)
		case e.Link == "children" && s.ControlMachines == 0:
			return fmt.Errorf("events[%d].link: children are those of control machines, and there are none", i)
		case e.Link == "peers" && s.ControlMachines > 0 && e.Group != "control" && len(e.Nodes) == 0, e.Link == "peers" && slices.ContainsFunc(e.Nodes, func(n int) bool { return s.ControlMachines > 0 && n < s.Nodes }):
			return fmt.Errorf("events[%d].link: peers are the control machines, where there are any", i)
		case !slices.Contains([]string{"to", "from", "both"}, e.Direction):
			return fmt.Errorf("events[%d].way: %q is none of to, from, both", i, e.Direction)
		case modes[e.Mode] == 0 && e.Mode != "pass":
			return fmt.Errorf("events[%d].mode: %q is none of pass, drop, stall, reset, cut", i, e.Mode)
		case odds > 0 && e.Link != "peers" && e.Link != "children":
			return fmt.Errorf("events[%d]: lose, twice and late are for peers and children, whose words are datagrams", i)
		}
	}
	return nil
}
