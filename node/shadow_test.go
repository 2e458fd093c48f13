package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"brassmux/balance"
	"brassmux/internal/settings"
)

// placeClients connects clients to a node with one server in zone a and one in zone b, and returns the zones of the
// servers that they got.
func placeClients(t *testing.T, shadowSettings *settings.Site) (zones []string, n *testNode) {
	first, second := newTestServer(t, "host-a"), newTestServer(t, "host-b")
	n = startNode(t, func(c *Config) {
		c.Settings.Limits.HealthChecksAllowed = false // otherwise the reported loads would decide
		c.InitialEndpoints.Servers = nil
		for i, srv := range []*testServer{first, second} {
			entry := srv.endpoint("up")
			entry.Zone = []string{"a", "b"}[i]
			c.InitialEndpoints.Servers = append(c.InitialEndpoints.Servers, entry)
		}
		c.ShadowSettings = shadowSettings
	})
	for i := range 12 {
		client := n.open(fmt.Sprint("key-", i), "")
		var server *testConn
		select {
		case server = <-first.conns:
			<-first.firstLines
			zones = append(zones, "a")
		case server = <-second.conns:
			<-second.firstLines
			zones = append(zones, "b")
		}
		server.send("UP r-1\r\n")
		client.expect("UP r-1\r\n")
	}
	return zones, n
}

// Guards against shadow settings that affect the decisions of a node, or whose differing decisions are not counted.
// Operators compare settings in this way before they switch.
func TestShadowSettingsOnlyCount(t *testing.T) {
	withoutShadow, _ := placeClients(t, nil)
	var shadowSettings settings.Site
	if err := json.Unmarshal([]byte(siteJSON), &shadowSettings); err != nil {
		t.Fatal(err)
	}
	shadowSettings.Limits.HealthChecksAllowed = false
	sameSettings, n := placeClients(t, &shadowSettings)
	n.waitFor("all decisions to be compared", func() bool { return n.counter("watched_same") == 12 })
	if !slices.Equal(sameSettings, withoutShadow) || n.counter("watched_other_server") != 0 {
		t.Errorf("with equal shadow settings %v, without %v", sameSettings, withoutShadow)
	}
	shadowSettings.Zone, shadowSettings.Prices.CrossZone = "a", 0.1
	withShadow, n := placeClients(t, &shadowSettings)
	if !slices.Equal(withShadow, withoutShadow) {
		t.Errorf("clients went to %v, without shadow settings to %v", withShadow, withoutShadow)
	}
	differing := int64(0) // clients that the shadow settings would have placed in zone a
	for _, zone := range withShadow {
		if zone == "b" {
			differing++
		}
	}
	n.waitFor("all decisions to be compared", func() bool {
		return n.counter("watched_same")+n.counter("watched_other_server") == 12
	})
	if got := n.counter("watched_other_server"); differing < 3 || got != differing {
		t.Errorf("%d decisions counted as differing, want the %d clients in zone b", got, differing)
	}
}

// Guards against wrong counts of requests that only the node or only the shadow rejects.
func TestShadowCountsRejections(t *testing.T) {
	s := &shadow{balancer: balance.New(balance.Config{NodeCount: 1, MaxAttempts: 1,
		Classes: map[string]balance.Class{"c": {}}}, 1),
		requests: map[balance.RequestID]*comparison{}}
	request := func(id balance.RequestID) balance.Request { return balance.Request{ID: id, Class: "c", Timeout: 1e9} }
	s.observeEvent(0, request(1)) // the shadow has no server
	s.observeAction(balance.Attempt{ID: 1, Server: 7})
	s.observeEvent(0, balance.EndpointUpdate{Kind: balance.ListSnapshot, Servers: []balance.Server{{ID: 7,
		State: balance.Ready}}})
	s.observeEvent(0, request(2))
	s.observeAction(balance.Reject{ID: 2})
	s.observeEvent(0, balance.AttemptEnded{ID: 1, Server: 7, Outcome: balance.Cancelled, Final: true})
	values := map[string]int64{}
	s.counters(func(name string, value int64) { values[name] = value })
	if values["watched_would_refuse"] != 1 || values["watched_would_place"] != 1 || len(s.requests) != 0 {
		t.Errorf("got counters %v and %d open requests", values, len(s.requests))
	}
}

// Guards against errors of shadow settings that do not name the invalid key.
func TestInvalidShadowSettingsNameKey(t *testing.T) {
	cfg := Config{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", ShadowSettings: &settings.Site{NodeCount: -1,
		WeightKind: "heavy"}}
	var messages []string
	for _, fault := range cfg.Validate() {
		messages = append(messages, fault.Error())
	}
	for _, key := range []string{"watch_settings.balancers", "watch_settings.classes", "watch_settings.weight_kind"} {
		if !strings.Contains(strings.Join(messages, "\n"), key) {
			t.Errorf("%s is not named: %v", key, messages)
		}
	}
}
