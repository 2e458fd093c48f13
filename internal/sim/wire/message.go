package wire

import (
	"brassmux/balance"
	"brassmux/internal/settings"
)

// inputMessage is a line of input. One of its fields is set.
type inputMessage struct {
	Tick               *tick           `json:"TICK"`
	Commit             *struct{}       `json:"COMMIT"`
	Create             *create         `json:"CREATE"`
	Shutdown           *eventFields    `json:"SHUTDOWN"`
	EndpointUpdate     *endpointUpdate `json:"UPDATE"`
	Request            *eventFields    `json:"SUBMIT"`
	ExistingConnection *eventFields    `json:"OPEN"`
	ClientDisconnected *eventFields    `json:"TIMED_OUT_CLIENT"`
	TimerFired         *eventFields    `json:"TIMEOUT_FIRED"`
	GossipReceived     *eventFields    `json:"MAIL"`
	HealthCheckResult  *eventFields    `json:"PONG"`
	ConnectionReport   *eventFields    `json:"UPDATE_OF"`
	AttemptAccepted    *eventFields    `json:"ACCEPTED"`
	AttemptEnded       *eventFields    `json:"CLOSED_ATTEMPT"`
}

// tick starts a batch.
type tick struct {
	NowMicros *int64 `json:"at_time_us"`
}

// create starts the instance of a node.
type create struct {
	Node int           `json:"node"`
	Seed uint64        `json:"random_seed"`
	Site settings.Site `json:"boot_info"`
}

// endpointUpdate is the complete endpoint list or a set of changes to it.
type endpointUpdate struct {
	Node    int      `json:"node"`
	Kind    string   `json:"how"`
	Servers []server `json:"elements"`
}

// server is an entry of an endpointUpdate.
type server struct {
	Weight          float64           `json:"weight"`
	Cell            int               `json:"unit_group"`
	ID              settings.ServerID `json:"host"`
	State           string            `json:"health"`
	Zone            string            `json:"region_part"`
	StartedAtMicros int64             `json:"up_since_us"`
}

// eventFields holds the fields of all other messages. Each message uses some of them.
type eventFields struct {
	Node          int               `json:"node"`
	Request       uint64            `json:"request_id"`
	Flags         int               `json:"bitmap"`
	TimeoutMicros int64             `json:"grace_us"`
	Group         string            `json:"channel"`
	ClientKey     string            `json:"resource"`
	Class         string            `json:"cls"`
	Server        settings.ServerID `json:"host"`
	Attempt       int               `json:"round_no"`
	Outcome       int               `json:"ending"` // index in outcomes
	ElapsedMicros int64             `json:"duration_us"`
	Final         bool              `json:"final"`
	Report        []float64         `json:"feedback"`
	TimerToken    uint64            `json:"mark"`
	ReportKind    int               `json:"topic"`
	ReportValue   float64           `json:"x"` // load, or latency in milliseconds
	Sender        int               `json:"who"`
	GossipText    string            `json:"octets"`
}

// Flags of a request whose client retries it, or reconnects after its connection broke.
const (
	flagRetry     = 2
	flagReconnect = 16
)

// Kinds of reports about a connection.
const (
	reportLoad    = 1
	reportLatency = 2
)

var serverStates = map[string]balance.ServerState{
	"on":     balance.Ready,
	"fading": balance.Draining,
}

var updateKinds = map[string]balance.UpdateKind{
	"D": balance.ListDelta,
	"F": balance.ListSnapshot,
	"C": balance.ListCached,
}

// outcomes lists the outcomes by their code in the protocol.
var outcomes = []balance.Outcome{
	balance.ServerError,
	balance.OK,
	balance.AtCapacity,
	balance.TimedOut,
	balance.ConnectFailed,
	balance.Reset,
	balance.Cancelled,
	balance.Abandoned,
}
