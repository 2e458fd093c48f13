package node

import (
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
	"brassmux/internal/settings"
)

// The states of a server in the endpoint list.
const (
	serverUp       = "up"
	serverDraining = "draining"
	serverRemoved  = "removed"
)

// endpointState holds the endpoint list and the watches that keep it up to date.
type endpointState struct {
	discovery         *discovery.Client
	discoveryAddr     string
	listVersion       int64     // numbered by the discovery service that sent the list
	listConfirmedAt   time.Time // when a watch last delivered a list or a heartbeat; zero before the first one
	logsEndpointLists bool

	endpointsPushed bool          // the site pushes changes, so a watch is always open
	listUsable      chan struct{} // closed once requests do not have to wait for a list
	isWatching      bool          // a watch is open or waits for its quota
	watchAttempts   int
	currentWatch    *watch // the most recently opened one
	previousWatch   *watch // its predecessor, kept until currentWatch receives data

	initialEndpoints     balance.EndpointUpdate
	servers              map[balance.ServerID]discovery.Endpoint
	drainingServers      map[balance.ServerID]bool
	keepsUnlistedServers bool          // a server that is not in the list may still accept clients
	serverDrainTimeout   time.Duration // given to a draining server to migrate its clients itself

	awaitingServer []*exchange.Exchange // reconnecting clients whose servers are not in the list yet
}

func newEndpointState(cfg *Config, balanceConfig *balance.Config) endpointState {
	dialTimeout := settings.Microseconds(cfg.Settings.Limits.DialTimeoutMicros) * listDialFactor
	client := discovery.New(dialTimeout, milliseconds(cfg.Timeouts.WatchSilenceMS), cfg.sourceAddr())
	client.DialContext = cfg.TestOptions.DialDiscovery
	return endpointState{
		discovery:            client,
		discoveryAddr:        cfg.Discovery,
		listVersion:          cfg.InitialEndpoints.Version,
		logsEndpointLists:    cfg.TestOptions.LogEndpointLists,
		endpointsPushed:      balanceConfig.EndpointsPushed,
		listUsable:           make(chan struct{}),
		initialEndpoints:     cfg.InitialEndpoints.EndpointUpdate(balance.ListCached),
		servers:              map[balance.ServerID]discovery.Endpoint{},
		drainingServers:      map[balance.ServerID]bool{},
		keepsUnlistedServers: balanceConfig.KeepUnlistedServers,
		serverDrainTimeout:   milliseconds(cfg.Timeouts.ServerDrainMS),
	}
}

// applyEndpointList applies a complete list, or changes to the current one. ofFormerService is set if they come from a
// discovery service that is no longer used.
func (l *loop) applyEndpointList(list *discovery.EndpointList, ofFormerService bool) {
	kind := balance.ListDelta
	if list.Full {
		kind = balance.ListSnapshot
		clear(l.servers)
		clear(l.drainingServers)
	}
	l.updateServers(list)
	update := list.EndpointUpdate(kind)
	update.FormerService = ofFormerService
	l.handle(update)
	l.control.UpdateSlowStartLimits()
	l.cancelStaleAttempts()
	for _, server := range list.Servers {
		if server.State == serverDraining {
			l.onServerDraining(balance.ServerID(server.ID))
		}
	}
	waiting := l.awaitingServer
	l.awaitingServer = nil
	for _, request := range waiting {
		l.reconnect(request)
	}
}

// updateServers applies the entries of a list to the tables of servers.
func (l *loop) updateServers(list *discovery.EndpointList) {
	for _, server := range list.Servers {
		id := balance.ServerID(server.ID)
		if server.State == serverRemoved {
			delete(l.servers, id)
			delete(l.latencies, id)
		} else {
			l.servers[id] = server
		}
		if server.State == serverDraining {
			l.drainingServers[id] = true
		} else {
			delete(l.drainingServers, id)
		}
	}
}

// onServerDraining migrates the clients that a draining server has not migrated itself within serverDrainTimeout.
func (l *loop) onServerDraining(id balance.ServerID) {
	time.AfterFunc(l.serverDrainTimeout, func() {
		l.post(func() {
			if l.drainingServers[id] {
				l.handle(balance.ShutdownAnnounced{Server: id})
			}
		})
	})
}
