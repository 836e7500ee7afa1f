package wire

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/eelgrasshub/eelgrasshub/internal/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	testKey  = []byte("0123456789abcdef")
	otherKey = []byte("fedcba9876543210")
)

func newTestIdentity(c *qt.C, name string, key []byte, accepted ...[]byte) Identity {
	id, err := NewIdentity(Peer{ID: name, Role: RoleAgent, Incarnation: 7}, key, accepted...)
	c.Assert(err, qt.IsNil)
	return id
}

// openEndpoint starts an endpoint that is closed at the end of the test.
func openEndpoint(c *qt.C, name string, cfg Config, h HandlerFunc) *Endpoint {
	ep, err := cfg.Listen("127.0.0.1:0", newTestIdentity(c, name, testKey), h)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(ep.Close(), qt.IsNil) })
	return ep
}

func dial(c *qt.C, from *Endpoint, addr string) *Conn {
	conn, err := from.Dial(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	return conn
}

// startRelay starts a relay that forwards datagrams to upstream.
func startRelay(c *qt.C, upstream string) *relay.Relay {
	r, err := relay.New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(r.Close)
	c.Assert(r.SetUpstream(upstream), qt.IsNil)
	return r
}

// awaitDroppedDatagrams waits until count more datagrams were dropped in the given
// direction, and fails the test if that takes too long.
func awaitDroppedDatagrams(c *qt.C, r *relay.Relay, direction relay.Direction, count int64) {
	want := r.Dropped(direction) + count
	ctx := contextWithTimeout(c, 20*time.Second)
	for r.Dropped(direction) < want && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	c.Check(ctx.Err(), qt.IsNil, qt.Commentf("%d datagrams dropped", r.Dropped(direction)))
}

// echo answers a GangMessage with its payload.
func echo(_ context.Context, _ *Conn, msg any) (any, error) {
	return &GangReply{Payload: msg.(*GangMessage).Payload}, nil
}

func contextWithTimeout(c *qt.C, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.Cleanup(cancel)
	return ctx
}

// await returns the next value of ch, or the zero value once it is closed. It fails the
// test if that takes too long.
func await[T any](c *qt.C, ch <-chan T) T {
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		c.Fatal("timed out")
		panic("unreachable")
	}
}
