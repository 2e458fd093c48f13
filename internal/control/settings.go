package control

import "brassmux/budget"

// nodeSettings are for dividing quotas among the nodes, in a flat group or below control machines.
func (c *Config) nodeSettings() budget.Settings {
	settings := budget.Settings{
		Nodes:              max(c.Settings.NodeCount, 1),
		Index:              c.Settings.NodeIndex,
		Parents:            len(c.Parents),
		GuaranteedFraction: c.GuaranteedFraction,
		MaxWindow:          max(c.Settings.OverloadWindow, rateWindow) + c.sendWithin(),
		LeaseTerm:          c.LeaseTerm,
		HeartbeatInterval:  c.HeartbeatInterval,
		MaxClockDrift:      c.MaxClockDrift,
	}
	for _, limit := range c.Limits {
		if limit.Kind == ListCalls && limit.Units > 0 {
			settings.MaxWindow = max(settings.MaxWindow, rateWindow+c.listCallWithin())
		}
	}
	if len(c.Parents) > 0 || c.isControlMachine() {
		settings.LeaseTerm = c.ChildLeaseTerm
	}
	return settings
}

// groupSettings are for dividing quotas in this node's group, which is all nodes or all control machines.
func (c *Config) groupSettings() budget.Settings {
	settings := c.nodeSettings()
	if c.isControlMachine() {
		settings.Nodes, settings.Index = len(c.Peers), c.ControlIndex
		settings.GuaranteedFraction, settings.LeaseTerm = c.ControlGuaranteedFraction, c.LeaseTerm
	}
	return settings
}

// budgetRule is how a limit is divided. Guaranteed units of what a node needs to serve at all are not delegated, so
// that each node has them soon after all have restarted.
func (c *Config) budgetRule(limit Limit) budget.Rule {
	division := budget.Rule{Limit: limit.Units, Window: rateWindow + c.sendWithin()}
	switch limit.Kind {
	case ListCalls:
		division.Window, division.NoDelegation = rateWindow+c.listCallWithin(), true
	case HealthChecks, Connects, Opens:
		division.NoDelegation = true
	case OpenConnections: // a connection ends once the client has closed it
		division.Window, division.ConcurrencyLeaseTerm = c.ConnectionCloseDelay+c.sendWithin(), c.ConnectionLeaseTerm
	}
	return division
}
