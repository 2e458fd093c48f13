package balance

import (
	"cmp"
	"slices"
	"time"
)

// affinityTTL is the time for which the server of a client is remembered after the client's last connection.
const affinityTTL = 30 * time.Second

// minIdleCompaction is the least length of affinityTable.idle at which outdated elements are removed.
const minIdleCompaction = 64

// affinityTable maps each client to its server while the client has a connection and for affinityTTL after
// that. When it has maxEntries entries, those that have been idle longest are evicted.
type affinityTable struct {
	maxEntries int
	entries    map[string]*affinityEntry
	idle       []affinityEntry // copies in order of expiry; one that differs from its entry is outdated
	compactAt  int             // length of idle at which outdated elements are removed
}

// affinityEntry records the server of one client.
type affinityEntry struct {
	key             string
	server          *server
	connections     int           // established or attempted by the client
	serverStartedAt time.Duration // start time of the server
	expiresAt       time.Duration // valid while connections is 0
}

func newAffinityTable(maxEntries int) affinityTable {
	return affinityTable{maxEntries: maxEntries, entries: map[string]*affinityEntry{}}
}

// lookup returns the server of a client if it is ready and has not restarted, else nil.
func (t *affinityTable) lookup(key string) *server {
	e := t.entries[key]
	if e != nil && e.server.State == Ready && e.server.StartedAt == e.serverStartedAt {
		return e.server
	}
	t.remove(e)
	return nil
}

// bind adds a connection of a client to a server and returns the client's entry; nil without a key.
func (t *affinityTable) bind(key string, s *server) *affinityEntry {
	if key == "" {
		return nil
	}
	e := cmp.Or(t.entries[key], &affinityEntry{key: key})
	t.entries[key] = e
	e.server, e.serverStartedAt, e.connections = s, s.StartedAt, e.connections+1
	return e
}

// release removes a connection from an entry, which may be nil.
func (t *affinityTable) release(e *affinityEntry, now time.Duration) {
	if e == nil {
		return
	}
	if e.connections--; e.connections == 0 {
		e.expiresAt = now + affinityTTL
		t.idle = append(t.idle, *e)
		t.compact()
	}
}

// compact removes the outdated elements of idle each time that their number may have doubled.
func (t *affinityTable) compact() {
	if len(t.idle) < t.compactAt {
		return
	}
	t.idle = slices.DeleteFunc(t.idle, t.isOutdated)
	t.compactAt = 2*len(t.idle) + minIdleCompaction
}

// isOutdated reports whether an element of idle differs from its entry.
func (t *affinityTable) isOutdated(idle affinityEntry) bool {
	e := t.entries[idle.key]
	return e == nil || *e != idle
}

// expire removes expired entries, and while the table is full the entries that expire next.
func (t *affinityTable) expire(now time.Duration) {
	for len(t.idle) > 0 && (t.idle[0].expiresAt <= now || len(t.entries) >= t.maxEntries) {
		if !t.isOutdated(t.idle[0]) {
			t.remove(t.entries[t.idle[0].key])
		}
		t.idle = t.idle[1:]
	}
}

// remove deletes an entry, which may be nil or already replaced.
func (t *affinityTable) remove(e *affinityEntry) {
	if e != nil && t.entries[e.key] == e {
		delete(t.entries, e.key)
	}
}

// retarget changes the server to which the client reconnects.
func (e *affinityEntry) retarget(to *server) { e.server, e.serverStartedAt = to, to.StartedAt }
