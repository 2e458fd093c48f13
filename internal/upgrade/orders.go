package upgrade

// Orders are the orders of operators that are in force at a node. During an upgrade both processes of the node follow
// them, whichever of the two received them.
type Orders struct {
	Service ServiceOrder `json:"service"`
}

// ServiceOrder is an order to take the node out of service, or to put it back.
type ServiceOrder struct {
	Revision     int64 `json:"revision"` // grows with each order; 0 before the first one
	OutOfService bool  `json:"out_of_service"`
}

// Merge returns the orders in force at a node whose two processes have received o and other.
func (o Orders) Merge(other Orders) Orders {
	if other.Service.supersedes(o.Service) {
		o.Service = other.Service
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
	return o
}

// supersedes reports whether o replaces other. Of two orders that the two processes received at the same time, the one
// to take the node out of service does.
func (o ServiceOrder) supersedes(other ServiceOrder) bool {
	if o.Revision == other.Revision {
		return o.OutOfService && !other.OutOfService
	}
	return o.Revision > other.Revision
}
