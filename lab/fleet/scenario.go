// Package fleet simulates many nodes and servers in virtual time. The nodes make their decisions with package balance
// and use no sockets. The simulation measures quantities that a single node cannot observe: the service that clients
// receive, the load of the servers and violations of invariants. The package contains the scenarios, the simulated
// clients, servers and discovery, and the comparison of results; other packages of lab run nodes on sockets and as
// processes. The same scenario and seed produce the same result byte for byte.
package fleet

import (
	"embed"

	"brassmux/lab/scenario"
)

// Duration is a duration in a scenario, written in the form "1.5s".
type Duration = scenario.Duration

// Scenario describes a run: the fleet, the clients and the faults to inject.
type Scenario struct {
	Name        string    `toml:"name"`
	Description string    `toml:"about"`
	Length      Duration  `toml:"length"`
	Nodes       int       `toml:"nodes"`
	Servers     int       `toml:"servers"`
	Clients     Clients   `toml:"clients"`
	Server      Server    `toml:"server"`
	Discovery   Discovery `toml:"discovery"`
	Quotas      Quotas    `toml:"budgets"`
	Faults      []Fault   `toml:"events"`
}

// Clients describes the number and the behavior of the clients.
type Clients struct {
	Initial           int         `toml:"standing"`   // clients that connect at the start
	ArrivalsPerSecond float64     `toml:"per_second"` // mean rate of new clients
	MeanDuration      Duration    `toml:"life"`       // for which a client wants a connection
	Deadline          Duration    `toml:"deadline"`   // for an answer
	ReconnectDelay    [2]Duration `toml:"rejoin"`     // bounds of the delay after a rejection or a lost connection
	Groups            int         `toml:"groups"`     // number of groups that share work; the first is the largest
}

// Server describes the servers, which are all alike.
type Server struct {
	Capacity             float64  `toml:"holds"`      // number of connections of mean load
	GroupCost            float64  `toml:"group_cost"` // load of each group with a connection, in mean connections
	AcceptDelay          Duration `toml:"set_up"`     // from the arrival of an attempt until it is accepted
	ReportInterval       Duration `toml:"report"`     // between measurements of the load
	ReportDelay          Duration `toml:"late"`       // from a measurement until health checks return it
	SlowStartMinCapacity float64  `toml:"cold_from"`  // fraction of the capacity at the start
	SlowStartWindow      Duration `toml:"cold_for"`   // from the start until the full capacity is available
	OverloadFactor       float64  `toml:"fall_multiple"`
	OverloadWindow       Duration `toml:"fall_window"` // over which attempts are counted against the overload factor
	DrainGrace           Duration `toml:"grace"`       // for attempts after the notification of a drain
}

// Discovery describes the endpoint service, which processes the calls of all nodes one at a time.
type Discovery struct {
	CallsPerSecond   float64  `toml:"per_second"` // processing rate
	CallTimeout      Duration `toml:"patience"`   // calls that wait longer fail but are still processed
	QueueLimit       int      `toml:"places"`     // maximum number of waiting calls
	PropagationDelay Duration `toml:"lag"`        // from a server's change until it is published
}

// Quotas describes how the nodes divide the attempt limits of servers in slow start.
type Quotas struct {
	Leased             bool     `toml:"lease"` // nodes lease quotas from each other; otherwise quotas are fixed
	GuaranteedFraction float64  `toml:"floor"` // fraction of a limit that is divided into fixed quotas
	LeaseTerm          Duration `toml:"term"`
	HeartbeatInterval  Duration `toml:"beat"`
}

// Fault is a fault that is injected during the run.
type Fault struct {
	At       Duration `toml:"at"`
	Kind     string   `toml:"do"`
	Fraction float64  `toml:"part"` // of the nodes, servers or clients
	// Duration is the length of the fault. It is the drain time of an old server with replace_servers, and the shutdown
	// time of a node with restart_nodes.
	Duration         Duration `toml:"for"`
	Stagger          Duration `toml:"over"`   // period over which the targets are affected one after another
	CapacityFraction float64  `toml:"factor"` // slow_servers: remaining fraction of the capacity
}

//go:embed scenarios/*.toml
var embedded embed.FS

// EmbeddedNames returns the names of the scenarios that are embedded in the program.
func EmbeddedNames() []string { return scenario.EmbeddedNames(embedded) }

// Load reads an embedded scenario by its name, or a scenario file by its path, and validates it.
func Load(name string) (*Scenario, error) {
	s := &Scenario{}
	return s, scenario.Load(embedded, name, s)
}

// Parse decodes a scenario and validates it. Errors name the line or the key.
func Parse(data []byte) (*Scenario, error) {
	s := &Scenario{}
	return s, scenario.Parse(data, s)
}
