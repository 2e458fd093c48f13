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

// The tests in this file compare the package with the output of an earlier build: the encoding of each message, and
// digests of the actions that long streams of events cause. The digested texts contain only values, so they do not
// depend on names.

// goldenMessages returns the messages of testdata/messages.txt, by the names used there.
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

// Messages have to be encoded as in testdata/messages.txt, and decoded from there, so that different builds can
// exchange them.
func TestMessagesMatchGolden(t *testing.T) {
	text, err := os.ReadFile("testdata/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	messages, checked := goldenMessages(), 0
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		name, encoded, _ := strings.Cut(line, ": ")
		want, err := hex.DecodeString(encoded)
		message, ok := messages[name]
		if err != nil || !ok {
			t.Fatalf("%q: %v", line, err)
		}
		checked++
		if got, err := cbor.Marshal(message); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as %x, %v", name, got, err)
		}
		if decoded, err := DecodeMessage(want); err != nil ||
			fmt.Sprintf("%#v", decoded) != fmt.Sprintf("%#v", message) {
			t.Errorf("%s: decoded as %#v, %v", name, decoded, err)
		}
	}
	if checked != len(messages) {
		t.Errorf("the file contains %d of %d messages", checked, len(messages))
	}
}

// recordedRun simulates processes with a random source: the members of a flat group, or first the parents and then
// their children. It adds all inputs and outputs to a digest.
type recordedRun struct {
	random          *rand.Rand
	now             time.Duration
	parentCount     int
	members         []*Member // for parents, their members of the group
	parents         []*Parent
	nextTicks       []time.Duration
	queue           []recordedMessage
	lastIncarnation uint64
	lines           int
	digest          interface{ Write([]byte) (int, error) }
}

// recordedMessage is a message in flight in a recordedRun.
type recordedMessage struct {
	deliverAt time.Duration
	from, to  int
	message   Message
}

func (r *recordedRun) log(parts ...any) {
	r.lines++
	fmt.Fprintln(r.digest, parts...)
}

func (r *recordedRun) clock(i int) time.Duration {
	return r.now + time.Duration(i)*7919*time.Millisecond
}

// startProcess starts a process. It defines rules with and without delegation, a concurrency limit, and two single
// budgets, one of them with a ramp.
func (r *recordedRun) startProcess(i int) {
	r.lastIncarnation += 2
	count := len(r.members)
	settings := Settings{Nodes: count, Index: i, GuaranteedFraction: 0.4, MaxWindow: 1500 * time.Millisecond,
		LeaseTerm: time.Second, HeartbeatInterval: 400 * time.Millisecond, MaxClockDrift: 0.0003}
	now := r.clock(i)
	rules := []Rule{{Limit: 40, Window: time.Second}, {Limit: 30, Window: 1500 * time.Millisecond, NoDelegation: true},
		{Limit: 25, Window: 300 * time.Millisecond, ConcurrencyLeaseTerm: 6 * time.Second}}
	var define func(time.Duration, Spec)
	var setRule func(uint8, Rule)
	switch children := count - r.parentCount; {
	case r.parentCount == 0:
		member := New(settings, r.lastIncarnation, now)
		r.members[i], setRule, define = member, member.SetRule, member.Define
	case i < r.parentCount:
		childSettings := settings
		childSettings.Nodes, childSettings.LeaseTerm = children, 250*time.Millisecond
		settings.Nodes = r.parentCount
		member := New(settings, r.lastIncarnation, now)
		parent := NewParent(childSettings, member, r.lastIncarnation-1, now)
		r.members[i], r.parents[i], setRule, define = member, parent, parent.SetRule, parent.Define
	default:
		settings.Nodes, settings.Index, settings.LeaseTerm, settings.Parents = children, i-r.parentCount,
			250*time.Millisecond, r.parentCount
		member := New(settings, r.lastIncarnation, now)
		r.members[i], setRule, define = member, member.SetRule, member.Define
	}
	for kind, rule := range rules {
		setRule(uint8(2+kind), rule)
	}
	define(now, Spec{ID: ID{Kind: 1, Subject: 5}, BaseLimit: 20, Window: time.Second})
	define(now, Spec{ID: ID{Kind: 1, Subject: 6, Since: 4}, BaseLimit: 1, RampLimit: 30, RampFrom: 0.2,
		RampStart: now + 5*time.Second, RampDuration: 20 * time.Second, Window: time.Second})
	r.nextTicks[i] = r.now
	r.log("start", i, r.lastIncarnation, r.now)
}

