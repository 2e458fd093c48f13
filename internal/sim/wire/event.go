package wire

import (
	"time"

	"brassmux/balance"
	"brassmux/internal/settings"
	"brassmux/internal/sim/gossip"
)

// event converts a message to an event. The event is neither a start nor a stop and has a nil Event if package balance
// does not handle the message.
func (r *Reader) event(msg *inputMessage) (Event, error) {
	switch {
	case msg.Create != nil:
		r.reportFields[msg.Create.Node] = msg.Create.Site.Report.Fields
		return Event{Node: msg.Create.Node, Start: &Start{msg.Create.Seed, msg.Create.Site.BalanceConfig()}}, nil
	case msg.Shutdown != nil:
		return Event{Node: msg.Shutdown.Node, Stop: true}, nil
	case msg.EndpointUpdate != nil:
		return Event{Node: msg.EndpointUpdate.Node, Event: msg.EndpointUpdate.event()}, nil
	case msg.Request != nil:
		return Event{Node: msg.Request.Node, Event: msg.Request.request()}, nil
	case msg.ExistingConnection != nil:
		return Event{Node: msg.ExistingConnection.Node, Event: msg.ExistingConnection.existingConnection()}, nil
	case msg.ClientDisconnected != nil:
		return Event{Node: msg.ClientDisconnected.Node, Event: msg.ClientDisconnected.clientDisconnected()}, nil
	case msg.TimerFired != nil:
		return Event{Node: msg.TimerFired.Node, Event: balance.TimerFired{Token: msg.TimerFired.TimerToken}}, nil
	case msg.GossipReceived != nil:
		return Event{Node: msg.GossipReceived.Node, Event: msg.GossipReceived.gossipReceived()}, nil
	case msg.ConnectionReport != nil:
		return Event{Node: msg.ConnectionReport.Node, Event: msg.ConnectionReport.connectionReport()}, nil
	case msg.AttemptAccepted != nil:
		return Event{Node: msg.AttemptAccepted.Node, Event: msg.AttemptAccepted.attemptAccepted()}, nil
	case msg.AttemptEnded != nil:
		event, err := r.attemptEnded(msg.AttemptEnded)
		return Event{Node: msg.AttemptEnded.Node, Event: event}, err
	case msg.HealthCheckResult != nil:
		event, err := r.healthCheckResult(msg.HealthCheckResult)
		return Event{Node: msg.HealthCheckResult.Node, Event: event}, err
	}
	return Event{}, ErrUnknownMessage
}

func (u *endpointUpdate) event() balance.EndpointUpdate {
	event := balance.EndpointUpdate{Kind: updateKinds[u.Kind], Servers: make([]balance.Server, len(u.Servers))}
	for i, s := range u.Servers {
		event.Servers[i] = balance.Server{
			ID:        balance.ServerID(s.ID),
			State:     serverStates[s.State],
			Zone:      s.Zone,
			Cell:      s.Cell,
			Weight:    s.Weight,
			StartedAt: settings.Microseconds(s.StartedAtMicros),
		}
	}
	return event
}

func (f *eventFields) request() balance.Request {
	return balance.Request{
		ID:        balance.RequestID(f.Request),
		Class:     f.Class,
		ClientKey: f.ClientKey,
		Group:     f.Group,
		Timeout:   settings.Microseconds(f.TimeoutMicros),
		Reconnect: f.Flags&(flagRetry|flagReconnect) != 0,
	}
}

func (f *eventFields) existingConnection() balance.ExistingConnection {
	return balance.ExistingConnection{Request: f.request(), Server: balance.ServerID(f.Server)}
}

func (f *eventFields) clientDisconnected() balance.ClientDisconnected {
	return balance.ClientDisconnected{ID: balance.RequestID(f.Request)}
}

// gossipReceived returns nil for a text that is not a gossip message of this version, and for a message from the node
// itself.
func (f *eventFields) gossipReceived() balance.Event {
	msg, err := gossip.Decode(f.GossipText)
	if err != nil || f.Sender == f.Node {
		return nil
	}
	return balance.GossipReceived{FromNode: f.Sender, Message: msg}
}

// connectionReport returns nil for a report of an unknown kind.
func (f *eventFields) connectionReport() balance.Event {
	switch f.ReportKind {
	case reportLoad:
		return balance.ConnectionLoad{ID: balance.RequestID(f.Request), Load: f.ReportValue}
	case reportLatency:
		return balance.LateMessage{
			ID:      balance.RequestID(f.Request),
			Server:  balance.ServerID(f.Server),
			Latency: time.Duration(f.ReportValue * float64(time.Millisecond)),
		}
	}
	return nil
}

func (f *eventFields) attemptAccepted() balance.AttemptAccepted {
	return balance.AttemptAccepted{
		ID:      balance.RequestID(f.Request),
		Attempt: f.Attempt,
		Server:  balance.ServerID(f.Server),
		Elapsed: settings.Microseconds(f.ElapsedMicros),
	}
}

func (r *Reader) attemptEnded(f *eventFields) (balance.AttemptEnded, error) {
	outcome, err := f.outcome()
	return balance.AttemptEnded{
		ID:      balance.RequestID(f.Request),
		Attempt: f.Attempt,
		Server:  balance.ServerID(f.Server),
		Outcome: outcome,
		Elapsed: settings.Microseconds(f.ElapsedMicros),
		Final:   f.Final,
		Report:  r.loadReport(f),
	}, err
}

func (r *Reader) healthCheckResult(f *eventFields) (balance.HealthCheckResult, error) {
	outcome, err := f.outcome()
	return balance.HealthCheckResult{
		Server:  balance.ServerID(f.Server),
		Outcome: outcome,
		Elapsed: settings.Microseconds(f.ElapsedMicros),
		Report:  r.loadReport(f),
	}, err
}

func (f *eventFields) outcome() (balance.Outcome, error) {
	if f.Outcome < 0 || f.Outcome >= len(outcomes) {
		return 0, &OutcomeError{Code: f.Outcome}
	}
	return outcomes[f.Outcome], nil
}

// loadReport returns the load report of a message, or nil if it has none. Its values are in the order of the report
// fields in the node's settings.
func (r *Reader) loadReport(f *eventFields) *balance.LoadReport {
	if len(f.Report) == 0 {
		return nil
	}
	report := balance.LoadReport{Utilisation: -1} // unknown
	for i, name := range r.reportFields[f.Node] {
		if i >= len(f.Report) {
			break
		}
		if name == settings.LoadField {
			report.Utilisation = f.Report[i]
		}
	}
	return &report
}
