package node

import (
	"maps"
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
	"brassmux/internal/upgrade"
)

// inheritedState is the state that a process receives from its predecessor.
type inheritedState struct {
	endpoints     discovery.EndpointList
	balancerState balance.HandoverState
	ids           upgrade.IDs
	end           *upgrade.Message // the last message of the state
}

// listAge returns the age of the endpoint list when it was sent; 0 if a watch was delivering changes.
func (s *inheritedState) listAge() time.Duration { return milliseconds(s.end.ListAgeMillis) }

// orders returns the orders in force at the predecessor. An earlier build reports only whether it is out of service.
func (s *inheritedState) orders() upgrade.Orders {
	if s.end.Orders != nil {
		return *s.end.Orders
	}
	if s.end.OutOfService {
		return upgrade.Orders{Service: upgrade.ServiceOrder{Revision: 1, OutOfService: true}}
	}
	return upgrade.Orders{}
}

// receive receives all messages of the state until a deadline.
func (s *inheritedState) receive(link *upgrade.Link, deadline time.Time) error {
	for {
		message, _, err := link.Receive(deadline)
		if err != nil {
			return err
		}
		switch message.Kind {
		case upgrade.KindState:
			s.appendPart(message)
		case upgrade.KindStateEnd:
			s.end = message
			return nil
		default:
			return &unexpectedMessageError{message.Kind}
		}
	}
}

// appendPart adds the contents of one message.
func (s *inheritedState) appendPart(message *upgrade.Message) {
	s.ids = append(s.ids, message.IDs...)
	if message.Endpoints != nil {
		s.endpoints.Version = message.Endpoints.Version
		s.endpoints.Servers = append(s.endpoints.Servers, message.Endpoints.Servers...)
	}
	if message.State != nil {
		s.balancerState.ConnectionRate, s.balancerState.RateUpdatedAt = message.State.ConnectionRate,
			message.State.RateUpdatedAt
		s.balancerState.Outage = message.State.Outage
		s.balancerState.Servers = append(s.balancerState.Servers, message.State.Servers...)
		s.balancerState.Affinities = append(s.balancerState.Affinities, message.State.Affinities...)
	}
}

// exportState returns the state of this process as messages to the successor, and releases its share of the slow-start
// budgets.
func (l *loop) exportState(orders upgrade.Orders) (messages []upgrade.Message) {
	l.call(func() {
		balancerState := l.balancer.HandoverState(l.now())
		l.setReleased(true)
		for chunk := range slices.Chunk(slices.Collect(maps.Values(l.servers)), upgrade.MaxEntries) {
			messages = append(messages, upgrade.Message{Kind: upgrade.KindState,
				Endpoints: &discovery.EndpointList{Version: l.listVersion, Full: true, Servers: chunk}})
		}
		appendState := func(state balance.HandoverState) {
			state.ConnectionRate, state.RateUpdatedAt = balancerState.ConnectionRate, balancerState.RateUpdatedAt
			state.Outage = balancerState.Outage
			messages = append(messages, upgrade.Message{Kind: upgrade.KindState, State: &state})
		}
		for chunk := range slices.Chunk(balancerState.Servers, upgrade.MaxEntries) {
			appendState(balance.HandoverState{Servers: chunk})
		}
		for chunk := range slices.Chunk(balancerState.Affinities, upgrade.MaxEntries) {
			appendState(balance.HandoverState{Affinities: chunk})
		}
		messages = append(messages, upgrade.Message{Kind: upgrade.KindStateEnd,
			OutOfService: orders.Service.OutOfService, Orders: &orders, DiscoveryAddr: l.discoveryAddr,
			ListAgeMillis: l.balancer.ListAge(l.now()).Milliseconds()})
	})
	return messages
}

// insertIDs adds the remembered IDs of requests to the messages of a state, before the last one. A state without
// messages, which a loop that has ended returns, stays empty.
func insertIDs(state []upgrade.Message, seed uint64, remembered []uint64) []upgrade.Message {
	if len(state) == 0 {
		return nil
	}
	end := state[len(state)-1]
	state = state[:len(state)-1]
	for chunk := range slices.Chunk(upgrade.IDs(remembered), upgrade.MaxIDs) {
		state = append(state, upgrade.Message{Kind: upgrade.KindState, IDs: chunk})
	}
	end.IDSeed = seed
	return append(state, end)
}

// setReleased informs the balancer whether this node's slow-start budgets are used by its successor instead of this
// process. A process that is stopping never uses them again.
func (l *loop) setReleased(released bool) {
	l.handle(balance.HandedOver{ToSuccessor: released || l.isStopping})
}

// allRequests returns all requests in progress, with and without an established connection.
func (l *loop) allRequests() (requests []*exchange.Exchange) {
	l.call(func() {
		for _, request := range l.requests {
			requests = append(requests, request)
		}
	})
	return requests
}

// restoreEndpoints replaces the initial endpoint list by that of the predecessor. The state may be nil.
func (l *loop) restoreEndpoints(state *inheritedState) {
	if state == nil || len(state.endpoints.Servers) == 0 {
		return
	}
	if state.end.DiscoveryAddr == l.discoveryAddr { // versions of another service are not comparable
		l.listVersion = state.endpoints.Version
	}
	clear(l.servers)
	clear(l.drainingServers)
	l.updateServers(&state.endpoints)
	l.initialEndpoints = state.endpoints.EndpointUpdate(balance.ListCached)
}

// adopt registers an established connection that the predecessor has handed over.
func (l *loop) adopt(request *exchange.Exchange) {
	l.post(func() {
		l.register(request)
		l.control.HoldConnection(request.ID, customerHash(request.Head), false)
		l.handle(balance.ExistingConnection{Request: l.balancerRequest(request), Server: request.Server(),
			Inherited: true})
		if l.drainingServers[request.Server()] {
			l.onServerDraining(request.Server())
		}
	})
}
