package budget

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// This file holds the package to bytes that an earlier build made: to the encoding of each message, and to digests of
// what comes out of a long stream of events. The texts are made of values alone, so names do not matter.

// goldenMessages are those of testdata/messages.txt, by the names there.
func goldenMessages() map[string]Message {
	id := ID{Kind: 3, Subject: 1<<63 + 5, Since: -9}
	return map[string]Message{
		"request none": LeaseRequest{},
		"request all": LeaseRequest{Incarnation: 11, Seq: 1 << 40, LeaderClock: -5, Leader: 1<<64 - 1,
			Delegated: []Amount{{ID: id, Units: 4}, {Units: -1}}, DelegatesUnlisted: true,
			ConcurrencyHeld: []Amount{{ID: id, Units: 70000}}, Acknowledged: 77,
			Wanted:   []Amount{{ID: id, Units: 2}, {ID: ID{Kind: 1}, Units: 3}},
			Releases: []Release{{Grant: 8, Used: 2, SinceUse: 1 << 33}, {Grant: 1 << 50}}, ReleasesTo: 21,
			Leaving: true},
		"request heartbeat": LeaseRequest{Incarnation: 11, Seq: 5},
		"request release": LeaseRequest{Incarnation: 11, Seq: 6, LeaderClock: 1 << 50, Acknowledged: 4, ReleasesTo: 9,
			Releases: []Release{{Grant: 8, Used: 1, SinceUse: 3}}, Delegated: []Amount{}},
		"response none": LeaseResponse{},
		"response all": LeaseResponse{Incarnation: 12, Seq: 1 << 40, LeaderClock: 1 << 60, Follower: 11,
			RenewsConcurrencyLeases: true, Grants: []Grant{{ID: id, Units: 4, Number: 1 << 50},
				{ID: ID{Kind: 1, Subject: 2, Since: 3}, Units: 16}},
			HasQuorum: true, DuplicateIndex: true},
		"response leaving": LeaseResponse{Incarnation: 12, Follower: 11, GrantsExpireIn: 1 << 31, Leaving: true},
		"response duplicate": LeaseResponse{Incarnation: 12, Seq: 3, Follower: 1 << 60, LeaderClock: 17,
			DuplicateIndex: true, Grants: []Grant{}},
	}
}

// Encoder and decoder of messages are held to the bytes of testdata/messages.txt.
func TestGoldenMessages(t *testing.T) {
	text, err := os.ReadFile("testdata/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	messages, found := goldenMessages(), 0
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		name, form, _ := strings.Cut(line, ": ")
		want, err := hex.DecodeString(form)
		m, ok := messages[name]
		if err != nil || !ok {
			t.Fatalf("%q: %v", line, err)
		}
		found++
		if got, err := cbor.Marshal(m); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as %x, %v", name, got, err)
		}
		if decoded, err := DecodeMessage(want); err != nil || fmt.Sprintf("%#v", decoded) != fmt.Sprintf("%#v", m) {
			t.Errorf("%s: decoded as %#v, %v", name, decoded, err)
		}
	}
	if found != len(messages) {
		t.Errorf("%d of %d messages are in the file", found, len(messages))
	}
}

// recording plays processes by a seed: members of a flat group, or first parents and then their children. It digests
// what goes in and what comes out.
type recording struct {
	rng     *rand.Rand
	now     time.Duration
	parents int
	members []*Member // of parents those above
	uppers  []*Parent
	wakes   []time.Duration
	queue   []recordedMail
	start   uint64
	lines   int
	digest  interface{ Write([]byte) (int, error) }
}

type recordedMail struct {
	at       time.Duration
	from, to int
	message  Message
}

func (r *recording) log(parts ...any) {
	r.lines++
	fmt.Fprintln(r.digest, parts...)
}

func (r *recording) clock(i int) time.Duration { return r.now + time.Duration(i)*7919*time.Millisecond }

