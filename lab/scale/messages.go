package scale

import (
	"encoding/json"

	"brassmux/lab/emulator"
)

// order is what the run tells one of its parts, a line each.
type order struct {
	Do    string             `json:"do"`
	Setup *setup             `json:"setup,omitempty"`
	Entry *emulator.Endpoint `json:"entry,omitempty"`
	Apart *apart             `json:"apart,omitempty"`
	Nodes []int              `json:"nodes,omitempty"`
	Known json.RawMessage    `json:"known,omitempty"` // the list that nodes which start know
}

// The orders.
const (
	doSetup = "setup" // take what the part is
	doStart = "start" // start its nodes
	doSpan  = "span"  // count from now on
	doEnd   = "end"   // tell what was counted
	doPut   = "put"   // the list service: a change
	doApart = "apart" // links are cut, or no more
	doDie   = "die"   // nodes fall silent at once and stop
	doBack  = "back"  // those start anew
	doAgain = "again" // nodes stop in order and start anew
	doMark  = "mark"  // what comes from now on may be a wave
)

// setup is what a part is.
type setup struct {
	Role    string          `json:"role"` // hollow or list
	Seed    uint64          `json:"seed"`
	Place   place           `json:"place"`
	Relays  map[int]string  `json:"relays"` // of the real nodes: where they are reached by hollow ones
	Numbers []int           `json:"numbers"`
	Config  json.RawMessage `json:"config"` // of any node
	Links   Links           `json:"links"`
	Calls   float64         `json:"calls"` // that the list service works through in a second; 0 for any number
	Traffic traffic         `json:"traffic"`
	Known   json.RawMessage `json:"known,omitempty"` // goes before the one of the configuration
}

// traffic is what the clients of a node have it ask of the budgets, drawn: units a second of nodes, a part of which is busier.
type traffic struct {
	Kind  string  `json:"kind"`
	Calm  float64 `json:"calm"`
	Busy  float64 `json:"busy"`
	Every int     `json:"every"` // one in so many is busy
}

func (t traffic) busy(node int) bool { return t.Every > 0 && node/Zones%t.Every == 0 }

// report is what a part tells.
type report struct {
	Did   string   `json:"did"`
	Err   string   `json:"err,omitempty"`
	Addr  string   `json:"addr,omitempty"`
	Up    int      `json:"up,omitempty"` // nodes that serve
	Force []change `json:"force,omitempty"`
	Units *units   `json:"units,omitempty"`
	State *state   `json:"state,omitempty"`
	Span  *span    `json:"span,omitempty"`
}

// change is in force at one node: all versions over From and up to To, at Unix nanoseconds.
type change struct {
	Node int   `json:"n"`
	From int64 `json:"f"`
	To   int64 `json:"t"`
	At   int64 `json:"at"`
}

// unitEvery is the time that units are counted by.
const unitEvery = 5 // ms

// units were taken, by time from At on, in steps of unitEvery of Unix time.
type units struct {
	At int64   `json:"at"`
	N  []int32 `json:"n"`
}

// state is what the nodes of a part say of the keeper.
type state struct {
	Keepers  map[int]int `json:"keepers"`  // nodes by the keeper, or by which of their control machines they ask: its place in their order
	Followed int         `json:"followed"` // know that most ask theirs, or ask a control machine
}

// span is what a part has counted over a while. Figures are sums over its nodes, and the most at any of them.
type span struct {
	Nodes    int              `json:"nodes"`
	Seconds  float64          `json:"seconds"`
	CPU      float64          `json:"cpu"`  // seconds
	Live     float64          `json:"live"` // bytes
	Resident float64          `json:"resident"`
	Files    int              `json:"files"`
	Late     float64          `json:"late"`  // ms, the most
	Looks    float64          `json:"looks"` // part of the looks at the clock that were over lateLook late
	Flows    map[string]flow  `json:"flows"` // in, out, list
	Gaps     []float64        `json:"gaps"`  // longest without a granted unit, of each busy node
	Counters map[string]int64 `json:"counters"`
	Taken    int64            `json:"taken"`
	Refused  int64            `json:"refused"`
	Warned   map[string]int   `json:"warned"`
	Peak     float64          `json:"peak"` // most words in a second after the mark over the mean before it, at any node
	PeakAt   int              `json:"peak_at"`
}

// flow is words and bytes.
type flow struct {
	Messages    float64 `json:"words"`
	Bytes       float64 `json:"bytes"`
	MaxMessages float64 `json:"most_words"`
	MaxBytes    float64 `json:"most_bytes"`
}

func (f *flow) add(words, bytes float64) {
	f.Messages, f.Bytes = f.Messages+words, f.Bytes+bytes
	f.MaxMessages, f.MaxBytes = max(f.MaxMessages, words), max(f.MaxBytes, bytes)
}

func (f *flow) merge(o flow) {
	f.Messages, f.Bytes = f.Messages+o.Messages, f.Bytes+o.Bytes
	f.MaxMessages, f.MaxBytes = max(f.MaxMessages, o.MaxMessages), max(f.MaxBytes, o.MaxBytes)
}
