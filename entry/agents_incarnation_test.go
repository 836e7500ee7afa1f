package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// listenAs starts an endpoint of a process with the given identity.
func listenAs(c *qt.C, peer wire.Peer, cfg wire.Config, h wire.HandlerFunc) *wire.Endpoint {
	id, err := wire.NewIdentity(peer, []byte("a key for tests only"))
	c.Assert(err, qt.IsNil)
	ep, err := cfg.Listen("127.0.0.1:0", id, h)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(ep.Close(), qt.IsNil) })
	return ep
}

// dialAsAgent connects a process with the agent id "a" to an entry. The process answers requests with
// its incarnation.
func dialAsAgent(c *qt.C, incarnation uint64, entryAddr string) {
	ep := listenAs(c, wire.Peer{ID: "a", Role: wire.RoleAgent, Incarnation: incarnation}, wire.Config{},
		func(context.Context, *wire.Conn, any) (any, error) {
			return &wire.ExecuteReply{Incarnation: incarnation}, nil
		})
	pool := wire.NewPool(ep)
	c.Cleanup(pool.Close)
	_, err := pool.Call(context.Background(), entryAddr, &wire.Ping{})
	c.Assert(err, qt.IsNil)
}

// newReachableAgentConns returns agentConns that record connections to an endpoint, and its address.
func newReachableAgentConns(c *qt.C) (*agentConns, string) {
	a := newAgentConns()
	ep := listenAs(c, wire.Peer{ID: "entry", Role: wire.RoleEntry}, wire.Config{OnAccept: a.onAccepted},
		func(context.Context, *wire.Conn, any) (any, error) { return &wire.Pong{}, nil })
	a.pool = wire.NewPool(ep)
	c.Cleanup(a.pool.Close)
	return a, ep.Addr()
}

// Two processes run under one agent id, or the old one dials again while its restarted successor is
// there. Orders for the later process must not go out over the connection of the earlier one, which
// refuses them: no job would start there.
func TestConnectionOfEarlierProcessIsNotUsed(t *testing.T) {
	c := qt.New(t)
	a, addr := newReachableAgentConns(c)
	reached := func() uint64 {
		reply, err := a.call(context.Background(), "a", &wire.Execute{}, anyConn)
		c.Assert(err, qt.IsNil)
		return reply.(*wire.ExecuteReply).Incarnation
	}
	dialAsAgent(c, 2, addr)
	c.Check(reached(), qt.Equals, uint64(2))
	dialAsAgent(c, 1, addr)
	c.Check(reached(), qt.Equals, uint64(2))
	dialAsAgent(c, 3, addr)
	c.Check(reached(), qt.Equals, uint64(3))
}

// Changes of the members are applied by the goroutines that handle the reports, in any order. An address
// or a departure of an earlier process, applied last, would make a live agent unreachable.
func TestEarlierProcessDoesNotChangeAddress(t *testing.T) {
	c := qt.New(t)
	a, _ := newReachableAgentConns(c)
	a.setAddr("a", 2, "127.0.0.1:2")
	a.setAddr("a", 1, "127.0.0.1:1")
	c.Check(a.addrs["a"], qt.Equals, "127.0.0.1:2")
	a.remove("a", 1)
	c.Check(a.addrs["a"], qt.Equals, "127.0.0.1:2")
	a.remove("a", 2)
	c.Check(a.addrs["a"], qt.Equals, "")
	// Once it is forgotten, a process with an earlier incarnation, whose clock went back, is reachable.
	a.setAddr("a", 1, "127.0.0.1:1")
	c.Check(a.addrs["a"], qt.Equals, "127.0.0.1:1")
}
