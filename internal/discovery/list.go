package discovery

import (
	"net"
	"strconv"
	"time"

	"brassmux/balance"
	"brassmux/internal/settings"
)

// EndpointList is the list of servers, or a set of changes to it, in the format of the discovery service.
type EndpointList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"` // false for a set of changes: servers without an entry are unchanged
	Servers []Endpoint `json:"servers"`
}

// Endpoint is one server of the list.
type Endpoint struct {
	ID              settings.ServerID `json:"id"`
	Addr            string            `json:"addr"` // host and port
	Zone            string            `json:"zone"`
	Cell            int               `json:"cell"`
	State           string            `json:"state"`      // one of the State constants
	Weight          float64           `json:"weight"`     // capacity relative to other servers; 0 counts as 1
	StartedAtMillis int64             `json:"started_ms"` // Unix time of the last start; 0 means long ago
}

// Values of Endpoint.State.
const (
	StateUp       = "up"
	StateDraining = "draining"
	StateRemoved  = "removed"
)

var states = map[string]balance.ServerState{
	StateUp:       balance.Ready,
	StateDraining: balance.Draining,
	StateRemoved:  balance.Removed,
}

// maxStartedMillis is a time in the year 2109. A later time must be in another unit, such as microseconds.
const maxStartedMillis = 1 << 42

// Validate returns an *EndpointError for the first endpoint with an invalid field.
func (l *EndpointList) Validate() error {
	for i := range l.Servers {
		if field, problem := l.Servers[i].invalidField(); field != "" {
			return &EndpointError{Index: i, Field: field, Problem: problem}
		}
	}
	return nil
}

// invalidField returns the first invalid field and the problem with it, or "" if the endpoint is valid.
func (e *Endpoint) invalidField() (field, problem string) {
	_, isKnown := states[e.State]
	switch {
	case e.ID == 0:
		return "id", "is missing"
	case !isKnown:
		return "state", strconv.Quote(e.State) + " is not known"
	case e.Weight < 0:
		return "weight", "is negative"
	case e.StartedAtMillis < 0 || e.StartedAtMillis > maxStartedMillis:
		return "started_ms", "is out of range"
	case e.State == StateRemoved:
		return "", "" // its address is not used
	}
	if _, port, err := net.SplitHostPort(e.Addr); err != nil || port == "" {
		return "addr", strconv.Quote(e.Addr) + " is no address with a port"
	}
	return "", ""
}

// EndpointUpdate converts the list to an event for package balance. Its times are durations since the Unix epoch.
func (l *EndpointList) EndpointUpdate(kind balance.UpdateKind) balance.EndpointUpdate {
	event := balance.EndpointUpdate{Kind: kind, Servers: make([]balance.Server, len(l.Servers))}
	for i, e := range l.Servers {
		event.Servers[i] = balance.Server{
			ID:        balance.ServerID(e.ID),
			State:     states[e.State],
			Zone:      e.Zone,
			Cell:      e.Cell,
			Weight:    e.Weight,
			StartedAt: time.Duration(e.StartedAtMillis) * time.Millisecond,
		}
	}
	return event
}
