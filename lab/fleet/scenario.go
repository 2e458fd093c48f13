// Package fleet simulates many nodes and servers in virtual time. The nodes decide with balance, without sockets, and
// the simulation counts across the fleet what one node cannot see: the service that clients get, the load of the
// servers and violated invariants. It owns the scenarios, the simulated clients, servers and discovery, and the
// comparison of results; runs on sockets and real processes are left to other packages of the laboratory. The same
// scenario and seed give the same result to the byte.
package fleet

import (
	"embed"

	"brassmux/lab/scenario"
)

// Duration is written in a scenario as in "1.5s".
type Duration = scenario.Duration

// Scenario describes a run: its fleet, its clients and the faults that are injected.
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

// Clients describes the clients.
type Clients struct {
	Initial           int         `toml:"standing"`   // connect at the start
	ArrivalsPerSecond float64     `toml:"per_second"` // new clients
	MeanDuration      Duration    `toml:"life"`       // of a connection
	Deadline          Duration    `toml:"deadline"`   // for an answer
	ReconnectDelay    [2]Duration `toml:"rejoin"`     // bounds of the delay after a rejection or a lost connection
	Groups            int         `toml:"groups"`     // of clients that share work; the first is the largest
}

// Server describes each server.
type Server struct {
	Capacity             float64  `toml:"holds"`      // connections of mean load
	GroupCost            float64  `toml:"group_cost"` // load of each group with a connection, in mean connections
	AcceptDelay          Duration `toml:"set_up"`     // until a connection is accepted
	ReportInterval       Duration `toml:"report"`     // between measurements of the load
	ReportDelay          Duration `toml:"late"`       // until a health check reads a measurement
	SlowStartMinCapacity float64  `toml:"cold_from"`  // fraction of the capacity at the start
	SlowStartWindow      Duration `toml:"cold_for"`   // until the full capacity
	OverloadFactor       float64  `toml:"fall_multiple"`
	OverloadWindow       Duration `toml:"fall_window"` // in which attempts are held to the overload factor
	DrainGrace           Duration `toml:"grace"`       // for attempts after a node learns that the server drains
}

// Discovery describes the endpoint service, which serves the calls of all nodes one after another.
type Discovery struct {
	CallsPerSecond   float64  `toml:"per_second"` // calls served
	CallTimeout      Duration `toml:"patience"`   // a call that waits for longer fails but is served all the same
	QueueLimit       int      `toml:"places"`     // calls that may wait
	PropagationDelay Duration `toml:"lag"`        // until a change of a server is known
}

// Quotas describes how the nodes divide the limits of servers in slow start.
type Quotas struct {
	Leased             bool     `toml:"lease"` // from one another; otherwise each node has a fixed quota
	GuaranteedFraction float64  `toml:"floor"` // of a limit that is divided into fixed quotas
	LeaseTerm          Duration `toml:"term"`
	HeartbeatInterval  Duration `toml:"beat"`
}

// Fault is a fault that is injected during the run.
type Fault struct {
	At       Duration `toml:"at"`
	Kind     string   `toml:"do"`
	Fraction float64  `toml:"part"` // of the nodes, servers or clients
	// Duration is how long the fault lasts; with replace_servers how long an old server drains, with restart_nodes how
	// long a node shuts down.
	Duration         Duration `toml:"for"`
	Stagger          Duration `toml:"over"`   // the time over which the targets are hit one after another
	CapacityFraction float64  `toml:"factor"` // slow_servers: fraction of the capacity that is left
}

//go:embed scenarios/*.toml
var embedded embed.FS

// EmbeddedNames returns the names of the scenarios that are part of the program.
func EmbeddedNames() []string { return scenario.EmbeddedNames(embedded) }

// Load reads an embedded scenario by its name, or a file by its path, and checks it.
func Load(name string) (*Scenario, error) {
	s := &Scenario{}
	return s, scenario.Load(embedded, name, s)
}

// Parse reads a scenario and checks it. An error names the line or key.
func Parse(data []byte) (*Scenario, error) {
	s := &Scenario{}
	return s, scenario.Parse(data, s)
}
