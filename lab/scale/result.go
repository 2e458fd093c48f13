package scale

import (
	"fmt"
	"slices"
)

// Result holds the figures of a run at all fleet sizes.
type Result struct {
	Scenario        string   `json:"scenario"`
	Seed            uint64   `json:"seed"`
	ControlNodes    int      `json:"control"` // control nodes; 0 if all nodes are peers
	DurationSeconds float64  `json:"for_s"`
	Fleets          []*Fleet `json:"fleets"`
	Slopes          []Slope  `json:"slopes"` // growth over the sizes; empty for fewer than four
}

// Fleet holds the figures at one size.
type Fleet struct {
	Nodes         int    `json:"nodes"`
	RealNodes     int    `json:"real"`
	InvalidReason string `json:"void"` // why the figures are invalid; "" if they are valid
	// Settled reports whether all nodes had applied the list and over 99% followed a leader before the measurement.
	Settled bool `json:"settled"`
	// MaxDelayMS and LateSampleRatio are maxima over the coordinator and the worker processes of ordinary nodes: the
	// delay in milliseconds, and the fraction of the delay samples above 100 ms.
	MaxDelayMS      float64         `json:"late_ms"`
	LateSampleRatio float64         `json:"late_looks"`
	StartupSeconds  float64         `json:"start_s"` // time until all nodes served
	Roles           map[string]Role `json:"roles"`
	Changes         ChangeLatency   `json:"changes"`
	Units           UnitUsage       `json:"units"`
	Peak            Peak            `json:"peak"`
	Clients         map[string]int  `json:"clients"` // outcomes of the sessions of real clients
	Targets         []Target        `json:"targets"`
	Notes           []string        `json:"notes,omitempty"`
}

// Role holds the resource usage and the traffic of one node of a role: the mean over the nodes of the role, and the
// maximum of any of them. Rates are per second.
type Role struct {
	Nodes         int              `json:"machines"`
	CPU           float64          `json:"cores"`
	MaxCPU        float64          `json:"most_cores"` // emulated nodes that share a process count as its mean
	LiveMB        float64          `json:"live_mb"`    // in use after a garbage collection; 0 if not measured
	ResidentMB    float64          `json:"resident_mb"`
	MaxResidentMB float64          `json:"most_resident_mb"`
	Descriptors   float64          `json:"descriptors"`
	In            flow             `json:"in"`   // received from other nodes
	Out           flow             `json:"out"`  // sent to other nodes
	List          flow             `json:"list"` // received from the list service
	Dropped       int64            `json:"lost"` // messages received but not processed
	Counters      map[string]int64 `json:"counters,omitempty"`
	Processes     int              `json:"processes"`
}

// ChangeLatency summarizes the seconds between making a list change and its application at the nodes.
type ChangeLatency struct {
	Count   int     `json:"made"`
	Median  float64 `json:"half"`  // at half of the nodes, mean of the changes
	P99     float64 `json:"p99"`   // at 99% of the nodes, maximum of the changes
	Max     float64 `json:"all"`   // at the last node that applied it, maximum of the changes
	Missing int     `json:"never"` // pairs of node and change where the change was not applied in time
}

// Peak is the load peak after the end of an outage, or after the failure of the leader: the most messages that a
// receiver got in any second after that time, divided by the mean before it, at the receiver with the highest ratio. A
// mean below ten counts as ten. At the list service, calls are compared with the mean of calls and list notifications.
type Peak struct {
	Ratio float64 `json:"times"`
	Role  string  `json:"role"`
	Node  int     `json:"node"` // -1 for the list service
}

// UnitUsage compares the units taken by all nodes with their common limit.
type UnitUsage struct {
	Kind         string  `json:"kind"`
	Limit        int     `json:"whole"` // in any second
	Taken        int64   `json:"taken"`
	Refused      int64   `json:"refused"`
	MaxPerSecond int     `json:"most"`      // in any second
	GapP99       float64 `json:"gap_p99_s"` // 99th percentile over busy nodes of the longest time without a grant
	MaxGap       float64 `json:"gap_most_s"`
}

// Target compares a figure of the control plane with its limit.
type Target struct {
	Name  string  `json:"what"`
	Value float64 `json:"got"`
	Limit float64 `json:"limit"`
	Met   bool    `json:"holds"`
	Ratio float64 `json:"factor"` // value divided by limit
}

// TargetsMet reports whether the largest fleet met every target.
func (r *Result) TargetsMet() bool {
	return !slices.ContainsFunc(r.Fleets[len(r.Fleets)-1].Targets, func(t Target) bool { return !t.Met })
}

// InvalidReason returns why a run is invalid, or "" if all fleets gave valid results.
func (r *Result) InvalidReason() string {
	for _, f := range r.Fleets {
		if f.InvalidReason != "" {
			return fmt.Sprintf("%d nodes: %s", f.Nodes, f.InvalidReason)
		}
	}
	return ""
}
