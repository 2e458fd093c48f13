package gossip

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"brassmux/balance"
	"brassmux/internal/golden"
)

// Guards against a changed encoding, which nodes of other builds could not decode.
func TestGoldenMessages(t *testing.T) {
	var encoded, decoded strings.Builder
	kinds := map[balance.GossipKind]string{balance.GossipHeldLoad: "holds", balance.GossipLoadRequest: "asks",
		balance.GossipLoadResponse: "loads"}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		for _, server := range []balance.ServerID{0, 8, 1<<32 - 1, 1 << 32, 1<<64 - 1} {
			for _, load := range []float64{0, 100, 101, 1.25e6, 1e300} {
				for _, groups := range [][]uint16{nil, {0, 7999}, make([]uint16, 120)} {
					msg := balance.GossipMessage{Kind: kind, Incarnation: uint8(server%200 + 1), Server: server,
						Load: load, Groups: groups}
					fmt.Fprintln(&encoded, Encode(msg))
				}
			}
		}
	}
	golden.Check(t, "gossip.txt", encoded.String())
	for _, line := range golden.Lines(t, "gossip.txt") {
		msg, err := Decode(line)
		fmt.Fprintf(&decoded, "%s %d %d %.6g %v %v\n", kinds[msg.Kind], msg.Incarnation, uint64(msg.Server),
			msg.Load, msg.Groups, err == nil)
	}
	golden.Check(t, "read.txt", decoded.String())
}
