package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	maxLength           = time.Hour
	maxNodes            = 5000
	maxServers          = 5000
	maxInitialClients   = 1e6
	maxClientsPerSecond = 1e5
)

// requirement is a condition that the value of a key must meet.
type requirement struct {
	key       string
	valid     bool
	condition string
}

// Check returns an error that names the first key with an invalid value, or nil.
func (s *Scenario) Check() error {
	requirements := slices.Concat(s.requirements(), s.Clients.requirements(), s.Server.requirements(),
		s.Discovery.requirements(), s.Quotas.requirements())
	for _, required := range requirements {
		if !required.valid {
			return fmt.Errorf("%s: must be %s", required.key, required.condition)
		}
	}
	for i, fault := range s.Faults {
		if err := fault.check(i, s.Length); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) requirements() []requirement {
	return []requirement{
		{"name", s.Name != "", "a non-empty string"},
		{"length", s.Length > 0 && s.Length <= Duration(maxLength), "greater than 0 and at most 1h"},
		{"nodes", s.Nodes > 0 && s.Nodes <= maxNodes, "1 to 5000"},
		{"servers", s.Servers > 0 && s.Servers <= maxServers, "1 to 5000"},
	}
}

func (c Clients) requirements() []requirement {
	delay := c.ReconnectDelay
	return []requirement{
		{"clients.standing", c.Initial >= 0 && c.Initial <= maxInitialClients, "0 to 1000000"},
		{"clients.per_second", c.ArrivalsPerSecond >= 0 && c.ArrivalsPerSecond <= maxClientsPerSecond, "0 to 100000"},
		{"clients.life", c.MeanDuration > 0, "greater than 0"},
		{"clients.deadline", c.Deadline > 0, "greater than 0"},
		{"clients.rejoin", delay[0] > 0 && delay[1] >= delay[0], "two durations greater than 0, in ascending order"},
		{"clients.groups", c.Groups >= 0, "0 or more"},
	}
}

func (s Server) requirements() []requirement {
	return []requirement{
		{"server.holds", s.Capacity > 0, "greater than 0"},
		{"server.group_cost", s.GroupCost >= 0, "0 or more"},
		{"server.report", s.ReportInterval > 0, "greater than 0"},
		{"server.set_up", s.AcceptDelay >= 0, "0 or more"},
		{"server.late", s.ReportDelay >= 0, "0 or more"},
		{"server.cold_from", s.SlowStartMinCapacity > 0 && s.SlowStartMinCapacity <= 1, "greater than 0 and at most 1"},
		{"server.cold_for", s.SlowStartWindow > 0, "greater than 0"},
		{"server.fall_multiple", s.OverloadFactor > 0, "greater than 0"},
		{"server.fall_window", s.OverloadWindow > 0, "greater than 0"},
		{"server.grace", s.DrainGrace >= 0, "0 or more"},
	}
}

func (d Discovery) requirements() []requirement {
	return []requirement{
		{"discovery.per_second", d.CallsPerSecond > 0, "greater than 0"},
		{"discovery.patience", d.CallTimeout > 0, "greater than 0"},
		{"discovery.places", d.QueueLimit > 0, "greater than 0"},
		{"discovery.lag", d.PropagationDelay >= 0, "0 or more"},
	}
}

func (q Quotas) requirements() []requirement {
	return []requirement{
		{"budgets.floor", q.GuaranteedFraction >= 0 && q.GuaranteedFraction <= 1,
			"0 to 1: fixed quotas cannot exceed the limit that they divide"},
		{"budgets.term", !q.Leased || q.LeaseTerm > 0, "greater than 0"},
		{"budgets.beat", !q.Leased || q.HeartbeatInterval > 0, "greater than 0"},
	}
}

// check validates the fault at an index of a scenario's events. length is the length of the scenario.
func (f Fault) check(index int, length Duration) error {
	kinds := slices.Sorted(maps.Keys(injectors))
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("events[%d].do: %q is not one of %s", index, f.Kind, strings.Join(kinds, ", "))
	case f.At < 0 || f.At > length:
		return fmt.Errorf("events[%d].at: must be between 0 and the length of the scenario", index)
	case f.Fraction < 0 || f.Fraction > 1:
		return fmt.Errorf("events[%d].part: must be between 0 and 1", index)
	case f.Duration < 0 || f.Stagger < 0:
		return fmt.Errorf("events[%d]: for and over must be 0 or more", index)
	case f.Kind == "slow_servers" && (f.CapacityFraction <= 0 || f.CapacityFraction > 1):
		return fmt.Errorf("events[%d].factor: must be greater than 0 and at most 1", index)
	}
	return nil
}
