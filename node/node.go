// Package node is the embeddable library of the balancer: a process that accepts clients on a TCP address and connects
// each to a server. It owns the lifecycle of the process, the event loop, the endpoint list, the hand-over between two
// processes of one node, and the invariants that no attempt may violate.
//
// Decisions are left to package balance, quotas that nodes share to internal/control, and the bytes of clients and
// servers to internal/frontend, internal/backend and internal/exchange. The loop's goroutine owns the balancer and all
// state of requests; other goroutines pass functions to it.
//
// Load reads a configuration, New checks it and listens, and Node.Run serves until its context ends, then migrates all
// clients before it returns.
package node

import (
	"context"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"

	"go.uber.org/zap"

	"brassmux/internal/admin"
	"brassmux/internal/backend"
	"brassmux/internal/exchange"
	"brassmux/internal/frontend"
	"brassmux/internal/settings"
)

// Node is one process of a node. Make it with New. Its methods are safe for concurrent use, except for Run, which is
// called once.
type Node struct {
	cfg           Config
	log           *zap.Logger
	listener      *net.TCPListener
	lifecycle     *lifecycle
	handover      handoverState
	loop          *loop
	frontend      *frontend.Server
	admin         *admin.Server   // nil without an admin address
	adminListener net.Listener    // nil without an admin address
	ctx           context.Context // ends when Run has served
	cancel        context.CancelFunc
}

// New validates the configuration and listens on its addresses. A nil logger discards all lines. Errors are of type
// *ConfigError or *EnvironmentError, but for those of peer addresses that cannot be listened on.
func New(cfg Config, log *zap.Logger) (_ *Node, err error) {
	if log == nil {
		log = zap.NewNop()
	}
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log.With(zap.String("node", cfg.Name)), lifecycle: newLifecycle()}
	defer func() {
		if err != nil {
			n.closeListeners()
		}
	}()
	n.handover.attending = make(chan struct{}, 1)
	if n.listener, err = cfg.openListener(); err != nil {
		return nil, err
	}
	if err := n.openAdmin(); err != nil {
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.loop = newLoop(n.ctx, &n.cfg, n.log)
	requests, withoutRequest, healthChecks := cfg.connectionLimits()
	n.loop.backend = backend.New(cfg.backend(healthChecks), n.loop, n.loop.onHealthCheck)
	if n.loop.control != nil {
		if err := n.loop.control.Listen(); err != nil {
			return nil, err
		}
	}
	n.frontend = frontend.New(n.frontendConfig(requests, withoutRequest), n.log, n.loop, n.loop.onRequest)
	return n, nil
}

// closeListeners closes the sockets that New has opened.
func (n *Node) closeListeners() {
	if n.listener != nil {
		n.listener.Close()
	}
	if n.adminListener != nil {
		n.adminListener.Close()
	}
}

// openAdmin listens on the admin address, if there is one.
func (n *Node) openAdmin() (err error) {
	if n.cfg.Admin == "" {
		return nil
	}
	if n.adminListener, err = listenTCP(n.cfg.Admin); err != nil {
		return configCause(adminKey, err)
	}
	limits := admin.Limits{MaxConnections: n.cfg.adminConnectionLimit(),
		CallTimeout: milliseconds(n.cfg.Timeouts.FirstLineMS)}
	n.admin = admin.New(adminNode{n}, limits, n.log)
	return nil
}

// backend returns the configuration of connections to servers.
func (c *Config) backend(healthChecks int) backend.Config {
	return backend.Config{
		DialTimeout:         settings.Microseconds(c.Settings.Limits.DialTimeoutMicros),
		LocalAddr:           c.sourceAddr(),
		HealthCheckTimeout:  milliseconds(c.Timeouts.HealthCheckMS),
		IdleTimeout:         settings.Microseconds(c.Settings.Limits.KeepAliveMicros),
		MaxHealthCheckConns: healthChecks,
		LoadField:           settings.LoadField,
		Connect:             c.dialServer,
	}
}

// frontendConfig returns the configuration of connections from clients.
func (n *Node) frontendConfig(requests, withoutRequest int) frontend.Config {
	t := &n.cfg.Timeouts
	return frontend.Config{
		FirstLineTimeout: milliseconds(t.FirstLineMS),
		MaxRequests:      requests,
		MaxHandshakes:    withoutRequest,
		ClassCounters:    func(name []byte) *exchange.ClassCounters { return n.loop.classes[string(name)] },
		IsInService:      n.lifecycle.acceptsClients,
		ExchangeLimits: exchange.Limits{
			Silence:      milliseconds(t.ResponseSilenceMS),
			LateNotice:   milliseconds(t.LateNoticeMS),
			CloseTimeout: milliseconds(t.CloseMS),
		},
	}
}

// Addr returns the address on which clients connect.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// ApplyLimits applies the configured cores and memory to the Go runtime of this process. A program that embeds a node
// beside other work does not call it.
func (n *Node) ApplyLimits() {
	if cores := n.cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(int(cores), 1))
	}
	if mb := n.cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(mb << 20 * 3 / 4) // the rest is for buffers of the kernel and for peaks
	}
}

// Reload applies what a new configuration may change while the node serves: the discovery address, and the addresses of
// its control machines. Other changes take effect at the next start, and are named in the log. An invalid configuration
// changes nothing; the error is a *ConfigError.
func (n *Node) Reload(cfg Config) error {
	if err := cfg.validate(); err != nil {
		return err
	}
	n.reloadControlMachines(cfg.Peers.ControlAddrs)
	old := &n.cfg
	for _, key := range []struct {
		name    string
		changed bool
	}{
		{"name", cfg.Name != old.Name},
		{"listen", cfg.Listen != old.Listen},
		{"source", cfg.Source != old.Source},
		{"peers", !reflect.DeepEqual(cfg.Peers, old.Peers)},
		{"budgets", cfg.Budgets != old.Budgets},
		{"admin", cfg.Admin != old.Admin},
		{"limits", cfg.Limits != old.Limits},
		{"times", cfg.Timeouts != old.Timeouts},
		{"settings", !reflect.DeepEqual(cfg.Settings, old.Settings)},
	} {
		if key.changed {
			n.log.Warn("changed key takes effect at the next start", zap.String("key", key.name))
		}
	}
	n.loop.post(func() { n.loop.onDiscoveryChanged(cfg.Discovery) })
	return nil
}

// reloadControlMachines follows other control machines, on a node below some.
func (n *Node) reloadControlMachines(addrs []string) {
	old := n.cfg.Peers.ControlAddrs
	if n.loop.control == nil || len(old) == 0 || len(addrs) == 0 || slices.Equal(old, addrs) {
		return
	}
	n.cfg.Peers.ControlAddrs = slices.Clone(addrs)
	n.loop.post(func() { n.loop.control.ReplaceControlMachines(addrs) })
}
