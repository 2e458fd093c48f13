package wire

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/golden"
)

var (
	updateKindNames = map[balance.UpdateKind]string{balance.WatchFailed: "failed", balance.ListDelta: "changes",
		balance.ListSnapshot: "full", balance.ListCached: "cached", balance.WatchBroken: "broken"}
	serverStateNames = map[balance.ServerState]string{balance.Removed: "gone", balance.Draining: "draining",
		balance.Ready: "ready"}
	outcomeNames = map[balance.Outcome]string{balance.ServerError: "error", balance.OK: "ok",
		balance.AtCapacity: "full", balance.TimedOut: "timed out", balance.ConnectFailed: "connect failed",
		balance.Reset: "reset", balance.Cancelled: "cancelled", balance.Abandoned: "moot", balance.NotSent: "unsent"}
)

func describeReport(report *balance.LoadReport) string {
	if report == nil {
		return "none"
	}
	return fmt.Sprintf("%g", report.Utilisation)
}

func describeRequest(request balance.Request) string {
	return fmt.Sprintf("id=%d class=%q key=%q group=%q left=%d again=%v", uint64(request.ID), request.Class,
		request.ClientKey, request.Group, int64(request.Timeout), request.Reconnect)
}

// describeEvent formats an event for the golden file. The labels are independent of the field names, so that a renamed
// field leaves the golden file unchanged.
func describeEvent(event balance.Event) string {
	switch e := event.(type) {
	case nil:
		return "none"
	case balance.EndpointUpdate:
		text := fmt.Sprintf("list %s took=%d", updateKindNames[e.Kind], int64(e.ServiceWait))
		for _, s := range e.Servers {
			text += fmt.Sprintf(" [id=%d %s zone=%q cell=%d weight=%g up=%d]",
				uint64(s.ID), serverStateNames[s.State], s.Zone, s.Cell, s.Weight, int64(s.StartedAt))
		}
		return text
	case balance.Request:
		return "request " + describeRequest(e)
	case balance.ExistingConnection:
		return fmt.Sprintf("opened %s server=%d adopted=%v", describeRequest(e.Request), uint64(e.Server), e.Inherited)
	case balance.ClientDisconnected:
		return fmt.Sprintf("left id=%d", uint64(e.ID))
	case balance.AttemptAccepted:
		return fmt.Sprintf("accepted id=%d attempt=%d server=%d took=%d",
			uint64(e.ID), e.Attempt, uint64(e.Server), int64(e.Elapsed))
	case balance.AttemptEnded:
		return fmt.Sprintf("closed id=%d attempt=%d server=%d %s took=%d final=%v report=%s away=%v",
			uint64(e.ID), e.Attempt, uint64(e.Server), outcomeNames[e.Outcome], int64(e.Elapsed), e.Final,
			describeReport(e.Report), e.GoAway)
	case balance.LateMessage:
		return fmt.Sprintf("slow id=%d server=%d message=%d", uint64(e.ID), uint64(e.Server), int64(e.Latency))
	case balance.ConnectionLoad:
		return fmt.Sprintf("loaded id=%d load=%g", uint64(e.ID), e.Load)
	case balance.HealthCheckResult:
		return fmt.Sprintf("probed server=%d %s took=%d report=%s",
			uint64(e.Server), outcomeNames[e.Outcome], int64(e.Elapsed), describeReport(e.Report))
	case balance.TimerFired:
		return fmt.Sprintf("timer %d", e.Token)
	case balance.GossipReceived:
		return fmt.Sprintf("gossip from=%d kind=%d boot=%d server=%d load=%.6g groups=%v",
			e.FromNode, int(e.Message.Kind), e.Message.Incarnation, uint64(e.Message.Server), e.Message.Load,
			e.Message.Groups)
	}
	return fmt.Sprintf("%T", event)
}

// Guards against changes in the decoding of events: the input has every message of the simulator with every field set.
func TestGoldenEvents(t *testing.T) {
	reader := NewReader(strings.NewReader(golden.Read(t, "batches.jsonl")))
	var output strings.Builder
	for {
		batch, err := reader.Read()
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&output, "at %d\n", int64(batch.Now))
		for _, event := range batch.Events {
			fmt.Fprintf(&output, "  node %d stop=%v %s\n", event.Node, event.Stop, describeEvent(event.Event))
			if event.Start != nil {
				config := event.Start.Config
				fmt.Fprintf(&output, "  start seed=%d nodes=%d attempts=%d tick=%d\n",
					event.Start.Seed, config.NodeCount, config.MaxAttempts, int64(config.TickInterval))
			}
		}
	}
	golden.Check(t, "events.txt", output.String())
}

// Guards against changes in the encoding of actions: each action occurs with every field set.
func TestGoldenActions(t *testing.T) {
	var output strings.Builder
	writer := NewWriter(&output)
	for _, actions := range [][]Action{nil, {
		{3, balance.Attempt{ID: 1<<64 - 1, Server: 8, Timeout: 1500 * time.Microsecond, SendWithin: time.Second}},
		{3, balance.Attempt{}},
		{4, balance.Reject{ID: 5, RetryAfter: time.Second, Reason: "no room"}},
		{4, balance.Reject{ID: 5}},
		{4, balance.Fail{ID: 6}},
		{4, balance.Migrate{ID: 7}},
		{4, balance.HealthCheck{Server: 1<<64 - 1}},
		{4, balance.SendGossip{ToNode: 0, Message: balance.GossipMessage{Kind: balance.GossipHeldLoad, Incarnation: 9,
			Server: 12345678, Load: 5e5, Groups: []uint16{77}}}},
		{4, balance.SetTimer{After: 0, Token: 0}},
		{4, balance.SetTimer{After: time.Millisecond, Token: 1<<64 - 1}},
		{4, balance.WatchEndpoints{}},
		{4, balance.Log{Text: "a <b> & \"c\" é"}},
	}} {
		if err := writer.Write(actions); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "actions.jsonl", output.String())
}
