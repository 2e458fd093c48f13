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

// requirement is what the value of a key must be.
type requirement struct {
	key   string
	valid bool
	text  string
}

// Check returns an error that names the first key with an invalid value.
func (s *Scenario) Check() error {
	requirements := slices.Concat(s.requirements(), s.Clients.requirements(), s.Server.requirements(),
		s.Discovery.requirements(), s.Quotas.requirements())
	for _, r := range requirements {
		if !r.valid {
			return fmt.Errorf("%s: must be %s", r.key, r.text)
		}
	}
	for i, f := range s.Faults {
		if err := f.check(i, s.Length); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) requirements() []requirement {
	return []requirement{
		{"name", s.Name != "", "a text"},
		{"length", s.Length > 0 && s.Length <= Duration(maxLength), "over 0, at most 1h"},
		{"nodes", s.Nodes > 0 && s.Nodes <= maxNodes, "1 to 5000"},
		{"servers", s.Servers > 0 && s.Servers <= maxServers, "1 to 5000"},
	}
}

func (c Clients) requirements() []requirement {
	delay := c.ReconnectDelay
	return []requirement{
		{"clients.standing", c.Initial >= 0 && c.Initial <= maxInitialClients, "0 to 1000000"},
		{"clients.per_second", c.ArrivalsPerSecond >= 0 && c.ArrivalsPerSecond <= maxClientsPerSecond, "0 to 100000"},
		{"clients.life", c.MeanDuration > 0, "over 0"},
		{"clients.deadline", c.Deadline > 0, "over 0"},
		{"clients.rejoin", delay[0] > 0 && delay[1] >= delay[0], "two times over 0, the shorter first"},
		{"clients.groups", c.Groups >= 0, "0 or more"},
	}
}

func (s Server) requirements() []requirement {
	return []requirement{
		{"server.holds", s.Capacity > 0, "over 0"},
		{"server.group_cost", s.GroupCost >= 0, "0 or more"},
		{"server.report", s.ReportInterval > 0, "over 0"},
		{"server.set_up", s.AcceptDelay >= 0, "0 or more"},
		{"server.late", s.ReportDelay >= 0, "0 or more"},
		{"server.cold_from", s.SlowStartMinCapacity > 0 && s.SlowStartMinCapacity <= 1, "over 0, at most 1"},
		{"server.cold_for", s.SlowStartWindow > 0, "over 0"},
		{"server.fall_multiple", s.OverloadFactor > 0, "over 0"},
		{"server.fall_window", s.OverloadWindow > 0, "over 0"},
		{"server.grace", s.DrainGrace >= 0, "0 or more"},
	}
}

func (d Discovery) requirements() []requirement {
	return []requirement{
		{"discovery.per_second", d.CallsPerSecond > 0, "over 0"},
		{"discovery.patience", d.CallTimeout > 0, "over 0"},
		{"discovery.places", d.QueueLimit > 0, "over 0"},
		{"discovery.lag", d.PropagationDelay >= 0, "0 or more"},
	}
}

func (q Quotas) requirements() []requirement {
	return []requirement{
		{"budgets.floor", q.GuaranteedFraction >= 0 && q.GuaranteedFraction <= 1,
			"0 to 1: fixed parts over the whole cannot be"},
		{"budgets.term", !q.Leased || q.LeaseTerm > 0, "over 0"},
		{"budgets.beat", !q.Leased || q.HeartbeatInterval > 0, "over 0"},
	}
}

// check checks the fault with an index in a scenario of a length.
func (f Fault) check(index int, length Duration) error {
	kinds := slices.Sorted(maps.Keys(injectors))
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("events[%d].do: %q is none of %s", index, f.Kind, strings.Join(kinds, ", "))
	case f.At < 0 || f.At > length:
		return fmt.Errorf("events[%d].at: must lie within the length", index)
	case f.Fraction < 0 || f.Fraction > 1:
		return fmt.Errorf("events[%d].part: must be 0 to 1", index)
	case f.Duration < 0 || f.Stagger < 0:
		return fmt.Errorf("events[%d]: times must be 0 or more", index)
	case f.Kind == "slow_servers" && (f.CapacityFraction <= 0 || f.CapacityFraction > 1):
		return fmt.Errorf("events[%d].factor: must be over 0, at most 1", index)
	}
	return nil
}
