package node

import (
	"testing"

	"brassmux/internal/discovery"
)

// Guards against limits that exceed the descriptors, so that admin calls, requests and health checks could take each
// other's, for any size of the initial endpoint list. One of the reserved descriptors is for a health check.
func TestDescriptorsAreDivided(t *testing.T) {
	for descriptors := reservedDescriptors + minConnectionDescriptors; descriptors <= 4096; descriptors++ {
		for _, servers := range []int{0, 4, 90, 1000} {
			for _, addr := range []string{"", "127.0.0.1:1"} {
				checkConnectionLimits(t, Config{Admin: addr, Limits: Limits{FileDescriptors: descriptors},
					InitialEndpoints: discovery.EndpointList{Servers: make([]discovery.Endpoint, servers)}})
			}
		}
	}
	cfg := Config{Limits: Limits{FileDescriptors: 256}}
	requests, handshakes, healthChecks := cfg.connectionLimits()
	cfg.Admin = "127.0.0.1:1"
	requestsWithAdmin, handshakesWithAdmin, healthChecksWithAdmin := cfg.connectionLimits()
	if cfg.adminConnectionLimit() != 16 || 2*(requests-requestsWithAdmin)+handshakes-handshakesWithAdmin+
		healthChecks-healthChecksWithAdmin < 16 || healthChecks != 29 {
		t.Errorf("limits %d, %d, %d become %d, %d, %d with %d admin connections", requests, handshakes, healthChecks,
			requestsWithAdmin, handshakesWithAdmin, healthChecksWithAdmin, cfg.adminConnectionLimit())
	}
}

// checkConnectionLimits checks that the limits of a valid configuration fit its descriptors.
func checkConnectionLimits(t *testing.T, cfg Config) {
	t.Helper()
	descriptors := cfg.Limits.FileDescriptors
	if descriptors < reservedDescriptors+minConnectionDescriptors+cfg.adminConnectionLimit() {
		return // Validate rejects the configuration
	}
	requests, handshakes, healthChecks := cfg.connectionLimits()
	if reservedDescriptors+cfg.adminConnectionLimit()+handshakes+2*requests+healthChecks-1 > descriptors ||
		requests < minConnections || handshakes < minConnections || healthChecks < 1 {
		t.Fatalf("limits %d, %d, %d of %d descriptors, with %d admin connections", requests, handshakes, healthChecks,
			descriptors, cfg.adminConnectionLimit())
	}
}