// begin starts a process, and defines a rate by each kind of rule, a concurrency limit and two that grow.
func (r *recording) begin(i int) {
	r.start += 2
	n := len(r.members)
	set := Settings{Nodes: n, Index: i, GuaranteedFraction: 0.4, MaxWindow: 1500 * time.Millisecond,
		LeaseTerm: time.Second, HeartbeatInterval: 400 * time.Millisecond, MaxClockDrift: 0.0003}
	now := r.clock(i)
	rules := []Rule{{Limit: 40, Window: time.Second}, {Limit: 30, Window: 1500 * time.Millisecond, NoDelegation: true},
		{Limit: 25, Window: 300 * time.Millisecond, ConcurrencyLeaseTerm: 6 * time.Second}}
	var define func(time.Duration, Spec)
	var rule func(uint8, Rule)
	switch children := n - r.parents; {
	case r.parents == 0:
		b := New(set, r.start, now)
		r.members[i], rule, define = b, b.SetRule, b.Define
	case i < r.parents:
		below := set
		below.Nodes, below.LeaseTerm = children, 250*time.Millisecond
		set.Nodes = r.parents
		b := New(set, r.start, now)
		p := NewParent(below, b, r.start-1, now)
		r.members[i], r.uppers[i], rule, define = b, p, p.SetRule, p.Define
	default:
		set.Nodes, set.Index, set.LeaseTerm, set.Parents = children, i-r.parents, 250*time.Millisecond, r.parents
		b := New(set, r.start, now)
		r.members[i], rule, define = b, b.SetRule, b.Define
	}
	for kind, x := range rules {
		rule(uint8(2+kind), x)
	}
	define(now, Spec{ID: ID{Kind: 1, Subject: 5}, BaseLimit: 20, Window: time.Second})
	define(now, Spec{ID: ID{Kind: 1, Subject: 6, Since: 4}, BaseLimit: 1, RampLimit: 30, RampFrom: 0.2,
		RampStart: now + 5*time.Second, RampDuration: 20 * time.Second, Window: time.Second})
	r.wakes[i] = r.now
	r.log("start", i, r.start, r.now)
}

func (r *recording) send(i, to int, below bool, m Message) {
	switch {
	case r.parents > 0 && i >= r.parents: // a child prefers one parent after another
		to = (i + to) % r.parents
	case below:
		to += r.parents
	}
	r.log(" send", i, to, below, recordedMessage(m))
	for range 1 + r.rng.IntN(8)/7 {
		if delay := time.Duration(r.rng.Int64N(int64(30 * time.Millisecond))); r.rng.IntN(12) > 0 {
			if r.rng.IntN(40) == 0 {
				delay += 2 * time.Second
			}
			r.queue = append(r.queue, recordedMail{r.now + delay, i, to, m})
		}
	}
}

// do takes in what a process is to do.
func (r *recording) do(i int, out []Action) {
	for _, a := range slices.Clone(out) {
		switch a := a.(type) {
		case SendRequest:
			r.send(i, a.To, false, a.Request)
		case SendResponse:
			r.send(i, a.To, a.ToChild, a.Response)
		case ScheduleTick:
			r.wakes[i] = r.now + a.After
			r.log(" tick after", int64(a.After))
		case RequestAnswered:
			r.log(" answered", recordedID(a.ID))
		case LeaseExpiring:
			r.log(" expiring", recordedID(a.ID), a.Units)
			for range a.Units / 2 {
				r.members[i].Release(r.clock(i), a.ID)
			}
		}
	}
}

func (r *recording) deliver(m recordedMail) {
	now, from := r.clock(m.to), m.from
	r.log("deliver", m.from, m.to, r.now)
	switch {
	case r.parents == 0:
	case m.to >= r.parents: // by the child's own numbers of its parents
		from = ((m.from-m.to)%r.parents + r.parents) % r.parents
	case m.from >= r.parents:
		r.do(m.to, r.uppers[m.to].HandleChildMessage(now, m.from-r.parents, m.message))
		r.log(" next", int64(r.uppers[m.to].NextTick()))
		return
	default:
		r.do(m.to, r.uppers[m.to].HandlePeerMessage(now, from, m.message))
		return
	}
	r.do(m.to, r.members[m.to].HandleMessage(now, from, m.message))
}

func (r *recording) tick(i int) {
	r.log("tick", i, r.now)
	if i < r.parents {
		r.do(i, r.uppers[i].Tick(r.clock(i)))
	} else {
		r.do(i, r.members[i].Tick(r.clock(i)))
	}
}

// use has a member try to have some units.
func (r *recording) use(i int) {
	id := ID{Kind: uint8(1 + r.rng.IntN(4)), Subject: uint64(5 + r.rng.IntN(3))}
	if id.Kind == 1 && id.Subject == 6 {
		id.Since = 4
	}
	b, now := r.members[i], r.clock(i)
	for range 1 + r.rng.IntN(5) {
		left := b.Available(now, id)
		spent := b.Acquire(now, id)
		r.log("use", i, recordedID(id), left, spent)
		if !spent {
			wants := b.Request(now, id)
			r.log(" want", wants)
			if wants && r.rng.IntN(3) > 0 {
				r.tick(i)
			}
			break
		}
	}
	if id.Kind == 4 && r.rng.IntN(3) > 0 {
		b.Release(now, id)
	}
}

