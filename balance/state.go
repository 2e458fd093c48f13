package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Avoided counts the servers in the list that get no new connection now: they drain, or are set aside.
func (b *Balancer) Avoided(now time.Duration) (n int) {
	for _, s := range b.servers {
		if s.State == Draining || s.State == Ready && now < s.aside {
			n++
		}
	}
	return n
}

// Memory is what one process of a node tells the next: what it has learned and what it has spent. Connections
// that stand are not in it; the next process is told of each as Opened.
type Memory struct {
	Now     time.Duration `json:"now"` // of the process that tells it: the next one's clock may differ. 0 from one that does not say
	Rate    float64       `json:"rate"`
	Rated   time.Duration `json:"rated"`
	Servers []Learned     `json:"servers"`
	Clients []Remembered  `json:"clients"`
}

// Learned is what is known of a server beyond the list.
type Learned struct {
	ID      ServerID      `json:"id"`
	UpSince time.Duration `json:"up_since"`
	Aside   time.Duration `json:"aside"`
	Signs   int           `json:"signs"`
	Load    float64       `json:"load"`
	Loaded  time.Duration `json:"loaded"`
	Since   int           `json:"since"` // connections that came after that report

	Started time.Duration `json:"started"` // the latest moment at which it may have started
	Told    time.Duration `json:"told"`    // when that start was first heard of; 0 for not
}

// Remembered is a client's entry in the table.
type Remembered struct {
	Key     string        `json:"key"`
	Server  ServerID      `json:"server"`
	UpSince time.Duration `json:"up_since"`
	Until   time.Duration `json:"until"`
}

// Memory gives what the next process of this node needs to go on.
func (b *Balancer) Memory(now time.Duration) (state Memory) {
	b.learnRate(0)
	state.Now, state.Rate, state.Rated = now, b.rate, b.rated
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		l := Learned{ID: id, UpSince: s.UpSince, Aside: s.aside, Signs: s.signs, Load: s.reportedLoad, Loaded: s.loaded, Since: s.since}
		if s.UpSince > 0 {
			l.Started, l.Told = s.start.at, s.start.told
		}
		state.Servers = append(state.Servers, l)
	}
	for _, key := range slices.Sorted(maps.Keys(b.table.entries)) {
		e := b.table.entries[key]
		until := e.until
		if e.held > 0 {
			until = now + afterEnd
		}
		state.Clients = append(state.Clients, Remembered{key, e.server.ID, e.upSince, until})
	}
	return state
}

// Restore takes over from the process before this one, after the list. What does not fit the list, or comes from
// a clock that is ahead, is left out: it may only make this process more careful than an empty one, or remember more.
func (b *Balancer) Restore(now time.Duration, state Memory) {
	b.now = max(b.now, now)
	state.shift(now)
	if state.Rate >= 0 && state.Rated <= now {
		b.rate, b.rated = state.Rate, state.Rated
	}
	for _, l := range state.Servers {
		s := b.servers[l.ID]
		if s == nil || s.UpSince != l.UpSince {
			continue
		}
		if s.UpSince > 0 && l.Told <= now {
			b.starts.learned(s.start, l.Started, l.Told)
		}
		s.aside, s.signs = min(l.Aside, now+lately<<signsMost), min(max(l.Signs, 0), signsMost)
		if l.Loaded <= now && l.Load >= 0 {
			s.reportedLoad, s.loaded, s.unseen = l.Load, max(l.Loaded, 0), max(l.Since, 0)
		}
	}
	slices.SortFunc(state.Clients, func(x, y Remembered) int { // the table forgets in this order
		return cmp.Or(cmp.Compare(x.Until, y.Until), cmp.Compare(x.Key, y.Key))
	})
	for _, c := range state.Clients {
		s := b.servers[c.Server]
		if s == nil || c.Key == "" || c.Until <= now || len(b.table.entries) >= b.table.bound {
			continue
		}
		e := &entry{key: c.Key, server: s, upSince: c.UpSince, until: min(c.Until, now+afterEnd)}
		b.table.entries[c.Key] = e
		b.table.ended = append(b.table.ended, *e)
	}
}

// shift makes times of another process's clock times of this one's, by which it is now.
func (m *Memory) shift(now time.Duration) {
	if m.Now == 0 {
		return
	}
	by := now - m.Now
	move := func(at *time.Duration) {
		if *at > 0 { // 0 is no time
			*at = max(*at+by, 1)
		}
	}
	move(&m.Rated)
	for i := range m.Servers {
		l := &m.Servers[i]
		for _, at := range []*time.Duration{&l.Aside, &l.Loaded, &l.Started, &l.Told} {
			move(at)
		}
	}
	for i := range m.Clients {
		move(&m.Clients[i].Until)
	}
	m.Now = now
}

// Relieved tells whether another process of this node goes on with the cold budgets: from then on this one sends
// cold servers nothing, so that no budget is spent twice. That process may fail, and not be there any more.
type Relieved struct{ By bool }

func (Relieved) event() {}

// handed takes in what the processes of a node tell one another, and connections that stood before. These are load
// like any other.
func (b *Balancer) handed(ev Event) {
	switch ev := ev.(type) {
	case Opened:
		r, s := b.admit(ev.Request), b.server(ev.Server)
		r.standing, r.answered = true, true
		b.start(r, s)
		if ev.Adopted && s.unseen > 0 {
			s.unseen-- // it came after its server's report
		} else if ev.Adopted {
			s.since--
		}
	case Relieved:
		b.relieved = ev.By
		b.starts.rest(b.now + b.set.FallWindow) // the other may have sent some before it failed
	}
}
