package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// limit is a generous bound of every wait.
const limit = 20 * time.Second

// openEndpoint returns an endpoint that dials for as long as a test may last.
func openEndpoint(c *qt.C) *wire.Endpoint {
	id, err := wire.NewIdentity(wire.Peer{ID: "entry", Role: wire.RoleEntry}, []byte("a key for tests only"))
	c.Assert(err, qt.IsNil)
	cfg := wire.Config{HandshakeTimeout: time.Hour}
	ep, err := cfg.Listen("127.0.0.1:0", id, wire.HandlerFunc(nil))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(ep.Close(), qt.IsNil) })
	return ep
}

// An agent's instance dies: nothing comes back from its address, and a handshake
// there lasts longer than callers wait. A request that waited for it would miss its
// deadline although other targets are free; it has to hear at once that it was not
// sent. The handshake of this test has an hour, so that only the guard ends the wait.
func TestDeadAgentIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	a := newAgents()
	a.pool = wire.NewPool(openEndpoint(c))
	defer a.pool.Close()
	a.place("dead", silent.LocalAddr().String())
	ended := make(chan error, 1)
	go func() {
		_, err := a.call(context.Background(), "dead", &wire.Ping{}, anyPath)
		ended <- err
	}()
	select {
	case err := <-ended:
		c.Assert(errors.Is(err, wire.ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(limit):
		c.Fatal("still waits for the handshake")
	}
}
