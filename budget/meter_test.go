package budget

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// meter counts the messages and bytes that each process receives.
type meter struct {
	now              func() time.Duration
	messages         map[processID]int
	bytes            map[processID]int
	messagesBySecond map[processID]map[int]int // messages in each second since resetAt
	resetAt          time.Duration
}

const (
	frameBytes  = 8  // framing of a message in a datagram
	headerBytes = 28 // UDP and IP headers
)

func newMeter(now func() time.Duration) *meter { m := &meter{now: now}; m.reset(); return m }

func (m *meter) reset() {
	m.messages, m.bytes, m.messagesBySecond = map[processID]int{}, map[processID]int{}, map[processID]map[int]int{}
	m.resetAt = m.now()
}

func (m *meter) receive(receiver processID, message Message) {
	m.messages[receiver]++
	data, _ := cbor.Marshal(message)
	m.bytes[receiver] += len(data) + frameBytes + headerBytes
	if m.messagesBySecond[receiver] == nil {
		m.messagesBySecond[receiver] = map[int]int{}
	}
	m.messagesBySecond[receiver][int((m.now()-m.resetAt)/time.Second)]++
}

// rates are numbers per second.
type rates struct{ messages, bytes float64 }

// perSecond returns the mean rates of a number of nodes or parents, and the highest rates of one of them.
func (m *meter) perSecond(isParent bool, processes int) (mean, highest rates) {
	seconds := (m.now() - m.resetAt).Seconds()
	for p := range m.messages {
		if p.isParent != isParent {
			continue
		}
		messages, bytes := float64(m.messages[p])/seconds, float64(m.bytes[p])/seconds
		mean = rates{mean.messages + messages/float64(processes), mean.bytes + bytes/float64(processes)}
		highest = rates{max(highest.messages, messages), max(highest.bytes, bytes)}
	}
	return mean, highest
}

// peak returns the most messages that a process received in a second, as a multiple of its given mean.
func (m *meter) peak(means map[processID]float64) (highest float64, receiver processID) {
	const minMean = 20 // with fewer messages per second a multiple is not meaningful
	for p, seconds := range m.messagesBySecond {
		for _, n := range seconds {
			if ratio := float64(n) / means[p]; means[p] > minMean && ratio > highest {
				highest, receiver = ratio, p
			}
		}
	}
	return highest, receiver
}

// means returns the mean number of messages per second of each process.
func (m *meter) means() map[processID]float64 {
	means := map[processID]float64{}
	for p, n := range m.messages {
		means[p] = float64(n) / (m.now() - m.resetAt).Seconds()
	}
	return means
}
