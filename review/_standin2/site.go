package main

// zone is the one zone of all nodes and servers.
const zone = "z-1"

// object is a JSON object.
type object = map[string]any

// askedSite returns settings like those of more/move/sites/tbilisi-live.toml, with few servers: the list is asked for,
// servers report no load and may not be probed, 250 ms of grace on drains.
func askedSite(balancers, index int) object {
	return object{
		"balancers": balancers, "index": index, "membership_mode": "on_request", "zone": zone,
		"dcs": []string{zone}, "tick_us": 2000, "weight_kind": "nominal",
		"ceilings": object{"cancel": true, "dial_timeout_us": 250000, "keepalive_us": 5000000, "max_open": 100000,
			"max_retry_after_us": 2000000, "may_duplicate": false, "may_probe": false, "peers": true,
			"retry_after": true, "send_cap": 5, "streams_per_conn": 1},
		"classes": []object{{"name": "balance-watch", "aim_us": 800000, "deadline_us": 4800000, "effect": "read_like",
			"key_scope": "all", "stream": true, "window_us": 5000000, "worth": 1.0}},
		"family_info": object{"groups": true, "mode": "proxy", "message_aim_us": []float64{150000}},
		"report":      object{"fields": []string{}, "via": "none"},
		"rules": object{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.14, "cold_us": 23000000,
			"drain_grace_us": 250000, "fall_multiple": 4.0, "fall_us": 2000000},
	}
}

// nodeConfig returns the configuration of a node.
func nodeConfig(name, listen, discovery string, known list, settings object) object {
	return object{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
}

// pushedSite returns settings like those of more/move/sites/bay-galleries.toml: changes of the list are pushed, servers
// report no load, 500 ms of grace on drains.
func pushedSite(balancers, index int) object {
	site := askedSite(balancers, index)
	site["membership_mode"] = "pushed"
	site["ceilings"].(object)["may_probe"] = true
	class := func(name string, aim, deadline int, worth float64) object {
		return object{"name": name, "aim_us": aim, "deadline_us": deadline, "effect": "read_like", "key_scope": "all",
			"stream": true, "window_us": 5000000, "worth": worth}
	}
	site["classes"] = []object{class("tour-live", 300000, 1800000, 3), class("self-guided", 300000, 1200000, 1),
		class("gallery-notes", 800000, 4800000, 1)}
	site["family_info"].(object)["message_aim_us"] = []float64{60000, 50000, 100000}
	rules := site["rules"].(object)
	rules["drain_grace_us"], rules["cold_from"], rules["cold_us"] = 500000, 0.33, 8800000
	rules["fall_multiple"], rules["fall_us"] = 3.0, 1000000
	return site
}