// disturb has something out of the ordinary happen.
func (r *recording) disturb() {
	i := r.rng.IntN(len(r.members))
	now := r.clock(i)
	switch kind := r.rng.IntN(8); {
	case kind < 3:
		r.begin(i)
	case kind == 3 && i < r.parents:
		r.do(i, r.uppers[i].Leave(now))
		r.begin(i)
	case kind == 3:
		r.do(i, r.members[i].Leave(now))
		r.begin(i)
	case kind == 4 && i >= r.parents:
		r.members[i].Adopt(now, ID{Kind: 4, Subject: 5})
	case kind == 5 && i >= r.parents:
		r.members[i].Drop(ID{Kind: 1, Subject: 6, Since: 4})
	case kind == 6 && i >= r.parents:
		r.members[i].Define(now, Spec{ID: ID{Kind: 1, Subject: 5}, BaseLimit: 10 + r.rng.IntN(20), Window: time.Second})
	case kind == 7 && r.parents > 0 && i >= r.parents:
		r.members[i].ReplaceParents(now, r.parents)
	}
}

// step delivers what is due, calls the timers that are due and has two members use some units.
func (r *recording) step() {
	due := r.queue
	r.queue = nil
	for _, m := range due {
		if m.at > r.now {
			r.queue = append(r.queue, m)
		} else {
			r.deliver(m)
		}
	}
	for i := range r.members {
		if r.now >= r.wakes[i] {
			r.tick(i)
		}
	}
	for range 2 {
		r.use(r.parents + r.rng.IntN(len(r.members)-r.parents))
	}
	if r.rng.IntN(800) == 0 {
		r.disturb()
	}
}

// playRecording goes on for a while, and gives the digest.
func playRecording(seed uint64, parents, n int, length time.Duration) (digest string, lines int) {
	sum := sha256.New()
	r := &recording{rng: rand.New(rand.NewPCG(seed, 52)), digest: sum, parents: parents, members: make([]*Member, n),
		uppers: make([]*Parent, parents), wakes: make([]time.Duration, n)}
	for i := range n {
		r.begin(i)
	}
	for ; r.now < length; r.now += 10 * time.Millisecond {
		r.step()
	}
	for i, b := range r.members {
		s, c := b.State(r.clock(i)), b.Counters
		r.log("state", s.Leader, s.HasQuorum, s.Followers, s.Recovering, int64(b.MaxWindow()),
			c.Reserved, c.Leased, c.Denied, c.Granted, c.Expired, c.Sent, c.Stale, c.Unknown, c.DuplicateIndexes,
			c.LeaderChanges)
	}
	for i, p := range r.uppers {
		s, c := p.State(r.clock(i)), p.Counters
		r.log("state above", s.Children, s.Deferred, s.Group.Leader, c.Requests, c.Deferred, c.FromChildren,
			c.FromGroup, c.Unknown, c.DeferralOverflows)
	}
	return hex.EncodeToString(sum.Sum(nil)), r.lines
}

func recordedID(id ID) string { return fmt.Sprint(id.Kind, "/", id.Subject, "/", id.Since) }

func recordedAmounts(list []Amount) (text string) {
	for _, a := range list {
		text += fmt.Sprint(recordedID(a.ID), "*", a.Units, " ")
	}
	return text
}

func recordedMessage(message Message) string {
	switch m := message.(type) {
	case LeaseRequest:
		text := fmt.Sprintln(false, m.Incarnation, m.Seq, int64(m.LeaderClock), m.Leader, m.Leaving)
		text += fmt.Sprint(recordedAmounts(m.Delegated), "|", m.DelegatesUnlisted,
			recordedAmounts(m.ConcurrencyHeld), "|", m.Acknowledged, recordedAmounts(m.Wanted), "|", m.ReleasesTo)
		// In the order of their numbers: in a message they have that of a map.
		inOrder := func(x, y Release) int { return cmp.Compare(x.Grant, y.Grant) }
		for _, d := range slices.SortedFunc(slices.Values(m.Releases), inOrder) {
			text += fmt.Sprint(" ", d.Grant, ":", d.Used, ":", d.SinceUse)
		}
		return text
	case LeaseResponse:
		stamp := int64(m.LeaderClock)
		if m.Leaving {
			stamp = int64(m.GrantsExpireIn)
		}
		text := fmt.Sprintln(true, m.Incarnation, m.Seq, stamp, m.Follower, m.Leaving)
		text += fmt.Sprint(m.RenewsConcurrencyLeases, m.HasQuorum, m.DuplicateIndex)
		for _, g := range m.Grants {
			text += fmt.Sprint(" ", recordedID(g.ID), "*", g.Units, ":", g.Number)
		}
		return text
	}
	return ""
}

// What comes out of recorded streams of events is as in testdata/streams.txt: a name, a digest and a number of lines.
func TestRecordedStreams(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for seed := range uint64(6) {
		for _, c := range [][2]int{{0, 5}, {0, 1}, {2, 7}, {1, 4}} {
			digest, lines := playRecording(seed, c[0], c[1], 40*time.Second)
			fmt.Fprintf(&got, "seed %d, %d parents of %d processes: %s %d\n", seed, c[0], c[1], digest, lines)
		}
	}
	if got.String() != string(text) {
		t.Errorf("got\n%s", got.String())
	}
}
