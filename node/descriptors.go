package node

// reservedDescriptors are not available for connections of clients and servers: they are for files, listeners, a
// connection that is accepted and waits for a worker, two endpoint watches while one replaces the other, and one health
// check.
const reservedDescriptors = 24

const (
	minConnections           = 8
	minConnectionDescriptors = 3 * minConnections // one per connection without a request, two per request
)

// connectionLimits divides the descriptors among health checks, connections without a request yet (handshakes) and
// requests. A request takes two descriptors, one for its client and one for its server. Health checks get one
// descriptor per server of the initial endpoint list, but at least an eighth and at most a quarter of all, so that an
// endpoint list that grows later takes none from requests. Handshakes get an eighth of the rest, so that they cannot
// crowd out requests.
func (c *Config) connectionLimits() (requests, handshakes, healthChecks int) {
	available := c.Limits.FileDescriptors - reservedDescriptors - c.adminConnectionLimit()
	healthChecks = min(max(len(c.InitialEndpoints.Servers), available/8), available/4)
	healthChecks = max(min(healthChecks, available-minConnectionDescriptors), 1)
	available -= healthChecks
	handshakes = max(available/8, minConnections)
	requests = max((available-handshakes)/2, minConnections)
	if limit := c.Settings.Limits.MaxOpenRequests; limit > 0 {
		requests = min(requests, limit)
	}
	return requests, handshakes, healthChecks
}

// adminConnectionLimit returns the number of descriptors reserved for the admin address, so that admin connections and
// clients cannot exhaust each other's descriptors.
func (c *Config) adminConnectionLimit() int {
	if c.Admin == "" {
		return 0
	}
	return max(c.Limits.FileDescriptors/16, minConnections)
}
