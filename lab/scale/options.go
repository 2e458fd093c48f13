package scale

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Options configures a run.
type Options struct {
	Nodes          []int         // fleet sizes in ascending order, emulated and real nodes together
	RealNodes      int           // number of real node processes among them, which serve real clients
	Seed           uint64        // seed of the random numbers of nodes, traffic and clients
	Duration       time.Duration // measured time in each fleet
	ControlNodes   int           // control nodes in addition to Nodes; 0 if all nodes are peers
	Scenario       string        // one of those returned by Scenarios
	OutageDuration time.Duration // length of the outage in the scenarios that have one
	Binary         string        // path of the program; "" for the running one
	Log            io.Writer     // destination of progress messages; nil for none
}

// Bounds of the options.
const (
	minNodes, maxNodes       = 40, 12_000
	maxRealNodes             = 60
	maxControlNodes          = 32
	minDuration, maxDuration = 5 * time.Second, 10 * time.Minute
	nodesPerWorker           = 300 // emulated nodes of one worker process
)

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return []string{"steady", "restarts", "zone", "region", "cold", "leader"} }

// Check returns an error for the first invalid option.
func (o *Options) Check() error {
	if len(o.Nodes) == 0 {
		return errors.New("--nodes: at least one size is required")
	}
	for i, n := range o.Nodes {
		if n < minNodes || n > maxNodes {
			return fmt.Errorf("--nodes: %d is not between %d and %d", n, minNodes, maxNodes)
		} else if i > 0 && n <= o.Nodes[i-1] {
			return fmt.Errorf("--nodes: %d is not greater than the size before it", n)
		}
		if o.RealNodes < 0 || o.RealNodes > maxRealNodes || o.RealNodes > n/4 {
			return fmt.Errorf("--real: %d is not between 0 and %d, or is more than a fourth of the nodes",
				o.RealNodes, maxRealNodes)
		}
	}
	if o.ControlNodes < 0 || o.ControlNodes > maxControlNodes {
		return fmt.Errorf("--control: %d is not between 0 and %d", o.ControlNodes, maxControlNodes)
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		return fmt.Errorf("--for: %v is not between %v and %v", o.Duration, minDuration, maxDuration)
	}
	if o.OutageDuration < time.Second || o.OutageDuration > maxDuration {
		return fmt.Errorf("--cut: %v is not between 1s and %v", o.OutageDuration, maxDuration)
	}
	if !slices.Contains(Scenarios(), o.Scenario) {
		return fmt.Errorf("--scenario: %q is not one of %s", o.Scenario, strings.Join(Scenarios(), ", "))
	}
	return nil
}
