package scale

import (
	"strconv"
	"time"

	"brassmux/lab/emulator"
)

// recordApplied records that a node applied the list versions above from and up to to. The caller holds f.mu.
func (f *fleet) recordApplied(node int, from, to int64, appliedAt time.Time) {
	for version := from + 1; version <= to; version++ {
		changedAt, ok := f.changedAt[version]
		if !ok {
			continue
		}
		if returnedAt := f.returnedAt[node]; returnedAt.After(changedAt) {
			changedAt = returnedAt
		}
		if f.applied[version] == nil {
			f.applied[version] = map[int]time.Duration{}
		}
		if _, ok := f.applied[version][node]; !ok {
			f.applied[version][node] = max(appliedAt.Sub(changedAt), 0)
		}
	}
}

// updateList changes an endpoint at the list service.
func (f *fleet) updateList(endpoint emulator.Endpoint) {
	f.mu.Lock()
	f.listVersion++
	f.changedAt[f.listVersion] = time.Now()
	f.mu.Unlock()
	f.list.commands.Encode(command{Action: actionUpdateList, Endpoint: &endpoint})
}

// addServer starts a server and adds it to the endpoint list. A zero startedAt means that it is already warm.
func (f *fleet) addServer(startedAt time.Time) error {
	f.mu.Lock()
	f.lastServerNumber++
	id := "s-" + strconv.Itoa(f.lastServerNumber)
	f.mu.Unlock()
	config := emulator.ServerConfig{
		Capacity: 8 * f.size / serverCount, SlowStartMinCapacity: 0.2, SlowStartWindow: 6 * time.Second,
	}
	server := emulator.NewServer(id, config, startedAt, f.clientStats.observe)
	var unshaped emulator.Direction
	if err := server.Open(func(int) (in, out *emulator.Direction) { return &unshaped, &unshaped }); err != nil {
		return err
	}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	endpoint := emulator.Endpoint{ID: id, Addr: server.Addr(), State: "up", Weight: 1}
	if !startedAt.IsZero() {
		endpoint.Started = startedAt.UnixMilli()
	}
	f.updateList(endpoint)
	return nil
}

// changeInterval is the time between two changes of the list on an ordinary day, which has 18,000.
const changeInterval = 4800 * time.Millisecond

// changeList changes the list until the run is over, in turn: it adds a server, drains the oldest, and removes that.
func (f *fleet) changeList() {
	var draining *emulator.Server
	next := time.Now()
	for i := 0; ; i++ {
		if !f.sleep(time.Until(next)) {
			return
		}
		next = next.Add(changeInterval)
		f.mu.Lock()
		oldest := f.servers[0]
		f.mu.Unlock()
		switch i % 3 {
		case 0:
			if err := f.addServer(time.Now()); err != nil {
				f.failf("starting a server: %v", err)
			}
		case 1:
			draining = oldest
			f.mu.Lock()
			f.servers = f.servers[1:]
			f.mu.Unlock()
			f.updateList(emulator.Endpoint{ID: draining.ID, Addr: draining.Addr(), State: "draining", Weight: 1})
			time.AfterFunc(time.Second, draining.Drain)
		case 2:
			f.updateList(emulator.Endpoint{ID: draining.ID, Addr: draining.Addr(), State: "removed", Weight: 1})
			draining.Stop()
		}
	}
}

// awaitApplied waits until all nodes have applied a list version, and reports whether they did so within the timeout.
func (f *fleet) awaitApplied(version int64, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		applied := len(f.applied[version])
		f.mu.Unlock()
		if applied >= f.size+f.options.ControlNodes-len(f.killed) {
			return true
		}
	}
	return false
}
