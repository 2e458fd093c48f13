package upgrade

import "slices"

// Orders are the orders of operators that are in force at a node. During an upgrade both processes of the node follow
// them, whichever of the two received them.
type Orders struct {
	Service ServiceOrder `json:"service"`
	Reload  ReloadOrder  `json:"reload"`
}

// ServiceOrder is an order to take the node out of service, or to put it back.
type ServiceOrder struct {
	Revision     int64 `json:"revision"` // grows with each order; 0 before the first one
	OutOfService bool  `json:"out_of_service"`
}

// ReloadOrder is an order to use the addresses of another configuration.
type ReloadOrder struct {
	Revision     int64    `json:"revision"`  // grows with each order; 0 before the first one
	Discovery    string   `json:"discovery"` // the address of the discovery service
	ControlAddrs []string `json:"control"`   // the addresses of the control machines
}

// Merge returns the orders in force at a node whose two processes have received o and other.
func (o Orders) Merge(other Orders) Orders {
	if other.Service.supersedes(o.Service) {
		o.Service = other.Service
	}
	if other.Reload.supersedes(o.Reload) {
		o.Reload = other.Reload
	}
	return o
}

// Rebase returns the orders in force at a process that received o before it learned of those of its predecessor. Its
// own orders are the later ones.
func (o Orders) Rebase(predecessor Orders) Orders {
	if o.Service.Revision == 0 {
		o.Service = predecessor.Service
	} else {
		o.Service.Revision += predecessor.Service.Revision
	}
	if o.Reload.Revision == 0 {
		o.Reload = predecessor.Reload
	} else {
		o.Reload.Revision += predecessor.Reload.Revision
	}
	return o
}

// Equal reports whether both are the same orders.
func (o Orders) Equal(other Orders) bool {
	return o.Service == other.Service && o.Reload.Equal(other.Reload)
}

// supersedes reports whether o replaces other. Of two orders that the two processes received at the same time, the one
// to take the node out of service does.
func (o ServiceOrder) supersedes(other ServiceOrder) bool {
	if o.Revision == other.Revision {
		return o.OutOfService && !other.OutOfService
	}
	return o.Revision > other.Revision
}

// Equal reports whether both are the same order.
func (o ReloadOrder) Equal(other ReloadOrder) bool {
	return o.Revision == other.Revision && o.HasSameAddrs(other)
}

// HasSameAddrs reports whether both name the same addresses.
func (o ReloadOrder) HasSameAddrs(other ReloadOrder) bool {
	return o.Discovery == other.Discovery && slices.Equal(o.ControlAddrs, other.ControlAddrs)
}

// supersedes reports whether o replaces other. Of two orders that the two processes received at the same time, the same
// one does at both.
func (o ReloadOrder) supersedes(other ReloadOrder) bool {
	switch {
	case o.Revision != other.Revision:
		return o.Revision > other.Revision
	case o.Discovery != other.Discovery:
		return o.Discovery > other.Discovery
	}
	return slices.Compare(o.ControlAddrs, other.ControlAddrs) > 0
}
