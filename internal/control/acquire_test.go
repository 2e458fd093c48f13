package control

import (
	"testing"
	"time"

	"brassmux/budget"
)

// nodePair simulates two nodes that share a clock and exchange messages.
type nodePair struct {
	nodes    [2]*Manager
	now      time.Duration
	inFlight chan func()  // each delivers a message
	results  map[bool]int // number of completed acquisitions, by whether a unit was acquired
}

// newNodePair returns two nodes that share a number of units of Opens, of which one is guaranteed to each node.
func newNodePair(units int) *nodePair {
	p := &nodePair{inFlight: make(chan func(), 1000), results: map[bool]int{}}
	for i := range p.nodes {
		cfg := flatConfig(Limit{Opens, units})
		cfg.GuaranteedFraction, cfg.Settings.NodeIndex = 0.0001, i
		p.nodes[i] = newManager(cfg, func() time.Duration { return p.now })
		p.nodes[i].SetSender(fakeSender{toPeer: func(to int, message budget.Message) {
			p.inFlight <- func() { p.nodes[to].HandlePeerMessage(i, message) }
		}})
	}
	return p
}

func (p *nodePair) exchangeMessages() {
	for _, m := range p.nodes {
		m.sendDueMessages()
	}
	for len(p.inFlight) > 0 {
		(<-p.inFlight)()
	}
}

// expireUsage advances the clock until no unit that was used before counts any more.
func (p *nodePair) expireUsage() {
	for range 100 {
		p.now += 100 * time.Millisecond
		p.exchangeMessages()
	}
}

func (p *nodePair) acquire(node, count int) {
	for range count {
		p.nodes[node].Acquire(Opens, 7, quotaWait, func(ok bool) { p.results[ok]++ })
	}
}

func (p *nodePair) completed() int { return p.results[true] + p.results[false] }

// Guards against a waiter whose done function is called twice or never, or that gets a unit over the limit. Of six
// acquisitions with a limit of three, three succeed and three fail once the other node has answered.
func TestWaitersCompleteOnce(t *testing.T) {
	p := newNodePair(3)
	p.expireUsage()
	p.acquire(0, 5)
	p.acquire(1, 1)
	if p.completed() == 6 {
		t.Fatal("no acquisition waits for the other node")
	}
	p.exchangeMessages()
	if p.results[true] != 3 || p.results[false] != 3 {
		t.Fatalf("results of six acquisitions are %v, want three that succeed and three that fail", p.results)
	}
	p.expireUsage()
	clear(p.results)
	checkWaitersTimeOut(t, p)
}

// checkWaitersTimeOut starts five acquisitions and drops the request for units. Each acquisition has to complete once,
// after quotaWait.
func checkWaitersTimeOut(t *testing.T, p *nodePair) {
	p.acquire(0, 5)
	p.nodes[0].sendDueMessages()
	for len(p.inFlight) > 0 {
		<-p.inFlight // the message is lost
	}
	if p.completed() == 5 {
		t.Fatal("no acquisition waits for the other node")
	}
	p.now += quotaWait
	p.nodes[0].Tick()
	if waitingQuotas := len(p.nodes[0].waiters); p.results[true] > 3 || p.completed() != 5 || waitingQuotas != 0 {
		t.Errorf("results of five acquisitions are %v, %d quotas have waiters after the deadline", p.results,
			waitingQuotas)
	}
	if rejected := p.nodes[0].counters.rejected[Opens].Load(); rejected == 0 {
		t.Error("failed acquisitions are not counted")
	}
}
