package scale

import (
	"encoding/json"

	"brassmux/lab/emulator"
)

// command is a request from the coordinator to a worker process, encoded as one line of JSON.
type command struct {
	Action    string             `json:"do"`
	Setup     *setup             `json:"setup,omitempty"`
	Endpoint  *emulator.Endpoint `json:"entry,omitempty"`
	Partition *partition         `json:"apart,omitempty"`
	Nodes     []int              `json:"nodes,omitempty"`
	KnownList json.RawMessage    `json:"known,omitempty"` // initial endpoint list of nodes that start
}

// Actions of commands. Each goes to every worker process that it concerns.
const (
	actionSetup            = "setup" // configure the worker
	actionStart            = "start" // start all nodes of the worker
	actionBeginMeasurement = "span"  // reset the counts
	actionEndMeasurement   = "end"   // report what was counted
	actionUpdateList       = "put"   // list service only: change an endpoint
	actionPartition        = "apart" // replace the partition of the links
	actionKill             = "die"   // stop nodes abruptly, as a loss of power does
	actionRevive           = "back"  // start killed nodes again
	actionRestart          = "again" // shut nodes down and start them again
	actionMark             = "mark"  // end the baseline of the load peak and measure the peak from now on
)

// setup configures a worker process.
type setup struct {
	Role           string          `json:"role"` // "hollow" for emulated nodes, or "list" for the list service
	Seed           uint64          `json:"seed"`
	Topology       topology        `json:"place"`
	RealNodeAddrs  map[int]string  `json:"relays"` // by index: addresses at which emulated nodes reach the real ones
	Nodes          []int           `json:"numbers"`
	Config         json.RawMessage `json:"config"` // node configuration that all nodes share
	Links          Links           `json:"links"`
	CallsPerSecond float64         `json:"calls"` // capacity of the list service; 0 for unlimited
	Traffic        traffic         `json:"traffic"`
	KnownList      json.RawMessage `json:"known,omitempty"` // replaces the endpoint list of the configuration
}

// traffic describes the synthetic load on the budgets: the units that the clients of a node take per second.
type traffic struct {
	Kind         string  `json:"kind"`  // kind of budget
	BaseRate     float64 `json:"calm"`  // units per second of an ordinary node
	BusyRate     float64 `json:"busy"`  // units per second of a busy node
	BusyInterval int     `json:"every"` // one in this many nodes of a zone is busy
}

// isBusy reports whether a node has the higher rate.
func (t traffic) isBusy(node int) bool { return t.BusyInterval > 0 && node/Zones%t.BusyInterval == 0 }

// report is a message from a worker process to the coordinator.
type report struct {
	Action      string          `json:"did"`
	Err         string          `json:"err,omitempty"`
	Addr        string          `json:"addr,omitempty"`
	Serving     int             `json:"up,omitempty"` // number of serving nodes
	Changes     []appliedChange `json:"force,omitempty"`
	Units       *unitCounts     `json:"units,omitempty"`
	State       *leaderState    `json:"state,omitempty"`
	Measurement *measurement    `json:"span,omitempty"`
}

// appliedChange records that a node applied all list versions above From and up to To at a time in Unix nanoseconds.
type appliedChange struct {
	Node int   `json:"n"`
	From int64 `json:"f"`
	To   int64 `json:"t"`
	At   int64 `json:"at"`
}

// unitBucketMS is the length in milliseconds of the time buckets in which units are counted.
const unitBucketMS = 5

// unitCounts counts the units taken per time bucket. Buckets are numbered by Unix time divided by unitBucketMS.
type unitCounts struct {
	FirstBucket int64   `json:"at"`
	Counts      []int32 `json:"n"`
}

// leaderState summarizes which leader the nodes of a worker process follow.
type leaderState struct {
	// NodesByLeader counts nodes by the index of their leader, or -1 if they have none. Nodes below control nodes count
	// by the position of their current control node in their order.
	NodesByLeader map[int]int `json:"keepers"`
	InQuorum      int         `json:"followed"` // nodes whose leader has a quorum, or that follow a control node
}

// measurement holds the figures of a worker process over a period: sums over its nodes, or the maximum of any of them.
type measurement struct {
	Nodes           int              `json:"nodes"`
	Seconds         float64          `json:"seconds"`
	CPU             float64          `json:"cpu"`  // seconds
	LiveBytes       float64          `json:"live"` // bytes of heap in use after a collection, and of stacks
	ResidentBytes   float64          `json:"resident"`
	Descriptors     int              `json:"files"`
	MaxDelayMS      float64          `json:"late"`  // maximum delay of the process
	LateSampleRatio float64          `json:"looks"` // fraction of the delay samples above lateThreshold
	Flows           map[string]flow  `json:"flows"` // "in", "out" and "list"
	GrantGaps       []float64        `json:"gaps"`  // longest time in seconds without a granted unit, of each busy node
	Counters        map[string]int64 `json:"counters"`
	Taken           int64            `json:"taken"`
	Refused         int64            `json:"refused"`
	Warnings        map[string]int   `json:"warned"`  // count of warnings by log message
	PeakRatio       float64          `json:"peak"`    // most messages per second after the mark over the mean before it
	PeakNode        int              `json:"peak_at"` // node with that peak; -1 for the list service
}

// flow holds the messages and bytes per second of a node, and their maxima over several nodes.
type flow struct {
	Messages    float64 `json:"words"`
	Bytes       float64 `json:"bytes"`
	MaxMessages float64 `json:"most_words"`
	MaxBytes    float64 `json:"most_bytes"`
}

// add adds the rates of one node.
func (f *flow) add(messages, bytes float64) {
	f.Messages, f.Bytes = f.Messages+messages, f.Bytes+bytes
	f.MaxMessages, f.MaxBytes = max(f.MaxMessages, messages), max(f.MaxBytes, bytes)
}

// merge adds the rates of other nodes.
func (f *flow) merge(other flow) {
	f.Messages, f.Bytes = f.Messages+other.Messages, f.Bytes+other.Bytes
	f.MaxMessages, f.MaxBytes = max(f.MaxMessages, other.MaxMessages), max(f.MaxBytes, other.MaxBytes)
}
