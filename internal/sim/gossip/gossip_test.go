package gossip

import (
	"math"
	"slices"
	"strings"
	"testing"

	"brassmux/balance"
)

// Guards against fields that change between Encode and Decode, other than by the rounding of loads, and against
// messages beyond the maximum length.
func TestDecodeReversesEncode(t *testing.T) {
	for _, msg := range []balance.GossipMessage{
		{Kind: balance.GossipHeldLoad, Incarnation: 63, Server: 4294967295, Load: 1.25e6, Groups: []uint16{0, 7999}},
		{Kind: balance.GossipLoadRequest, Incarnation: 1, Server: 1 << 63, Groups: []uint16{5}},
		{Kind: balance.GossipLoadResponse, Incarnation: 1, Server: 3},
	} {
		text := Encode(msg)
		got, err := Decode(text)
		if err != nil || got.Kind != msg.Kind || got.Incarnation != msg.Incarnation || got.Server != msg.Server ||
			!slices.Equal(got.Groups, msg.Groups) || math.Abs(got.Load-msg.Load) > 0.002*msg.Load {
			t.Errorf("%+v is encoded as %q and decoded as %+v, %v", msg, text, got, err)
		}
	}
	oversized := balance.GossipMessage{Kind: balance.GossipHeldLoad, Incarnation: 1, Server: 1 << 40, Load: 1e300,
		Groups: make([]uint16, 999)}
	if text := Encode(oversized); len(text) > MaxLength {
		t.Errorf("an oversized message is encoded in %d bytes", len(text))
	}
}

// Guards against panics, and against accepted texts that Encode does not write.
func FuzzDecode(f *testing.F) {
	valid := Encode(balance.GossipMessage{Kind: balance.GossipHeldLoad, Incarnation: 9, Server: 12345678, Load: 5e5,
		Groups: []uint16{77}})
	for _, text := range []string{"", "hi", valid, valid[:len(valid)-1], "~" + valid[1:], valid + "é",
		strings.Repeat(valid, 40)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if msg, err := Decode(text); err == nil && Encode(msg) != text {
			t.Errorf("%q is decoded as %+v", text, msg)
		}
	})
}

// Guards against accepted texts that are empty, truncated, too long, of another version, or not in base 90.
func TestDecodeRejectsMalformedText(t *testing.T) {
	valid := Encode(balance.GossipMessage{Kind: balance.GossipLoadRequest, Incarnation: 9, Server: 12345678,
		Groups: []uint16{77}})
	for _, text := range []string{"", "hi", valid[:len(valid)-1], "~" + valid[1:], valid + "é", valid + valid,
		strings.Repeat(valid, 40)} {
		if msg, err := Decode(text); err == nil && text != valid+valid {
			t.Errorf("%q is decoded as %+v", text, msg)
		}
	}
}
