package node

import (
	"sync"

	"go.uber.org/zap"

	"brassmux/internal/upgrade"
)

// orders holds the orders of operators that are in force, and makes this process follow them. During an upgrade both
// processes of the node follow the same orders. It is safe for concurrent use.
type orders struct {
	mu      sync.Mutex
	inForce upgrade.Orders
	changed chan struct{} // closed at the next change and then replaced

	lifecycle *lifecycle
	reload    func(upgrade.ReloadOrder) // makes this process use the addresses of the order
	log       *zap.Logger
}

func newOrders(lifecycle *lifecycle, reload func(upgrade.ReloadOrder), log *zap.Logger) *orders {
	return &orders{changed: make(chan struct{}), lifecycle: lifecycle, reload: reload, log: log}
}

// current returns the orders in force, and a channel that is closed when they have changed.
func (o *orders) current() (upgrade.Orders, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inForce, o.changed
}

// setOutOfService carries out an order to take the node out of service or to put it back. It returns false if this
// process is stopping.
func (o *orders) setOutOfService(out bool) (ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lifecycle.setOutOfService(out) {
		return false
	}
	next := o.inForce
	next.Service = upgrade.ServiceOrder{Revision: next.Service.Revision + 1, OutOfService: out}
	o.replace(next)
	return true
}

// setAddrs carries out an order to use the addresses of another configuration. Its revision is ignored.
func (o *orders) setAddrs(order upgrade.ReloadOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.inForce
	if next.Reload.HasSameAddrs(order) {
		return
	}
	order.Revision = next.Reload.Revision + 1
	next.Reload = order
	o.replace(next)
}

// inherit follows the orders in force at the predecessor, unless this process has received later ones.
func (o *orders) inherit(predecessor upgrade.Orders) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replace(o.inForce.Rebase(predecessor))
}

// merge follows orders that the other process of the node reports, unless those in force are later.
func (o *orders) merge(other upgrade.Orders) {
	o.mu.Lock()
	defer o.mu.Unlock()
	merged := o.inForce.Merge(other)
	if merged.Equal(o.inForce) {
		return
	}
	o.log.Info("orders received from the other process of the node",
		zap.Bool("out_of_service", merged.Service.OutOfService), zap.Int64("revision", merged.Service.Revision),
		zap.String("discovery", merged.Reload.Discovery), zap.Int64("reload_revision", merged.Reload.Revision))
	o.replace(merged)
}

// replace puts orders in force. The caller must hold o.mu.
func (o *orders) replace(next upgrade.Orders) {
	if next.Equal(o.inForce) {
		return
	}
	isReload := !next.Reload.Equal(o.inForce.Reload)
	o.inForce = next
	o.lifecycle.followOrder(next.Service.OutOfService)
	if isReload {
		o.reload(next.Reload)
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// inheritOrders follows the orders in force at the predecessor. It must be called before the loop runs.
func (n *Node) inheritOrders(predecessor upgrade.Orders) {
	if predecessor.Reload.Revision == 0 {
		n.orders.inherit(predecessor)
		return
	}
	predecessor.Reload = n.rereadAddrs(predecessor.Reload)
	n.orders.inherit(predecessor)
	inForce, _ := n.orders.current()
	if addr := inForce.Reload.Discovery; addr != n.loop.discoveryAddr {
		n.log.Info("discovery address changed", zap.String("discovery", addr))
		n.loop.discoveryAddr = addr
	}
}

// rereadAddrs returns the reload that a process begins with whose predecessor has reloaded its configuration. Since
// that reload the file has precedence over the environment, and it may have changed again.
func (n *Node) rereadAddrs(predecessor upgrade.ReloadOrder) upgrade.ReloadOrder {
	if n.cfg.reread == nil {
		return predecessor
	}
	cfg, err := n.cfg.reread()
	if err == nil {
		err = cfg.validate()
	}
	if err != nil {
		n.log.Error("the new configuration is rejected", zap.Error(err))
		return predecessor
	}
	order := cfg.reloadOrder()
	if order.HasSameAddrs(predecessor) {
		return predecessor
	}
	order.Revision = predecessor.Revision + 1
	return order
}
