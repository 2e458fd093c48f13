package settings

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"brassmux/balance"
)

// Guards against settings that are lost or converted to the wrong unit, and against errors at unknown keys or values.
func TestBalanceConfig(t *testing.T) {
	var site Site
	if err := json.Unmarshal([]byte(`{"balancers":2,"tick_us":5000,"membership_mode":"pushed","a_new_key":{},
		"ceilings":{"max_open":9,"max_retry_after_us":1000000,"may_probe":true,"retry_after":false,"send_cap":3},
		"classes":[{"name":"a","effect":"read_like"},
			{"name":"b","effect":"idempotency_key","key_scope":"zone","window_us":5},
			{"name":"c","effect":"something new","key_scope":"cell"}],
		"family_info":{"message_aim_us":[250000.0,60000.5],"tells_delay":true},
		"rules":{"cold_from":0.33,"cold_us":8000000,"fall_multiple":3,"fall_us":2000000,
			"left_margin_us":4800000,"only_draining_binds":true,"start_error_us":33000000}}`), &site); err != nil {
		t.Fatal(err)
	}
	config := site.BalanceConfig()
	if config.NodeCount != 2 || !config.EndpointsPushed || config.MaxAttempts != 3 || !config.HealthChecksAllowed ||
		config.MaxOpenRequests != 9 || config.MaxRetryAfter != 0 || !config.LateMessagesReported ||
		config.TickInterval != 5*time.Millisecond || config.SlowStartMinCapacity != 0.33 ||
		config.SlowStartWindow != 8*time.Second || config.OverloadFactor != 3 ||
		config.OverloadWindow != 2*time.Second || config.TimeoutUncertainty != 4800*time.Millisecond ||
		!config.KeepUnlistedServers || config.StartTimeUncertainty != 33*time.Second {
		t.Errorf("got %+v", config)
	}
	for name, want := range map[string]balance.Class{
		"a": {Idempotency: balance.Idempotent, MessageObjective: 250 * time.Millisecond},
		"b": {Idempotency: balance.IdempotentByKey, KeyScope: balance.KeyScopeZone, KeyWindow: 5 * time.Microsecond,
			MessageObjective: 60 * time.Millisecond},
		// Unknown values map to the strictest ones.
		"c": {Idempotency: balance.NonIdempotent, KeyScope: balance.KeyScopeCell},
	} {
		if got := config.Classes[name]; got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

// Guards against gossip that replaces more accurate load reports: a report includes the server's speed and the cost of
// its groups, which the nodes' sums do not.
func TestGossipEnabledWithoutLoadReports(t *testing.T) {
	for _, test := range []struct {
		siteJSON string
		want     bool
	}{
		{`{"ceilings":{"peers":true,"may_probe":true},"family_info":{"tells_load":true},"report":{"via":"probe"}}`,
			false},
		{`{"ceilings":{"peers":true,"may_probe":true},"family_info":{"tells_load":true},"report":{"via":"none"}}`,
			true},
		{`{"ceilings":{"peers":true},"family_info":{"tells_load":true}}`, true},
		{`{"ceilings":{"peers":true},"family_info":{}}`, false},
	} {
		var site Site
		if err := json.Unmarshal([]byte(test.siteJSON), &site); err != nil {
			t.Fatal(err)
		}
		if got := site.BalanceConfig().GossipEnabled; got != test.want {
			t.Errorf("%s: GossipEnabled = %v", test.siteJSON, got)
		}
	}
}

// Guards against different IDs of one server on two nodes or after a restart, which would give different rankings.
func TestUnmarshalServerID(t *testing.T) {
	var ids []ServerID
	if err := json.Unmarshal([]byte(`[51530247,"s-5be2a07c","s-5be2a07d"]`), &ids); err != nil {
		t.Fatal(err)
	}
	if ids[0] != 51530247 || ids[1] != HashServerID("s-5be2a07c") || ids[1] == ids[2] || ids[1] != 0xe35a6331793b3e1 {
		t.Errorf("got %x", ids)
	}
	for _, text := range []string{`""`, `{}`, `-1`, `1.5`, `[1]`} {
		var id ServerID
		idErr := &ServerIDError{}
		if err := json.Unmarshal([]byte(text), &id); !errors.As(err, &idErr) {
			t.Errorf("%s: got id %d, want a *ServerIDError", text, id)
		}
	}
}