func (r *recordedRun) send(i, to int, toChild bool, message Message) {
	switch {
	case r.parentCount > 0 && i >= r.parentCount: // the index of the parent depends on the child
		to = (i + to) % r.parentCount
	case toChild:
		to += r.parentCount
	}
	r.log(" send", i, to, toChild, formatMessage(message))
	for range 1 + r.random.IntN(8)/7 {
		if delay := time.Duration(r.random.Int64N(int64(30 * time.Millisecond))); r.random.IntN(12) > 0 {
			if r.random.IntN(40) == 0 {
				delay += 2 * time.Second
			}
			r.queue = append(r.queue, recordedMessage{r.now + delay, i, to, message})
		}
	}
}

// apply carries out the actions of a process.
func (r *recordedRun) apply(i int, actions []Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case SendRequest:
			r.send(i, a.To, false, a.Request)
		case SendResponse:
			r.send(i, a.To, a.ToChild, a.Response)
		case ScheduleTick:
			r.nextTicks[i] = r.now + a.After
			r.log(" tick after", int64(a.After))
		case RequestAnswered:
			r.log(" answered", formatID(a.ID))
		case LeaseExpiring:
			r.log(" expiring", formatID(a.ID), a.Units)
			for range a.Units / 2 {
				r.members[i].Release(r.clock(i), a.ID)
			}
		}
	}
}

func (r *recordedRun) deliver(sent recordedMessage) {
	now, from := r.clock(sent.to), sent.from
	r.log("deliver", sent.from, sent.to, r.now)
	switch {
	case r.parentCount == 0:
	case sent.to >= r.parentCount: // convert to the child's index of the parent
		from = ((sent.from-sent.to)%r.parentCount + r.parentCount) % r.parentCount
	case sent.from >= r.parentCount:
		r.apply(sent.to, r.parents[sent.to].HandleChildMessage(now, sent.from-r.parentCount, sent.message))
		r.log(" next", int64(r.parents[sent.to].NextTick()))
		return
	default:
		r.apply(sent.to, r.parents[sent.to].HandlePeerMessage(now, from, sent.message))
		return
	}
	r.apply(sent.to, r.members[sent.to].HandleMessage(now, from, sent.message))
}

func (r *recordedRun) tick(i int) {
	r.log("tick", i, r.now)
	if i < r.parentCount {
		r.apply(i, r.parents[i].Tick(r.clock(i)))
	} else {
		r.apply(i, r.members[i].Tick(r.clock(i)))
	}
}

// use lets a member try to acquire some units.
func (r *recordedRun) use(i int) {
	id := ID{Kind: uint8(1 + r.random.IntN(4)), Subject: uint64(5 + r.random.IntN(3))}
	if id.Kind == 1 && id.Subject == 6 {
		id.Since = 4
	}
	member, now := r.members[i], r.clock(i)
	for range 1 + r.random.IntN(5) {
		available := member.Available(now, id)
		isAcquired := member.Acquire(now, id)
		r.log("use", i, formatID(id), available, isAcquired)
		if !isAcquired {
			isRequested := member.Request(now, id)
			r.log(" want", isRequested)
			if isRequested && r.random.IntN(3) > 0 {
				r.tick(i)
			}
			break
		}
	}
	if id.Kind == 4 && r.random.IntN(3) > 0 {
		member.Release(now, id)
	}
}

// disrupt injects a random disruption or configuration change.
func (r *recordedRun) disrupt() {
	i := r.random.IntN(len(r.members))
	now := r.clock(i)
	switch kind := r.random.IntN(8); {
	case kind < 3:
		r.startProcess(i)
	case kind == 3 && i < r.parentCount:
		r.apply(i, r.parents[i].Leave(now))
		r.startProcess(i)
	case kind == 3:
		r.apply(i, r.members[i].Leave(now))
		r.startProcess(i)
	case kind == 4 && i >= r.parentCount:
		r.members[i].Adopt(now, ID{Kind: 4, Subject: 5})
	case kind == 5 && i >= r.parentCount:
		r.members[i].Drop(ID{Kind: 1, Subject: 6, Since: 4})
	case kind == 6 && i >= r.parentCount:
		r.members[i].Define(now, Spec{ID: ID{Kind: 1, Subject: 5}, BaseLimit: 10 + r.random.IntN(20),
			Window: time.Second})
	case kind == 7 && r.parentCount > 0 && i >= r.parentCount:
		r.members[i].ReplaceParents(now, r.parentCount)
	}
}

