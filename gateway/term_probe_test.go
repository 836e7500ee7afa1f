package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/internal/relay"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// openEndpoint opens an endpoint on loopback.
func openEndpoint(c *qt.C, id string, handler wire.HandlerFunc) *wire.Endpoint {
	identity, err := wire.NewIdentity(wire.Peer{ID: id, Role: wire.RoleAgent, Incarnation: 1, Region: "r", Zone: "z"}, []byte("a key for tests only"))
	c.Assert(err, qt.IsNil)
	ep, err := wire.Listen("127.0.0.1:0", identity, handler)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ep.Close() })
	return ep
}

// Guards against tasks that wait for calls to a worker because their starts were sent to an agent that had been
// killed: the planner can't know whether it has still passed them on.
func TestNoStartsAreSentToSilentAgent(t *testing.T) {
	for _, silent := range []bool{true, false} {
		c := qt.New(t)
		var sent atomic.Int64
		agent := openEndpoint(c, "agent", func(_ context.Context, _ *wire.Conn, msg any) (any, error) {
			orders := msg.(*link.Orders)
			sent.Add(int64(len(orders.Starts)))
			reply := &link.OrdersReply{}
			for _, s := range orders.Starts {
				reply.Starts = append(reply.Starts, engine.StartResult{Run: s.Run, Outcome: engine.StartOK})
			}
			return reply, nil
		})
		network, err := relay.New()
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { network.Close() })
		network.SetUpstream(agent.Addr())
		planner := openEndpoint(c, "planner", nil)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		conn, err := planner.Dial(ctx, network.Addr())
		c.Assert(err, qt.IsNil)
		if silent {
			network.DropFlows(relay.BothDirections...)
		}
		term := &term{g: &Gateway{}, probes: map[*wire.Conn]*agentProbe{}, conns: map[string]*wire.Conn{"agent": conn}}
		term.probeAgents([]string{"agent"})
		orders := engine.Orders{Starts: []engine.StartOrder{{Run: workload.RunID{Number: 1}}}, Stops: []workload.RunID{{Number: 2}}}
		rest, unsent := term.withholdUnanswered(conn, orders)
		c.Check(rest.Stops, qt.HasLen, 1)
		if !silent {
			c.Check(rest.Starts, qt.HasLen, 1)
			continue
		}
		c.Check(rest.Starts, qt.HasLen, 0)
		c.Check(unsent, qt.DeepEquals, []engine.StartResult{{Run: orders.Starts[0].Run, Outcome: engine.StartNotDelivered}})
		c.Check(term.g.counters.StartsUnsent.Load(), qt.Equals, int64(1))
		c.Check(sent.Load(), qt.Equals, int64(0))
	}
}
