package wire

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/relay"
)

// repeated is how many lost datagrams show that an end has sent a message and sent
// it again. QUIC doubles the time between, so they are well apart.
const repeated = 3

func awaitDraining(ep *Endpoint) {
	for !ep.isDraining() {
		time.Sleep(time.Millisecond)
	}
}

// Story: an agent is asked to stop while it answers a request. The answer must
// reach the caller, new requests must be told that they did not run, and then
// the agent's connections close.
func TestDrainInterruptsNothing(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	release := make(chan struct{})
	server := open(c, "agent", Config{}, func(ctx context.Context, from *Conn, msg any) (any, error) {
		close(running)
		<-release
		return echo(ctx, from, msg)
	})
	client := open(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Call(context.Background(), GangMessage{})
		answered <- err
	}()
	await(c, running)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	awaitDraining(server)
	_, err := conn.Call(within(c, 20*time.Second), GangMessage{})
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(errors.Is(err, ErrDraining), qt.IsTrue)
	_, err = client.Dial(within(c, 20*time.Second), server.Addr())
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue)
	close(release)
	c.Assert(await(c, answered), qt.IsNil)
	c.Assert(await(c, drained), qt.IsNil)
	await(c, conn.Done())
}

// Story: an agent stops right after its last answer, and the network loses the
// packet with the answer. QUIC would send it again, but not once the agent has
// closed the connection. The caller must still get the answer.
func TestDrainWaitsForALostReply(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	release := make(chan struct{})
	server := open(c, "agent", Config{}, func(ctx context.Context, from *Conn, msg any) (any, error) {
		close(running)
		<-release
		return echo(ctx, from, msg)
	})
	path := startRelay(c, server.Addr())
	conn := dial(c, open(c, "entry", Config{}, echo), path.Addr())
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Call(context.Background(), GangMessage{})
		answered <- err
	}()
	await(c, running)
	path.BlockDirection(relay.FromUpstream, true)
	close(release)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	awaitDraining(server)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		awaitDropped(c, path, relay.FromUpstream, repeated)
	}()
	select {
	case <-drained:
		c.Error("drained before the reply had arrived")
	case <-sent:
	}
	path.BlockDirection(relay.FromUpstream, false)
	c.Assert(await(c, answered), qt.IsNil)
	c.Assert(await(c, drained), qt.IsNil)
}

func TestDrainGivesUpWithItsContext(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	server := open(c, "agent", Config{}, func(ctx context.Context, _ *Conn, _ any) (any, error) {
		close(running)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	client := open(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	go conn.Call(context.Background(), GangMessage{})
	await(c, running)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(server.Drain(ctx), qt.Equals, context.Canceled)
}