// step delivers the messages that are due, calls Tick where it is due, and lets two members use units.
func (r *recordedRun) step() {
	due := r.queue
	r.queue = nil
	for _, sent := range due {
		if sent.deliverAt > r.now {
			r.queue = append(r.queue, sent)
		} else {
			r.deliver(sent)
		}
	}
	for i := range r.members {
		if r.now >= r.nextTicks[i] {
			r.tick(i)
		}
	}
	for range 2 {
		r.use(r.parentCount + r.random.IntN(len(r.members)-r.parentCount))
	}
	if r.random.IntN(800) == 0 {
		r.disrupt()
	}
}

// digestRun returns the digest of a run of a duration, and the number of digested lines.
func digestRun(seed uint64, parents, count int, duration time.Duration) (digest string, lines int) {
	hash := sha256.New()
	r := &recordedRun{random: rand.New(rand.NewPCG(seed, 52)), digest: hash, parentCount: parents,
		members: make([]*Member, count), parents: make([]*Parent, parents), nextTicks: make([]time.Duration, count)}
	for i := range count {
		r.startProcess(i)
	}
	for ; r.now < duration; r.now += 10 * time.Millisecond {
		r.step()
	}
	for i, member := range r.members {
		state, counters := member.State(r.clock(i)), member.Counters
		r.log("state", state.Leader, state.HasQuorum, state.Followers, state.Recovering, int64(member.MaxWindow()),
			counters.Reserved, counters.Leased, counters.Denied, counters.Granted, counters.Expired, counters.Sent,
			counters.Stale, counters.Unknown, counters.DuplicateIndexes, counters.LeaderChanges)
	}
	for i, parent := range r.parents {
		state, counters := parent.State(r.clock(i)), parent.Counters
		r.log("state above", state.Children, state.Deferred, state.Group.Leader, counters.Requests, counters.Deferred,
			counters.FromChildren, counters.FromGroup, counters.Unknown, counters.DeferralOverflows)
	}
	return hex.EncodeToString(hash.Sum(nil)), r.lines
}

func formatID(id ID) string { return fmt.Sprint(id.Kind, "/", id.Subject, "/", id.Since) }

func formatAmounts(amounts []Amount) (text string) {
	for _, a := range amounts {
		text += fmt.Sprint(formatID(a.ID), "*", a.Units, " ")
	}
	return text
}

func formatMessage(message Message) string {
	switch m := message.(type) {
	case LeaseRequest:
		text := fmt.Sprintln(false, m.Incarnation, m.Seq, int64(m.LeaderClock), m.Leader, m.Leaving)
		text += fmt.Sprint(formatAmounts(m.Delegated), "|", m.DelegatesUnlisted,
			formatAmounts(m.ConcurrencyHeld), "|", m.Acknowledged, formatAmounts(m.Wanted), "|", m.ReleasesTo)
		// Sort by number, because the order in a message is arbitrary.
		byNumber := func(x, y Release) int { return cmp.Compare(x.Grant, y.Grant) }
		for _, release := range slices.SortedFunc(slices.Values(m.Releases), byNumber) {
			text += fmt.Sprint(" ", release.Grant, ":", release.Used, ":", release.SinceUse)
		}
		return text
	case LeaseResponse:
		clock := int64(m.LeaderClock)
		if m.Leaving {
			clock = int64(m.GrantsExpireIn)
		}
		text := fmt.Sprintln(true, m.Incarnation, m.Seq, clock, m.Follower, m.Leaving)
		text += fmt.Sprint(m.RenewsConcurrencyLeases, m.HasQuorum, m.DuplicateIndex)
		for _, grant := range m.Grants {
			text += fmt.Sprint(" ", formatID(grant.ID), "*", grant.Units, ":", grant.Number)
		}
		return text
	}
	return ""
}

// The digests of the recorded event streams have to match testdata/streams.txt, so that a change of behavior is
// noticed. Each line there has a name, a digest and a number of lines.
func TestEventStreamsMatchGolden(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for seed := range uint64(6) {
		for _, c := range [][2]int{{0, 5}, {0, 1}, {2, 7}, {1, 4}} {
			digest, lines := digestRun(seed, c[0], c[1], 40*time.Second)
			fmt.Fprintf(&got, "seed %d, %d parents of %d processes: %s %d\n", seed, c[0], c[1], digest, lines)
		}
	}
	if got.String() != string(text) {
		t.Errorf("got\n%s", got.String())
	}
}
