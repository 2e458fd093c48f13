package main

import (
	"fmt"
	"math/rand/v2"
)

// class is a class of requests.
type class struct {
	name                        string
	aimMS, deadlineMS, windowMS int
	effect, scope               string
	messageMS                   float64
}

// site holds what a case needs of a deployment's site file.
type site struct {
	name    string
	zones   []string
	classes []class
	tenants []string
	quotas  []float64
	push    bool
	probes  bool
	peers   bool
	via     string // of load reports
	cap     int    // of attempts
	dialMS  int
	idleMS  int

	graceMS                      int
	coldFrom, multiple           float64
	coldMS, fallMS               int
	onlyDraining                 bool
	leftMarginMS                 int
	tickMS, retryAfterMS, askSec int
}

// settings returns the settings of node number index of balancers nodes, in the names of the wire.
func (s *site) settings(index, balancers int) map[string]any {
	classes, aims := []map[string]any{}, []float64{}
	for _, c := range s.classes {
		classes = append(classes, map[string]any{"name": c.name, "aim_us": c.aimMS * 1000,
			"deadline_us": c.deadlineMS * 1000, "effect": c.effect, "key_scope": c.scope, "window_us": c.windowMS * 1000,
			"late_worth": 0, "stream": true, "worth": 1})
		aims = append(aims, c.messageMS*1000)
	}
	mode := "on_request"
	if s.push {
		mode = "pushed"
	}
	rules := map[string]any{"answer_slack_us": 20000, "ask_within_us": s.askSec * 1_000_000, "cold_from": s.coldFrom,
		"cold_us": s.coldMS * 1000, "drain_grace_us": s.graceMS * 1000, "fall_multiple": s.multiple,
		"fall_us": s.fallMS * 1000}
	if s.onlyDraining {
		rules["only_draining_binds"] = true
	}
	if s.leftMarginMS > 0 {
		rules["left_margin_us"] = s.leftMarginMS * 1000
	}
	return map[string]any{
		"balancers": balancers, "index": index,
		"ceilings": map[string]any{"cancel": true, "dial_timeout_us": s.dialMS * 1000, "keepalive_us": s.idleMS * 1000,
			"max_open": 1000000, "max_retry_after_us": s.retryAfterMS * 1000, "may_duplicate": false,
			"may_probe": s.probes, "peers": s.peers, "retry_after": s.retryAfterMS > 0, "send_cap": s.cap,
			"streams_per_conn": 1},
		"classes": classes,
		"family_info": map[string]any{"groups": true, "mode": "proxy", "message_aim_us": aims, "tells_delay": true,
			"tells_load": false, "tenant_quota_connections": s.quotas, "report_x0": "load over capacity"},
		"membership_mode": mode, "dcs": s.zones, "zone": s.zones[index%len(s.zones)],
		"prices":  map[string]any{"cross_zone": 0.008, "probe": 0.001},
		"report":  map[string]any{"fields": []string{"x0"}, "via": s.via},
		"rules":   rules,
		"tick_us": s.tickMS * 1000, "weight_kind": "none", "domain_type": "conn",
	}
}

// config returns the configuration of a node, with a new seed.
func (s *site) config(n *node, index, balancers int, discovery string, known list) map[string]any {
	return map[string]any{"name": n.name, "listen": n.addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": s.settings(index, balancers)}
}

// skagenLandings is deploy/sites/skagen-landings.toml at its small size.
func skagenLandings() *site {
	return &site{name: "skagen-landings", zones: []string{"quay", "hill"},
		classes: []class{
			{name: "hammer", aimMS: 250, deadlineMS: 900, windowMS: 5000, effect: "read_like", scope: "all", messageMS: 90},
			{name: "weighing", aimMS: 200, deadlineMS: 700, windowMS: 5000, effect: "read_like", scope: "all", messageMS: 140},
			{name: "manifest", aimMS: 400, deadlineMS: 1600, windowMS: 5000, effect: "read_like", scope: "all", messageMS: 200},
			{name: "tide-board", aimMS: 350, deadlineMS: 1100, windowMS: 5000, effect: "read_like", scope: "all", messageMS: 200}},
		tenants: []string{"auction-hall", "cold-store", "ice-works", "chandler"}, quotas: []float64{260, 190, 130, 65},
		push: true, probes: true, via: "probe", cap: 4, dialMS: 180, idleMS: 4000, graceMS: 350, coldFrom: 0.3,
		multiple: 2.2, coldMS: 9000, fallMS: 2500, tickMS: 3, retryAfterMS: 800, askSec: 10}
}

// tbilisiLive is the users' tbilisi-live.toml at its size of today.
func tbilisiLive() *site {
	return &site{name: "tbilisi-live", zones: []string{"dc-vake", "dc-gldani", "dc-rustavi"},
		classes: []class{{name: "balance-watch", aimMS: 800, deadlineMS: 4800, windowMS: 5000, effect: "read_like",
			scope: "all", messageMS: 150}},
		tenants: []string{"kartli-water", "imereti-gas", "kakheti-water", "samegrelo-gas"},
		quotas:  []float64{180, 130, 55, 28}, push: false, probes: false, peers: true, via: "none", cap: 5, dialMS: 250,
		idleMS: 5000, graceMS: 250, coldFrom: 0.14, multiple: 4, coldMS: 23000, fallMS: 2000, tickMS: 2,
		retryAfterMS: 2000, askSec: 10}
}
