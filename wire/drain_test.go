package wire

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/relay"
)

// retransmissions is the number of dropped datagrams that shows that an end has sent a
// message and retransmitted it. QUIC doubles the time between retransmissions.
const retransmissions = 3

func awaitDraining(ep *Endpoint) {
	for !ep.isDraining() {
		time.Sleep(time.Millisecond)
	}
}

// A drain must deliver the replies of running calls and reject new calls before it
// closes the connections.
func TestDrainCompletesRunningCalls(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	release := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, from *Conn, msg any) (any, error) {
		close(running)
		<-release
		return echo(ctx, from, msg)
	})
	client := openEndpoint(c, "entry", Config{}, echo)
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
	_, err := conn.Call(contextWithTimeout(c, 20*time.Second), GangMessage{})
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(errors.Is(err, ErrDraining), qt.IsTrue)
	_, err = client.Dial(contextWithTimeout(c, 20*time.Second), server.Addr())
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue)
	close(release)
	c.Assert(await(c, answered), qt.IsNil)
	c.Assert(await(c, drained), qt.IsNil)
	await(c, conn.Done())
}

// A drain must not close a connection before a reply lost by the network is
// retransmitted.
func TestDrainWaitsForLostReply(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	release := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, from *Conn, msg any) (any, error) {
		close(running)
		<-release
		return echo(ctx, from, msg)
	})
	proxy := startRelay(c, server.Addr())
	conn := dial(c, openEndpoint(c, "entry", Config{}, echo), proxy.Addr())
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Call(context.Background(), GangMessage{})
		answered <- err
	}()
	await(c, running)
	proxy.BlockDirection(relay.FromUpstream, true)
	close(release)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	awaitDraining(server)
	retransmitted := make(chan struct{})
	go func() {
		defer close(retransmitted)
		awaitDroppedDatagrams(c, proxy, relay.FromUpstream, retransmissions)
	}()
	select {
	case <-drained:
		c.Error("endpoint drained before the reply arrived")
	case <-retransmitted:
	}
	proxy.BlockDirection(relay.FromUpstream, false)
	c.Assert(await(c, answered), qt.IsNil)
	c.Assert(await(c, drained), qt.IsNil)
}

func TestDrainStopsWithContext(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, _ *Conn, _ any) (any, error) {
		close(running)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	client := openEndpoint(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	go conn.Call(context.Background(), GangMessage{})
	await(c, running)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(server.Drain(ctx), qt.Equals, context.Canceled)
}
