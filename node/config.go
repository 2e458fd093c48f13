package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"brassmux/internal/discovery"
	"brassmux/internal/settings"
)

// Config is the configuration of a node. Load and LoadForReload read it from a JSON file, whose keys are documented in
// docs/configuration.md. New and Node.Reload call Validate, which replaces zero values with defaults.
type Config struct {
	// Name identifies the node in its log lines.
	Name string `json:"name"`
	// Listen is the host:port on which clients connect. With ListenFD it only identifies the node for hand-over.
	Listen string `json:"listen"`
	// Admin is the host:port of the admin address; empty to disable it.
	Admin string `json:"admin"`
	// Source is the local IP address of connections to servers and to the discovery service; empty to let the system
	// choose.
	Source string `json:"source"`
	// Discovery is the host:port of the service that publishes the endpoint list.
	Discovery string `json:"discovery"`
	// Seed seeds the pseudo-random numbers: at most 16 hexadecimal digits, empty for 0.
	Seed string `json:"seed"`
	// Limits are the resources that the process may use.
	Limits Limits `json:"limits"`
	// InitialEndpoints is the endpoint list that the node starts with, usually the last one it received.
	InitialEndpoints discovery.EndpointList `json:"known"`
	// Settings are the site's settings, in the names and units that the site uses.
	Settings settings.Site `json:"settings"`
	// Timeouts are the node's own time limits.
	Timeouts Timeouts `json:"times"`
	// ShadowSettings are alternative settings that are evaluated next to Settings: their decisions are counted and
	// compared, but not executed. Nil for none.
	ShadowSettings *settings.Site `json:"watch_settings"`
	// Peers are the addresses over which nodes exchange quota leases.
	Peers Peers `json:"peers"`
	// Budgets are the quotas that all nodes share, and how they are divided.
	Budgets Budgets `json:"budgets"`
	// TestOptions alter the environment of the process in tests.
	TestOptions TestOptions `json:"lab"`
	// ListenFD is an inherited descriptor of a listening TCP socket; 0 for none.
	ListenFD int `json:"-"`
	// HandoverDir is the directory of the socket over which a process hands over to its successor during a live
	// upgrade; empty to disable hand-over.
	HandoverDir string `json:"-"`

	// reread reads the configuration again, as LoadForReload does; nil if it was not read by Load.
	reread func() (Config, error)
	// dialServer replaces the dialer of server connections in tests.
	dialServer func(ctx context.Context, addr string) (net.Conn, error)
}

// Peers are the UDP addresses over which nodes exchange quota leases. Without NodeAddrs and ControlAddrs the node opens
// no socket for them.
type Peers struct {
	// Listen is this node's own host:port; port 0 selects a free port.
	Listen string `json:"listen"`
	// NodeAddrs are the IP:port addresses of all nodes, including this one, ordered by node index. On a control machine
	// they are the addresses of all control machines. Datagrams from other sources are dropped.
	NodeAddrs []string `json:"nodes"`
	// ControlAddrs are the ChildListen addresses of the control machines above this node, in order of preference; at
	// most 32. Empty on a node without control machines and on a control machine.
	ControlAddrs []string `json:"control"`
	// ChildListen makes this node a control machine. It is the host:port on which it serves the nodes below it.
	ChildListen string `json:"children"`
	// ControlIndex is the index of a control machine in NodeAddrs; 0 on any other node.
	ControlIndex int `json:"index"`
}

