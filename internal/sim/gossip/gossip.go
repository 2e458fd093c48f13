// Package gossip encodes the messages that nodes exchange in the simulator. A message is printable ASCII text and kept
// short, since each byte has a cost at every receiver. It consists of a header with the version, the kind and the width
// of the server ID, the sender's incarnation, the server ID, the load if the kind has one, and the groups. Numbers are
// in base 90, least significant digit first. Package balance defines the meaning of the messages.
package gossip

import (
	"errors"
	"math"

	"brassmux/balance"
)

// MaxLength is the maximum length of a message in bytes that a deployment allows.
const MaxLength = 256

// ErrFormat reports a text that is not an output of Encode.
var ErrFormat = errors.New("not a gossip message of this version")

const (
	firstDigit = '#'
	base       = 90

	version         = 1
	kindsPerVersion = 4
	maxGroups       = 100

	// Loads are encoded on a logarithmic scale with steps of 0.2 %. Loads up to minLoad are encoded as 0.
	minLoad  = 100
	loadStep = 1.002

	// IDs below maxNarrowID, which the simulator uses, have fewer digits than hashes of names.
	maxNarrowID    = 1 << 32
	narrowIDDigits = 5
	wideIDDigits   = 10
	loadDigits     = 2
	groupDigits    = 2
)

// Encode returns the text of a message. It includes at most 100 groups and omits the rest.
func Encode(msg balance.GossipMessage) string {
	wideFlag, idDigits := 0, narrowIDDigits
	if msg.Server >= maxNarrowID {
		wideFlag, idDigits = 1, wideIDDigits
	}
	out := appendNumber(nil, uint64(version*kindsPerVersion*2+int(msg.Kind)*2+wideFlag), 1)
	out = appendNumber(out, uint64(msg.Incarnation%base), 1)
	out = appendNumber(out, uint64(msg.Server), idDigits)
	if msg.Kind != balance.GossipLoadRequest {
		out = appendNumber(out, encodeLoad(msg.Load), loadDigits)
	}
	for _, group := range msg.Groups[:min(len(msg.Groups), maxGroups)] {
		out = appendNumber(out, uint64(group), groupDigits)
	}
	return string(out)
}

// appendNumber appends the given number of least significant digits of n.
func appendNumber(out []byte, n uint64, digits int) []byte {
	for range digits {
		out, n = append(out, byte(firstDigit+n%base)), n/base
	}
	return out
}

// encodeLoad returns the number of steps from minLoad to a load.
func encodeLoad(load float64) uint64 {
	if load > minLoad {
		steps := math.Round(math.Log(load/minLoad) / math.Log(loadStep))
		return uint64(min(steps, base*base-1))
	}
	return 0
}

// decodeLoad returns the load that is a number of steps above minLoad, or 0 for no steps.
func decodeLoad(steps uint64) float64 {
	if steps == 0 {
		return 0
	}
	return minLoad * math.Pow(loadStep, float64(steps))
}

// Decode returns the message of a text. It returns ErrFormat for any text that is not an output of Encode.
func Decode(text string) (balance.GossipMessage, error) {
	d := decoder{text: text}
	if !d.hasOnlyDigits() {
		return balance.GossipMessage{}, ErrFormat
	}
	header := d.number(1)
	msg := balance.GossipMessage{
		Kind:        balance.GossipKind(header / 2 % kindsPerVersion),
		Incarnation: uint8(d.number(1)),
	}
	idDigits := narrowIDDigits
	if header%2 == 1 {
		idDigits = wideIDDigits
	}
	msg.Server = balance.ServerID(d.number(idDigits))
	if msg.Kind != balance.GossipLoadRequest {
		msg.Load = decodeLoad(d.number(loadDigits))
	}
	for d.position < len(text) {
		msg.Groups = append(msg.Groups, uint16(d.number(groupDigits)))
	}
	isSupported := header/(2*kindsPerVersion) == version && msg.Kind <= balance.GossipLoadResponse
	if d.position != len(text) || !isSupported || Encode(msg) != text {
		return balance.GossipMessage{}, ErrFormat
	}
	return msg, nil
}

// decoder reads numbers from a text. If the text is too short, the position ends up beyond its end.
type decoder struct {
	text     string
	position int
}

// hasOnlyDigits reports whether the text consists of base 90 digits and is not longer than MaxLength.
func (d *decoder) hasOnlyDigits() bool {
	if len(d.text) > MaxLength {
		return false
	}
	for i := range len(d.text) {
		if d.text[i] < firstDigit || d.text[i] >= firstDigit+base {
			return false
		}
	}
	return true
}

// number returns the next number, or 0 if the text ends before its last digit.
func (d *decoder) number(digits int) (value uint64) {
	d.position += digits
	if d.position > len(d.text) {
		return 0
	}
	for i := d.position - 1; i >= d.position-digits; i-- {
		value = value*base + uint64(d.text[i]-firstDigit)
	}
	return value
}
