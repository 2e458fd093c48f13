package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"brassmux/internal/control"
)

// treeConfigs returns configurations of nodes, followed by those of the control machines above them, like the trees in
// the tests of internal/control.
func treeConfigs(t *testing.T, nodes, machines int) (configs []Config) {
	t.Helper()
	var addrs []string
	for i := range machines {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", 2+i))
	}
	for i := range nodes + machines {
		cfg := leasingConfig(t)
		cfg.Settings.NodeCount, cfg.Settings.NodeIndex = nodes, i
		cfg.Peers = Peers{Listen: "127.0.0.1:0", ControlAddrs: addrs}
		if i >= nodes {
			cfg.Settings.NodeIndex = 0
			cfg.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: addrs, ChildListen: "127.0.0.1:0",
				ControlIndex: i - nodes}
		}
		configs = append(configs, cfg)
	}
	return configs
}

// Guards against tests of internal/control that use settings which no valid node configuration results in.
func TestControlTreeConfigsAreValid(t *testing.T) {
	const nodes, machines, limit = 6, 3, 60
	for _, change := range []func(*Config){
		func(c *Config) { c.Budgets.RetriesPerSecond = limit },
		func(c *Config) { c.Budgets.OpensPerSecond = limit },
	} {
		for i, cfg := range treeConfigs(t, nodes, machines) {
			change(&cfg)
			if faults := cfg.Validate(); len(faults) > 0 {
				t.Fatalf("process %d: %v", i, faults)
			}
			balanceConfig := cfg.Settings.BalanceConfig()
			checkControlConfig(t, i, cfg.controlConfig(&balanceConfig, 1, time.Hour))
		}
	}
}

// checkControlConfig compares a configuration with the one that the tests of internal/control use.
func checkControlConfig(t *testing.T, process int, cfg control.Config) {
	t.Helper()
	if cfg.GuaranteedFraction != 0.5 || cfg.ControlGuaranteedFraction != 0.5 || cfg.MaxClockDrift != 0.001 ||
		cfg.MaxChildren != 6 {
		t.Errorf("process %d: %+v", process, cfg)
	}
	if cfg.LeaseTerm != time.Second || cfg.ChildLeaseTerm != 250*time.Millisecond ||
		cfg.ConnectionLeaseTerm != 30*time.Second || cfg.HeartbeatInterval != 400*time.Millisecond {
		t.Errorf("process %d: lease terms and heartbeat are %+v", process, cfg)
	}
	if cfg.ConnectTimeout != 200*time.Millisecond || cfg.ListConnectTimeout != time.Second ||
		cfg.ConnectionCloseDelay != 500*time.Millisecond {
		t.Errorf("process %d: timeouts are %+v", process, cfg)
	}
	hasUnits := func(l control.Limit) bool { return l.Units == 60 }
	if !slices.ContainsFunc(cfg.Limits, hasUnits) {
		t.Errorf("process %d: limits are %+v", process, cfg.Limits)
	}
	if process < 6 && len(cfg.Parents) != 3 || process >= 6 && (len(cfg.Peers) != 3 || cfg.ControlIndex != process-6) {
		t.Errorf("process %d: parents %v, peers %v, number %d", process, cfg.Parents, cfg.Peers, cfg.ControlIndex)
	}
}
