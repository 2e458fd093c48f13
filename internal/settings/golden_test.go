package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"brassmux/balance"
	"brassmux/internal/golden"
)

// describeConfig formats a configuration for the golden file. The labels are independent of the field names, so that a
// renamed field leaves the golden file unchanged.
func describeConfig(config balance.Config) string {
	var text strings.Builder
	for _, field := range []struct {
		name  string
		value any
	}{
		{"nodes", config.NodeCount}, {"index", config.NodeIndex}, {"pushed", config.EndpointsPushed},
		{"zone", config.Zone}, {"cross-zone price", config.CrossZoneCost}, {"gossip", config.GossipEnabled},
		{"cores", config.CoresPerWeight}, {"late messages", config.LateMessagesReported},
		{"attempts", config.MaxAttempts}, {"may probe", config.HealthChecksAllowed},
		{"retry after", int64(config.MaxRetryAfter)},
		{"open", config.MaxOpenRequests}, {"tick", int64(config.TickInterval)},
		{"cold from", config.SlowStartMinCapacity}, {"cold for", int64(config.SlowStartWindow)},
		{"fall multiple", config.OverloadFactor}, {"fall window", int64(config.OverloadWindow)},
		{"connections", config.ConnectionCapacity},
		{"left margin", int64(config.TimeoutUncertainty)},
		{"clock unsure", config.ClockUntrusted}, {"start error", int64(config.StartTimeUncertainty)},
		{"only draining", config.KeepUnlistedServers},
	} {
		fmt.Fprintf(&text, "%s=%v\n", field.name, field.value)
	}
	idempotencies := map[balance.Idempotency]string{balance.NonIdempotent: "unsafe", balance.IdempotentByKey: "keyed",
		balance.Idempotent: "safe"}
	keyScopes := map[balance.KeyScope]string{balance.KeyScopeCell: "cell", balance.KeyScopeZone: "zone",
		balance.KeyScopeAll: "all"}
	for _, name := range slices.Sorted(maps.Keys(config.Classes)) {
		class := config.Classes[name]
		fmt.Fprintf(&text, "class %q %s %s window=%d message=%d aim=%d deadline=%d\n",
			name, idempotencies[class.Idempotency], keyScopes[class.KeyScope], int64(class.KeyWindow),
			int64(class.MessageObjective), int64(class.ConnectObjective), int64(class.MaxTimeout))
	}
	return text.String()
}

// Guards against changed encoding or conversion of settings: the sites have every key, and combinations of values that
// affect one another.
func TestGoldenSettings(t *testing.T) {
	var output strings.Builder
	for _, line := range golden.Lines(t, "sites.json") {
		var site Site
		if err := json.Unmarshal([]byte(line), &site); err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(site)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&output, "%s\n%s\n", encoded, describeConfig(site.BalanceConfig()))
	}
	golden.Check(t, "settings.txt", output.String())
}

// Guards against a changed hash of server names, which would change the rankings of servers.
func TestGoldenServerIDs(t *testing.T) {
	var output strings.Builder
	for _, text := range []string{"7", "18446744073709551615", `"s-1"`, `"s-5be2a07c"`, `"é"`} {
		var id ServerID
		if err := json.Unmarshal([]byte(text), &id); err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(id)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&output, "%s %s\n", text, encoded)
	}
	golden.Check(t, "ids.txt", output.String())
}
