// Package host runs an independent instance of package balance for each node of the simulator, and exchanges events and
// actions with it over the protocol of package wire.
package host

import (
	"io"
	"time"

	"brassmux/balance"
	"brassmux/internal/sim/wire"
)

// Run reads batches from in and writes the reply to each to out, until the input ends. It returns the first error of
// reading or writing.
func Run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	nodes := instances{}
	var actions []wire.Action
	for {
		batch, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		actions = actions[:0]
		for _, event := range batch.Events {
			actions = nodes.handle(batch.Now, event, actions)
		}
		if err := writer.Write(actions); err != nil {
			return err
		}
	}
}

// instances maps each node to its running instance.
type instances map[int]*balance.Balancer

// handle passes an event to the instance of its node and appends the resulting actions. It ignores an event for a node
// without a running instance.
func (n instances) handle(now time.Duration, event wire.Event, actions []wire.Action) []wire.Action {
	switch {
	case event.Start != nil:
		n[event.Node] = balance.New(event.Start.Config, event.Start.Seed)
	case event.Stop:
		delete(n, event.Node)
	case n[event.Node] != nil:
		for _, action := range n[event.Node].Handle(now, event.Event) {
			actions = append(actions, wire.Action{Node: event.Node, Action: action})
		}
	}
	return actions
}
