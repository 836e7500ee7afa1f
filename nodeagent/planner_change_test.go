package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// listenLoopback opens an endpoint on the loopback interface.
func listenLoopback(t *testing.T, name string, role wire.Role, handle wire.HandlerFunc) *wire.Endpoint {
	id, err := wire.NewIdentity(wire.Peer{ID: name, Role: role, Region: "r", Zone: "z"}, []byte("a key for tests only"))
	qt.Assert(t, err, qt.IsNil)
	e, err := wire.Listen("127.0.0.1:0", id, handle)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// A report to a failed planner is abandoned as soon as another gateway names its successor,
// which cannot place work on the worker before it gets the report.
func TestReportAbandonedForNewerPlanner(t *testing.T) {
	c := qt.New(t)
	unresponsive := listenLoopback(t, "dead", wire.RoleEntry, func(ctx context.Context, _ *wire.Conn, msg any) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	var successor string
	successorEndpoint := listenLoopback(t, "next", wire.RoleEntry, func(_ context.Context, _ *wire.Conn, msg any) (any, error) {
		return &link.PeerReply{Epoch: 2, Planner: successor}, nil
	})
	successor = successorEndpoint.Addr()
	local := listenLoopback(t, "agent", wire.RoleAgent, nil)
	pool := wire.NewPool(local)
	defer pool.Close()

	f := newTestFinder()
	f.pool, f.gateways = pool, []string{unresponsive.Addr(), successorEndpoint.Addr()}
	c.Assert(f.accept(&link.PeerReply{Planner: unresponsive.Addr(), Epoch: 1}), qt.IsTrue)
	a := &Agent{pool: pool, finder: f}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := a.callPlanner(ctx, unresponsive.Addr(), &link.Report{})
	c.Check(err, qt.Not(qt.IsNil))
	c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the call was abandoned only at the timeout"))
	found, ok := f.locate(ctx)
	c.Check(ok, qt.IsTrue)
	c.Check(found, qt.Equals, successor)
}
