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

// endpointState is the endpoint list with the watch that keeps it up to date.
type endpointState struct {
	discovery     *discovery.Client
	discoveryAddr string
	version       int64 // of the list; each discovery service numbers its own
	logsLists     bool

	endpointsPushed bool // the site tells of changes unasked
	isWatching      bool // a watch is open, or about to be
	watchAttempts   int
	current         *watch // the one opened last
	previous        *watch // the one before it, until current has data

	initialMembers  balance.EndpointUpdate
	servers         map[balance.ServerID]discovery.Endpoint
	draining        map[balance.ServerID]bool
	keepsUnlisted   bool          // a server that the list does not name may still accept clients
	serverDrainTime time.Duration // a draining server has it to migrate its clients itself

	awaitingServer []*exchange.Exchange // connections of before, to servers that no list has named yet
}

func newEndpointState(cfg *Config, b *balance.Config) endpointState {
	dialTimeout := settings.Microseconds(cfg.Settings.Limits.DialTimeoutMicros) * listDialFactor
	client := discovery.New(dialTimeout, milliseconds(cfg.Timeouts.WatchSilenceMS), cfg.sourceAddr())
	client.DialContext = cfg.TestOptions.DialDiscovery
	return endpointState{
		discovery:       client,
		discoveryAddr:   cfg.Discovery,
		version:         cfg.InitialEndpoints.Version,
		logsLists:       cfg.TestOptions.LogEndpointLists,
		endpointsPushed: b.EndpointsPushed,
		initialMembers:  cfg.InitialEndpoints.EndpointUpdate(balance.ListCached),
		servers:         map[balance.ServerID]discovery.Endpoint{},
		draining:        map[balance.ServerID]bool{},
		keepsUnlisted:   b.KeepUnlistedServers,
		serverDrainTime: milliseconds(cfg.Timeouts.ServerDrainMS),
	}
}

// applyEndpointList applies a list, or changes to the one in force.
func (l *loop) applyEndpointList(list *discovery.EndpointList) {
	kind := balance.ListDelta
	if list.Full {
		kind = balance.ListSnapshot
		clear(l.servers)
		clear(l.draining)
	}
	l.updateServers(list)
	l.handle(list.EndpointUpdate(kind))
	l.control.UpdateSlowStartLimits()
	l.cancelStaleAttempts()
	for _, s := range list.Servers {
		if s.State == serverDraining {
			l.onServerDraining(balance.ServerID(s.ID))
		}
	}
	waiting := l.awaitingServer
	l.awaitingServer = nil
	for _, x := range waiting {
		l.reconnect(x)
	}
}

func (l *loop) updateServers(list *discovery.EndpointList) {
	for _, s := range list.Servers {
		id := balance.ServerID(s.ID)
		if s.State == serverRemoved {
			delete(l.servers, id)
			delete(l.latencies, id)
		} else {
			l.servers[id] = s
		}
		if s.State == serverDraining {
			l.draining[id] = true
		} else {
			delete(l.draining, id)
		}
	}
}

// onServerDraining migrates the clients of a draining server that it has not migrated itself after a while.
func (l *loop) onServerDraining(id balance.ServerID) {
	time.AfterFunc(l.serverDrainTime, func() {
		l.post(func() {
			if l.draining[id] {
				l.handle(balance.ShutdownAnnounced{Server: id})
			}
		})
	})
}
