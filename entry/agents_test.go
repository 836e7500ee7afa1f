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

// testTimeout fails a test whose call does not return.
const testTimeout = 20 * time.Second

// newEndpoint returns an endpoint whose handshakes do not time out during a test.
func newEndpoint(c *qt.C) *wire.Endpoint {
	id, err := wire.NewIdentity(wire.Peer{ID: "entry", Role: wire.RoleEntry}, []byte("a key for tests only"))
	c.Assert(err, qt.IsNil)
	cfg := wire.Config{HandshakeTimeout: time.Hour}
	ep, err := cfg.Listen("127.0.0.1:0", id, wire.HandlerFunc(nil))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(ep.Close(), qt.IsNil) })
	return ep
}

// Guards against a request waiting for the handshake with a dead agent until its
// deadline. The handshake timeout of an hour leaves dialTimeout as the only limit.
func TestCallToDeadAgentFailsEarly(t *testing.T) {
	c := qt.New(t)
	deadAgent, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer deadAgent.Close()
	a := newAgentConns()
	a.pool = wire.NewPool(newEndpoint(c))
	defer a.pool.Close()
	a.setAddr("dead", 1, deadAgent.LocalAddr().String())
	result := make(chan error, 1)
	go func() {
		_, err := a.call(context.Background(), "dead", &wire.Ping{}, anyConn)
		result <- err
	}()
	select {
	case err := <-result:
		c.Assert(errors.Is(err, wire.ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(testTimeout):
		c.Fatal("the call still waits for the handshake with the dead agent")
	}
}
