package fleet

import (
	"slices"
	"time"
)

const (
	sampleInterval    = 100 * time.Millisecond // between samples of the clients' service
	worstWindowLength = 5 * time.Second        // length of the window of Result.WorstWindow
)

// sampleService counts the clients that want a connection, and those connected to a server within its capacity.
func (sim *simulation) sampleService() {
	sampleIndex := int((sim.now-startTime)/sampleInterval) - 1
	sim.clients = slices.DeleteFunc(sim.clients, func(c *client) bool { return c.wantedUntil < sim.now })
	for _, c := range sim.clients {
		sim.wantedSamples[sampleIndex]++
		if c.connection != nil && c.connection.server.isServing() && sim.utilization(c.connection.server) <= 1 {
			sim.servedSamples[sampleIndex]++
		}
	}
	if sampleIndex%int(time.Second/sampleInterval) == 0 {
		sim.sampleUtilization()
	}
	if !sim.ended() {
		sim.schedule(sampleInterval, sim.sampleService)
	}
}

// sampleUtilization records the utilization of the serving servers and its imbalance.
func (sim *simulation) sampleUtilization() {
	var load, capacity, totalUtilization, maxUtilization float64
	servingCount := 0
	for _, s := range sim.servers {
		if s.isServing() {
			utilization := sim.utilization(s)
			load += utilization * sim.capacity(s)
			capacity += sim.capacity(s)
			totalUtilization += utilization
			maxUtilization = max(maxUtilization, utilization)
			servingCount++
		}
	}
	utilization, imbalance := 0.0, 0.0
	if capacity > 0 && totalUtilization > 0 {
		utilization, imbalance = load/capacity, maxUtilization*float64(servingCount)/totalUtilization
	}
	sim.result.Utilization = append(sim.result.Utilization, utilization)
	sim.result.Imbalance = append(sim.result.Imbalance, imbalance)
}

// summarize completes the result at the end of the run.
func (sim *simulation) summarize() *Result {
	for _, n := range sim.nodes {
		if n.leases != nil {
			n.leases.addTotals()
			totals := sim.result.Totals
			totals[counterBusiestNodeMessages] = max(totals[counterBusiestNodeMessages], n.messagesSent)
		}
	}
	sampleCount := min(int(time.Duration(sim.scenario.Length)/sampleInterval), len(sim.servedSamples))
	served, wanted := sum(sim.servedSamples[:sampleCount]), sum(sim.wantedSamples[:sampleCount])
	if wanted > 0 {
		sim.result.Served, sim.result.WorstWindow = served/wanted, sim.worstWindow(sampleCount)
	}
	return sim.result
}

// worstWindow returns the lowest served fraction of any window within the first sampleCount samples.
func (sim *simulation) worstWindow(sampleCount int) float64 {
	const window = int(worstWindowLength / sampleInterval)
	worst := 1.0
	for end := window; end <= sampleCount; end++ {
		if wanted := sum(sim.wantedSamples[end-window : end]); wanted > 0 {
			worst = min(worst, sum(sim.servedSamples[end-window:end])/wanted)
		}
	}
	return worst
}

func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
