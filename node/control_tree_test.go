package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"brassmux/internal/control"
)

// treeConfigs are those of the trees that the tests of internal/control play: nodes first, then control machines.
func treeConfigs(t *testing.T, nodes, machines int) (configs []Config) {
	t.Helper()
	var addrs []string
	for i := range machines {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", 2+i))
	}
	for i := range nodes + machines {
		c := leased(t)
		c.Settings.NodeCount, c.Settings.NodeIndex = nodes, i
		c.Peers = Peers{Listen: "127.0.0.1:0", ControlAddrs: addrs}
		if i >= nodes {
			c.Settings.NodeIndex = 0
			c.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: addrs, ChildListen: "127.0.0.1:0",
				ControlIndex: i - nodes}
		}
		configs = append(configs, c)
	}
	return configs
}

// The tests of internal/control write their configuration out. It is that of a node whose configuration is valid.
func TestConfigurationsOfTreesAreValid(t *testing.T) {
	const nodes, machines, limit = 6, 3, 60
	for _, change := range []func(*Config){
		func(c *Config) { c.Budgets.RetriesPerSecond = limit },
		func(c *Config) { c.Budgets.OpensPerSecond = limit },
	} {
		for i, c := range treeConfigs(t, nodes, machines) {
			change(&c)
			if faults := c.Validate(); len(faults) > 0 {
				t.Fatalf("process %d: %v", i, faults)
			}
			b := c.Settings.BalanceConfig()
			checkTreeControl(t, i, c.control(&b, 1, time.Hour))
		}
	}
}

func checkTreeControl(t *testing.T, process int, c control.Config) {
	t.Helper()
	if c.GuaranteedFraction != 0.5 || c.ControlGuaranteedFraction != 0.5 || c.MaxClockDrift != 0.001 ||
		c.MaxChildren != 6 {
		t.Errorf("process %d: %+v", process, c)
	}
	if c.LeaseTerm != time.Second || c.ChildLeaseTerm != 250*time.Millisecond ||
		c.ConnectionLeaseTerm != 30*time.Second || c.HeartbeatInterval != 400*time.Millisecond {
		t.Errorf("process %d: lease terms and heartbeat are %+v", process, c)
	}
	if c.ConnectTimeout != 200*time.Millisecond || c.ListConnectTimeout != time.Second ||
		c.ConnectionCloseDelay != 500*time.Millisecond {
		t.Errorf("process %d: timeouts are %+v", process, c)
	}
	hasUnits := func(l control.Limit) bool { return l.Units == 60 }
	if !slices.ContainsFunc(c.Limits, hasUnits) {
		t.Errorf("process %d: limits are %+v", process, c.Limits)
	}
	if process < 6 && len(c.Parents) != 3 || process >= 6 && (len(c.Peers) != 3 || c.ControlIndex != process-6) {
		t.Errorf("process %d: parents %v, peers %v, number %d", process, c.Parents, c.Peers, c.ControlIndex)
	}
}
