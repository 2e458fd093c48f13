// Package settings decodes a site's settings for a node and its server IDs, and converts them to the names and units
// of package balance. Both the production node and the simulator's adapter use it. It defines neither bounds nor
// defaults: package node validates the settings, and package balance defines the meaning of zero values.
package settings

import "time"

// Site is the JSON settings object of a site. Unknown keys are ignored. Durations are in microseconds.
type Site struct {
	NodeCount          int          `json:"balancers"` // nodes that share the servers; 0 counts as 1
	Limits             Limits       `json:"ceilings"`
	Classes            []Class      `json:"classes"`
	NodeIndex          int          `json:"index"` // this node's index, from 0
	Workload           Workload     `json:"family_info"`
	MembershipMode     string       `json:"membership_mode"` // MembershipPushed; any other value means on request
	Prices             Prices       `json:"prices"`
	Report             Report       `json:"report"`
	Servers            ServerLimits `json:"rules"`
	TickIntervalMicros int64        `json:"tick_us"`     // minimum time between two batches of events
	WeightKind         string       `json:"weight_kind"` // WeightNominal or WeightRough; any other value means relative
	Zone               string       `json:"zone"`        // of this node; "" if zones are not used
}

// Values of the fields of Site and Report.
const (
	MembershipPushed = "pushed"  // changes of the endpoint list arrive without a watch
	WeightNominal    = "nominal" // a weight is a number of cores
	WeightRough      = "rough"   // a weight is approximately a number of cores
	ReportNone       = "none"    // servers send no load reports
)

// LoadField names the value of a load report that the balancer uses: demand divided by capacity.
const LoadField = "x0"

// Limits are a node's limits and the optional features that it may use.
type Limits struct {
	DialTimeoutMicros   int64 `json:"dial_timeout_us"`
	KeepAliveMicros     int64 `json:"keepalive_us"` // idle timeout of a health check connection
	MaxOpenRequests     int   `json:"max_open"`     // open requests at a time; 0 means that the site sets no limit
	MaxRetryAfterMicros int64 `json:"max_retry_after_us"`
	HealthChecksAllowed bool  `json:"may_probe"`
	GossipAllowed       bool  `json:"peers"`
	RetryAfterAllowed   bool  `json:"retry_after"` // rejected clients receive a Retry-After
	MaxAttempts         int   `json:"send_cap"`    // per request
}

// Class is a class of requests.
type Class struct {
	Name string `json:"name"`

	// Idempotency is IdempotentAlways or IdempotentByKey. Requests with any other value must not be repeated.
	Idempotency     string `json:"effect"`
	KeyScope        string `json:"key_scope"` // ScopeAll or ScopeZone; any other value means one cell
	KeyWindowMicros int64  `json:"window_us"` // time for which servers drop repeats with the same key

	ConnectObjectiveMicros int64 `json:"aim_us"` // latency objective of connection set-up
	MaxTimeoutMicros       int64 `json:"deadline_us"`
}

// Values of the fields of Class.
const (
	IdempotentAlways = "read_like"
	IdempotentByKey  = "idempotency_key"
	ScopeAll         = "all"
	ScopeZone        = "zone"
)

// Workload describes the site's connections.
type Workload struct {
	MessageObjectivesMicros []float64 `json:"message_aim_us"`           // latency objectives, by class index
	LateMessagesReported    bool      `json:"tells_delay"`              // connections report late messages
	ConnectionLoadReported  bool      `json:"tells_load"`               // connections report their load
	ConnectionQuotas        []float64 `json:"tenant_quota_connections"` // open on all servers, by customer
}

// Prices are the costs of connections.
type Prices struct {
	CrossZone float64 `json:"cross_zone"` // of a connection to a server in another zone
}

// Report describes the load reports of servers.
type Report struct {
	Fields []string `json:"fields"` // names of the values of a report, in order
	Via    string   `json:"via"`    // ReportNone if there are no reports; any other value enables them
}

// ServerLimits are the capacity limits of servers, and the uncertainty of the site's figures.
type ServerLimits struct {
	// SlowStartMinCapacity is the fraction of its capacity that a server has when it starts, and SlowStartWindowMicros
	// is the time until it has its full capacity.
	SlowStartMinCapacity  float64 `json:"cold_from"`
	SlowStartWindowMicros int64   `json:"cold_us"`

	// DrainGraceMicros is the time for which a server may still get requests after the report that it drains.
	DrainGraceMicros int64 `json:"drain_grace_us"`

	// OverloadFactor is the multiple of its current capacity at which a server in slow start is overloaded. Its work
	// is counted over OverloadWindowMicros.
	OverloadFactor       float64 `json:"fall_multiple"`
	OverloadWindowMicros int64   `json:"fall_us"`

	TimeoutUncertaintyMicros   int64 `json:"left_margin_us"`      // largest error of request timeouts
	KeepUnlistedServers        bool  `json:"only_draining_binds"` // servers removed without draining stay in use
	StartTimeUncertaintyMicros int64 `json:"start_error_us"`      // largest error of server start times
}

// Microseconds returns a duration of n microseconds, the unit of durations in the settings.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
