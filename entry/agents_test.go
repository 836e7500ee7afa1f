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

// testTimeout is a generous bound of every wait.
const testTimeout = 20 * time.Second

// newEndpoint returns an endpoint that dials for as long as a test may last.
func newEndpoint(c *qt.C) *wire.Endpoint {
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
func TestCallToDeadAgentFailsEarly(t *testing.T) {
	c := qt.New(t)
	deadAgent, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer deadAgent.Close()
	a := newAgentConns()
	a.pool = wire.NewPool(newEndpoint(c))
	defer a.pool.Close()
	a.setAddr("dead", deadAgent.LocalAddr().String())
	result := make(chan error, 1)
	go func() {
		_, err := a.call(context.Background(), "dead", &wire.Ping{}, anyConn)
		result <- err
	}()
	select {
	case err := <-result:
		c.Assert(errors.Is(err, wire.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(testTimeout):
		c.Fatal("still waits for the handshake")
	}
}
