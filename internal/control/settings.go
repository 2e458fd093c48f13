package control

import "brassmux/budget"

// nodeSettings returns the settings with which quotas are divided among the nodes, in a flat group or below control
// machines.
func (c *Config) nodeSettings() budget.Settings {
	settings := budget.Settings{
		Nodes:              max(c.Settings.NodeCount, 1),
		Index:              c.Settings.NodeIndex,
		Parents:            len(c.Parents),
		GuaranteedFraction: c.GuaranteedFraction,
		MaxWindow:          max(c.Settings.OverloadWindow, rateWindow) + c.maxSendDelay(),
		LeaseTerm:          c.LeaseTerm,
		HeartbeatInterval:  c.HeartbeatInterval,
		MaxClockDrift:      c.MaxClockDrift,
	}
	for _, limit := range c.Limits {
		if limit.Kind == ListCalls && limit.Units > 0 {
			settings.MaxWindow = max(settings.MaxWindow, rateWindow+c.maxListCallDelay())
		}
	}
	if len(c.Parents) > 0 || c.isControlMachine() {
		settings.LeaseTerm = c.ChildLeaseTerm
	}
	return settings
}

// groupSettings returns the settings with which quotas are divided in this node's group, which consists of all nodes or
// of all control machines.
func (c *Config) groupSettings() budget.Settings {
	settings := c.nodeSettings()
	if c.isControlMachine() {
		settings.Nodes, settings.Index = len(c.Peers), c.ControlIndex
		settings.GuaranteedFraction, settings.LeaseTerm = c.ControlGuaranteedFraction, c.LeaseTerm
	}
	return settings
}

// budgetRule returns the rule by which a limit is divided. Guaranteed units of a kind that a node needs to serve any
// request are not delegated, so that each node has them available soon after a restart of all nodes.
func (c *Config) budgetRule(limit Limit) budget.Rule {
	quotaRule := budget.Rule{Limit: limit.Units, Window: rateWindow + c.maxSendDelay()}
	switch limit.Kind {
	case ListCalls:
		quotaRule.Window, quotaRule.NoDelegation = rateWindow+c.maxListCallDelay(), true
	case HealthChecks, Connects, Opens:
		quotaRule.NoDelegation = true
	case OpenConnections: // a connection counts until the client has closed it
		quotaRule.Window, quotaRule.ConcurrencyLeaseTerm =
			c.ConnectionCloseDelay+c.maxSendDelay(), c.ConnectionLeaseTerm
	}
	return quotaRule
}
