package node

import "brassmux/internal/control/transport"

const (
	maxQuota           = 1_000_000
	maxControlMachines = 32
	maxChildren        = 1 << 16 // nodes below control machines
)

// validateBudgets checks the quotas that nodes share, and the addresses over which they exchange leases.
func (c *Config) validateBudgets(faults *configErrors) {
	budgets := &c.Budgets
	for _, bounded := range budgets.boundedKeys() {
		if *bounded.value < bounded.min || *bounded.value > bounded.max {
			faults.add("budgets."+bounded.key, "%d is not %d to %d", *bounded.value, bounded.min, bounded.max)
		}
	}
	const shareMessage = "%v is not over 0 and at most 1: fixed parts over the whole cannot be"
	if share := budgets.GuaranteedShare; share < 0 || share > 1 {
		faults.add("budgets.floor", shareMessage, share)
	}
	if share := budgets.ControlGuaranteedShare; share < 0 || share > 1 {
		faults.add("budgets.control_floor", shareMessage, share)
	}
	c.validatePeers(faults)
	for _, limit := range budgets.limits() {
		key := "budgets." + limit.Kind.ConfigKey()
		if limit.Units < 0 || limit.Units > maxQuota {
			faults.add(key, "%d is not 0 to %d", limit.Units, maxQuota)
		} else if limit.Units > 0 && !budgets.Leased {
			faults.add(key, "needs budgets.lease, since no node alone can keep a bound of all")
		}
	}
	if budgets.Leased {
		c.validateLeases(faults)
	}
}

// validateLeases checks the settings that are required to divide quotas by leases.
func (c *Config) validateLeases(faults *configErrors) {
	if len(c.Peers.NodeAddrs)+len(c.Peers.ControlAddrs) == 0 {
		faults.add("budgets.lease", "needs peers.nodes or peers.control, to have whom to lend to")
	}
	if c.Budgets.OpenPerCustomer > 0 && (len(c.Peers.ControlAddrs) > 0 || c.Peers.ChildListen != "") {
		faults.add("budgets.open_per_customer",
			"is not divided through control machines (peers.control, peers.children)")
	}
	if s := c.Settings.BalanceConfig(); s.ConnectionCapacity <= 0 || s.SlowStartWindow <= 0 ||
		s.OverloadFactor <= 0 || s.OverloadWindow <= 0 {
		faults.add("budgets.lease", "needs settings.family_info.tenant_quota_connections, settings.rules.cold_us, "+
			"fall_multiple and fall_us, to know the whole")
	}
}

// validatePeers checks the addresses over which nodes exchange leases.
func (c *Config) validatePeers(faults *configErrors) {
	peers, site := &c.Peers, &c.Settings
	if len(peers.NodeAddrs)+len(peers.ControlAddrs)+peers.ControlIndex == 0 && peers.Listen == "" &&
		peers.ChildListen == "" {
		return
	}
	if !site.Limits.GossipAllowed {
		faults.add("peers", "this site bars talk between nodes (settings.ceilings.peers)")
	}
	faults.addNested("peers", transport.CheckListenAddress("listen", peers.Listen))
	faults.addNested("peers", transport.CheckPeerAddresses("nodes", peers.NodeAddrs))
	faults.addNested("peers", transport.CheckPeerAddresses("control", peers.ControlAddrs))
	switch nodes := len(peers.NodeAddrs); {
	case len(peers.ControlAddrs) > 0:
		c.validateChild(faults)
	case peers.ChildListen != "":
		c.validateControlMachine(faults)
		return
	case nodes != site.NodeCount || site.NodeIndex >= nodes:
		faults.add("peers.nodes", "%d addresses for %d nodes (settings.balancers), of which this one is number %d",
			nodes, site.NodeCount, site.NodeIndex)
	}
	if peers.ControlIndex != 0 {
		faults.add("peers.index", "%d is for a control machine (peers.children)", peers.ControlIndex)
	}
	if len(peers.ControlAddrs) > 0 && (site.NodeIndex >= max(site.NodeCount, 1) || site.NodeCount > maxChildren) {
		faults.add("peers.control",
			"this node is number %d of %d (settings.index, settings.balancers); %d are the most",
			site.NodeIndex, site.NodeCount, maxChildren)
	}
}

// validateChild checks the addresses of a node below control machines.
func (c *Config) validateChild(faults *configErrors) {
	peers := &c.Peers
	if len(peers.NodeAddrs) > 0 {
		faults.add("peers.nodes", "a node with peers.control names no other nodes")
	}
	if peers.ChildListen != "" {
		faults.add("peers.children", "a node with peers.control is no control machine")
	}
	if len(peers.ControlAddrs) > maxControlMachines {
		faults.add("peers.control", "%d addresses, %d are the most", len(peers.ControlAddrs), maxControlMachines)
	}
}

// validateControlMachine checks the addresses of a control machine.
func (c *Config) validateControlMachine(faults *configErrors) {
	peers, machines := &c.Peers, len(c.Peers.NodeAddrs)
	faults.addNested("peers", transport.CheckListenAddress("children", peers.ChildListen))
	if machines == 0 || machines > maxControlMachines {
		faults.add("peers.nodes", "%d addresses of control machines, 1 to %d may be", machines, maxControlMachines)
	}
	if peers.ControlIndex < 0 || peers.ControlIndex >= machines {
		faults.add("peers.index", "%d is none of the %d control machines' (peers.nodes)", peers.ControlIndex, machines)
	}
	if nodes := c.Settings.NodeCount; nodes > maxChildren {
		faults.add("peers.children", "%d nodes (settings.balancers), %d are the most", nodes, maxChildren)
	}
}
