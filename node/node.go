// Package node is the embeddable library of the balancer. A node accepts clients on a TCP address and connects each of
// them to a server. The package contains the lifecycle of the process, the event loop, the endpoint list, the hand-over
// between two processes of one node, and the invariants that no attempt may violate.
//
// Package balance makes the balancing decisions. Quotas that nodes share are in internal/control, and the connections
// of clients and servers are in internal/frontend, internal/backend and internal/exchange. The goroutine of the event
// loop owns the balancer and the state of all requests; other goroutines post functions to it.
//
// Load reads a configuration, New validates it and listens, and Node.Run serves until its context is done and then
// migrates all clients before it returns.
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
	"brassmux/internal/lines"
	"brassmux/internal/settings"
	"brassmux/internal/upgrade"
)

// Node is one process of a node. Use New to create one. Its methods are safe for concurrent use, except for Run, which
// must be called only once.
type Node struct {
	cfg           Config
	log           *zap.Logger
	listener      *net.TCPListener
	lifecycle     *lifecycle
	orders        *orders
	handover      handoverState
	loop          *loop
	frontend      *frontend.Server
	admin         *admin.Server   // nil without an admin address
	adminListener net.Listener    // nil without an admin address
	ctx           context.Context // cancelled when the shutdown is complete
	cancel        context.CancelFunc
}

// New validates the configuration and listens on its addresses. A nil logger disables logging. Errors are of type
// *ConfigError or *EnvironmentError, except for errors of listening on the peer addresses.
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
	n.orders = newOrders(n.lifecycle, n.useAddrs, n.log)
	n.handover.successorSlot = make(chan struct{}, 1)
	if n.listener, err = cfg.openListener(); err != nil {
		return nil, err
	}
	if err := n.openAdmin(); err != nil {
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.loop = newLoop(n.ctx, &n.cfg, n.log)
	requests, handshakes, healthChecks := cfg.connectionLimits()
	n.loop.backend = backend.New(cfg.backendConfig(healthChecks), n.loop, n.loop.onHealthCheck)
	if n.loop.control != nil {
		if err := n.loop.control.Listen(); err != nil {
			return nil, err
		}
	}
	n.frontend = frontend.New(n.frontendConfig(requests, handshakes), n.log, n.loop, n.loop.onRequest)
	return n, nil
}

// closeListeners closes the listeners that New has opened.
func (n *Node) closeListeners() {
	if n.listener != nil {
		n.listener.Close()
	}
	if n.adminListener != nil {
		n.adminListener.Close()
	}
}

// openAdmin listens on the admin address if one is configured.
func (n *Node) openAdmin() (err error) {
	if n.cfg.Admin == "" {
		return nil
	}
	if n.adminListener, err = listenTCP(n.cfg.Admin); err != nil {
		return wrapConfigError(adminKey, err)
	}
	limits := admin.Limits{MaxConnections: n.cfg.adminConnectionLimit(),
		CallTimeout: milliseconds(n.cfg.Timeouts.FirstLineMS)}
	n.admin = admin.New(adminNode{n}, limits, n.log)
	return nil
}

// backendConfig returns the configuration of connections to servers.
func (c *Config) backendConfig(healthChecks int) backend.Config {
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
func (n *Node) frontendConfig(requests, handshakes int) frontend.Config {
	timeouts := &n.cfg.Timeouts
	return frontend.Config{
		FirstLineTimeout: milliseconds(timeouts.FirstLineMS),
		MaxRequests:      requests,
		MaxHandshakes:    handshakes,
		MaxRememberedIDs: n.cfg.Limits.maxRememberedIDs(),
		ClassCounters:    func(name []byte) *exchange.ClassCounters { return n.loop.classCounters[string(name)] },
		IsInService:      n.lifecycle.acceptsClients,
		ExchangeLimits: exchange.Limits{
			Pacer:              lines.NewPacer(n.cfg.cores()),
			ResponseTimeout:    milliseconds(timeouts.ResponseSilenceMS),
			LateReportInterval: milliseconds(timeouts.LateNoticeMS),
			CloseTimeout:       milliseconds(timeouts.CloseMS),
		},
	}
}

// Addr returns the address on which clients connect.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// cores returns the number of processor cores that the process may use.
func (c *Config) cores() float64 {
	if c.Limits.Cores > 0 {
		return c.Limits.Cores
	}
	return float64(runtime.GOMAXPROCS(0))
}

// ApplyLimits applies the configured cores and memory to the Go runtime of this process. A program that does other work
// besides running a node should not call it.
func (n *Node) ApplyLimits() {
	if cores := n.cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(int(cores), 1))
	}
	if mb := n.cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(mb << 20 * 3 / 4) // the rest is for kernel buffers and peaks
	}
}

// Reload applies the parts of a new configuration that can change while the node serves: the discovery address and the
// addresses of the control machines. Other changes take effect at the next start and are logged. An invalid
// configuration changes nothing, and the error is a *ConfigError.
func (n *Node) Reload(cfg Config) error {
	if err := cfg.validate(); err != nil {
		return err
	}
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
	n.orders.setAddrs(cfg.reloadOrder())
	return nil
}

// reloadOrder returns the part of the configuration that can change while the node serves.
func (c *Config) reloadOrder() upgrade.ReloadOrder {
	return upgrade.ReloadOrder{Discovery: c.Discovery, ControlAddrs: c.Peers.ControlAddrs}
}

// useAddrs carries out a reload.
func (n *Node) useAddrs(order upgrade.ReloadOrder) {
	n.reloadControlMachines(order.ControlAddrs)
	n.loop.post(func() { n.loop.onDiscoveryChanged(order.Discovery) })
}

// reloadControlMachines switches a node that is below control machines to other control machines.
func (n *Node) reloadControlMachines(addrs []string) {
	old := n.cfg.Peers.ControlAddrs
	if n.loop.control == nil || len(old) == 0 || len(addrs) == 0 || slices.Equal(old, addrs) {
		return
	}
	n.cfg.Peers.ControlAddrs = slices.Clone(addrs)
	n.loop.post(func() { n.loop.control.ReplaceControlMachines(addrs) })
}
