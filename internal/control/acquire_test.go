package control

import (
	"testing"
	"time"

	"brassmux/budget"
)

// pair is two nodes on one clock, with a network between them.
type pair struct {
	nodes   [2]*Manager
	now     time.Duration
	sent    chan func()
	answers map[bool]int // of acquisitions, by whether there was a unit
}

// newPair makes two that share so many units of new connections, of which one is each node's own.
func newPair(units int) *pair {
	p := &pair{sent: make(chan func(), 1000), answers: map[bool]int{}}
	for i := range p.nodes {
		c := flatConfig(Limit{Opens, units})
		c.GuaranteedFraction, c.Settings.NodeIndex = 0.0001, i
		p.nodes[i] = newManager(c, func() time.Duration { return p.now })
		p.nodes[i].SetSender(fakeSender{toPeer: func(to int, message budget.Message) {
			p.sent <- func() { p.nodes[to].HandlePeerMessage(i, message) }
		}})
	}
	return p
}

func (p *pair) exchange() {
	for _, m := range p.nodes {
		m.exchange()
	}
	for len(p.sent) > 0 {
		(<-p.sent)()
	}
}

// rest lasts until nothing that was used before counts any more.
func (p *pair) rest() {
	for range 100 {
		p.now += 100 * time.Millisecond
		p.exchange()
	}
}

func (p *pair) want(node, n int) {
	for range n {
		p.nodes[node].Acquire(Opens, 7, quotaWait, func(ok bool) { p.answers[ok]++ })
	}
}

func (p *pair) answered() int { return p.answers[true] + p.answers[false] }

// Who waits for the other nodes' answer is answered once: with what came, or without when it is settled.
func TestAWaiterIsAnsweredOnce(t *testing.T) {
	p := newPair(3)
	p.rest()
	p.want(0, 5)
	p.want(1, 1)
	if p.answered() == 6 {
		t.Fatal("nobody waits")
	}
	p.exchange()
	if p.answers[true] != 3 || p.answers[false] != 3 {
		t.Fatalf("of six so many had one: %v, three is the limit", p.answers)
	}
	p.rest()
	clear(p.answers)
	waitInVain(t, p)
}

// waitInVain has five wait for an answer that is lost: each is answered once, after its time.
func waitInVain(t *testing.T, p *pair) {
	p.want(0, 5)
	p.nodes[0].exchange()
	for len(p.sent) > 0 {
		<-p.sent // lost
	}
	if p.answered() == 5 {
		t.Fatal("nobody waits")
	}
	p.now += quotaWait
	p.nodes[0].Tick()
	if n := len(p.nodes[0].waiters); p.answers[true] > 3 || p.answered() != 5 || n != 0 {
		t.Errorf("so many had one: %v, %d still wait after their time", p.answers, n)
	}
	if got := p.nodes[0].counters.rejected[Opens].Load(); got == 0 {
		t.Error("nobody was counted")
	}
}
