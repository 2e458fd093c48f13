package balance

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// BenchmarkHandle measures one connection of a client from its request to its end, including a load report.
func BenchmarkHandle(b *testing.B) {
	for _, servers := range []int{8, 200} {
		for _, gossip := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d,gossip=%v", servers, gossip), func(b *testing.B) {
				config := testConfig()
				config.NodeCount, config.ConnectionCapacity, config.HealthChecksAllowed = 4, 1000, !gossip
				if gossip {
					config.GossipEnabled, config.CoresPerWeight = true, 1
				}
				benchmarkConnections(b, config, servers)
			})
		}
	}
}

func benchmarkConnections(b *testing.B, config Config, servers int) {
	var ids []ServerID
	for i := range servers {
		ids = append(ids, ServerID(i+1))
	}
	n := newTestNode(config, readyServers(ids...)...)
	keys := make([]string, 512)
	for i := range keys {
		keys[i] = fmt.Sprint("client-", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		id := RequestID(i + 1)
		n.now += 2 * time.Millisecond
		actions := n.Handle(n.now, Request{ID: id, Class: "safe", ClientKey: keys[i%512],
			Timeout: time.Second, Reconnect: i%3 == 0})
		target := sentTo(actions)
		for _, a := range actions {
			if check, ok := a.(HealthCheck); ok {
				report := HealthCheckResult{Server: check.Server, Outcome: OK,
					Report: &LoadReport{Utilisation: 0.3}}
				target = max(target, sentTo(n.Handle(n.now, report)))
			}
		}
		if target == 0 {
			n.Handle(n.now, ClientDisconnected{ID: id})
			continue
		}
		n.Handle(n.now, AttemptAccepted{ID: id, Server: target})
		n.Handle(n.now, AttemptEnded{ID: id, Server: target, Outcome: OK, Final: true})
	}
}

// BenchmarkStream measures the steps of a recorded event stream, including the driver.
func BenchmarkStream(b *testing.B) {
	for _, name := range []string{"checks", "gossip", "slow start"} {
		b.Run(name, func(b *testing.B) {
			s := newStream(streamConfigs()[name], 6, 1, io.Discard)
			b.ReportAllocs()
			for range b.N {
				s.step()
			}
		})
	}
}