// Budgets are the quotas that all nodes share. A quota of 0 is unlimited; others are at most 1,000,000 and require
// Leased.
type Budgets struct {
	// Leased divides the quotas among the nodes by demand, through leases. Otherwise each node has a fixed share.
	Leased bool `json:"lease"`
	// GuaranteedShare is the fraction of each quota, 0 to 1, that is divided into fixed shares, which nodes may use
	// without a lease. 0 selects the default: 0.5, but 0 with control machines.
	GuaranteedShare float64 `json:"floor"`
	// ControlGuaranteedShare is the same fraction among the control machines; 0 selects the default of 0.5.
	ControlGuaranteedShare float64 `json:"control_floor"`
	// ChildLeaseTermMS is the time, in milliseconds, within which a lease from a control machine must be used: 50 to
	// 10,000, by default 250.
	ChildLeaseTermMS int64 `json:"child_term_ms"`
	// RetriesPerSecond limits the retries of requests by all nodes.
	RetriesPerSecond int `json:"retries_per_s"`
	// ListCallsPerSecond limits the calls of all nodes to the discovery service.
	ListCallsPerSecond int `json:"list_calls_per_s"`
	// HealthChecksPerSecond limits the health checks of all nodes to each server.
	HealthChecksPerSecond int `json:"probes_per_s"`
	// ConnectsPerSecond limits the new connections of all nodes to each server.
	ConnectsPerSecond int `json:"connects_per_s"`
	// MovesPerSecond limits the clients that all nodes migrate away from each server to rebalance load. Draining
	// servers and nodes are exempt.
	MovesPerSecond int `json:"moves_per_s"`
	// OpensPerSecond limits the new connections of each customer. The customer of a request is its group, or its key
	// if it names no group.
	OpensPerSecond int `json:"opens_per_s"`
	// OpenPerCustomer limits the concurrent connections of each customer. Not supported with control machines.
	OpenPerCustomer int `json:"open_per_customer"`
	// OpenLeaseMS is the lease term, in milliseconds, of a concurrent connection beyond the node's guaranteed share:
	// 5,000 to 600,000, by default 30,000. Connections whose lease expires are migrated.
	OpenLeaseMS int64 `json:"open_lease_ms"`
	// LeaseTermMS is the time, in milliseconds, within which a lease must be used: 50 to 10,000, by default 1,000.
	LeaseTermMS int64 `json:"term_ms"`
	// HeartbeatMS is the heartbeat interval in milliseconds: 20 to 10,000, by default 400.
	HeartbeatMS int64 `json:"beat_ms"`
	// MaxClockDriftPPM is the highest rate, in parts per million, at which two monotonic clocks drift apart: 1 to
	// 50,000, by default 1,000. The quotas are enforced only if the clocks stay within it.
	MaxClockDriftPPM int64 `json:"drift_ppm"`
}

// TestOptions alter the environment of the process in tests and in the programs of the directory lab.
type TestOptions struct {
	// ClockOffsetMS is added to the wall clock, in milliseconds.
	ClockOffsetMS int64 `json:"clock_off_ms"`
	// LogEndpointLists logs "list in force", with the version, for each endpoint list that is applied.
	LogEndpointLists bool `json:"tell_lists"`

	// WallClock replaces time.Now as the wall clock if it is not nil.
	WallClock func() time.Time `json:"-"`
	// PeerLink returns the delay of a datagram to a peer, and false to drop it; nil for an unaltered network.
	PeerLink func(to netip.AddrPort) (after time.Duration, ok bool) `json:"-"`
	// DialDiscovery replaces the dialer of connections to the discovery service if it is not nil.
	DialDiscovery func(ctx context.Context, network, addr string) (net.Conn, error) `json:"-"`
}

// Limits are the resources that the process may use.
type Limits struct {
	// Cores is the number of processor cores; 0 for all.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory limit in MiB; 0 for none.
	MemoryMB int64 `json:"memory_mb"`
	// FileDescriptors limits the open descriptors: at least 48, with an admin address 56; by default 1,024.
	FileDescriptors int `json:"sockets"`
}

// Timeouts are time limits in milliseconds, 0 or more. 0 selects the default.
type Timeouts struct {
	// FirstLineMS limits the time from accepting a connection to its request line, with any PINGs; by default 2,000.
	FirstLineMS int64 `json:"first_line_ms"`
	// HealthCheckMS limits the time of a health check; by default 300.
	HealthCheckMS int64 `json:"probe_ms"`
	// WatchSilenceMS is the time without data after which a watch of the endpoint list counts as broken; by default
	// 2,300, as the discovery service sends a heartbeat every 2,000.
	WatchSilenceMS int64 `json:"watch_ms"`
	// ResponseSilenceMS is the time that a message may stay unanswered before its server counts as failed; by default
	// 3,000.
	ResponseSilenceMS int64 `json:"silence_ms"`
	// LateNoticeMS is the interval at which an unanswered message is reported as late; by default 1,000.
	LateNoticeMS int64 `json:"notice_ms"`
	// CloseMS limits the time that a connection may take to close once it has ended; by default 500.
	CloseMS int64 `json:"linger_ms"`
	// ServerDrainMS is the time that a draining server has to migrate its clients itself, before the node does; by
	// default 1,000.
	ServerDrainMS int64 `json:"drain_ms"`
	// AcceptAfterStopMS is the time for which clients are still accepted after a graceful shutdown has begun; by
	// default 500.
	AcceptAfterStopMS int64 `json:"accept_ms"`
	// StopMS limits the time of a graceful shutdown. The default is 600 more than the longest request deadline of any
	// class, which counts as 3,000 at most.
	StopMS int64 `json:"stop_ms"`
	// OutOfServiceMS limits the time in which a node that was taken out of service migrates its clients; by default
	// 3,000.
	OutOfServiceMS int64 `json:"empty_ms"`
}

// sourceAddr returns the local address of connections to servers and to the discovery service; nil for any.
func (c *Config) sourceAddr() net.Addr {
	addr, err := netip.ParseAddr(c.Source)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr, 0))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
