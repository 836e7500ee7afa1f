package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/eelgrasshub/eelgrasshub/internal/relay"
)

// shortTimeouts makes faults show soon; nothing asserts these times. A path that works
// is suspected where an answer takes longer than PingTimeout, and closed after
// SuspectGrace: both are far above what a busy machine needs.
var shortTimeouts = Config{
	PingTimeout:    300 * time.Millisecond,
	BusyProbeAfter: 50 * time.Millisecond,
	IdleProbeAfter: 200 * time.Millisecond,
	SuspectTimeout: time.Second,
}

// Story: a device between entry and agent forgets the entry's flow. The entry's
// calls vanish without an error while new connections work. A call that was
// outstanding ends as unknown, and the next one gets through on a new
// connection, without waiting for QUIC's idle timeout of a minute.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	arrived := make(chan struct{})
	server := openEndpoint(c, "agent", shortTimeouts, func(ctx context.Context, from *Conn, msg any) (any, error) {
		if string(msg.(*GangMessage).Payload) == "wait" {
			close(arrived)
			<-ctx.Done()
		}
		return echo(ctx, from, msg)
	})
	proxy := startRelay(c, server.Addr())
	client := openEndpoint(c, "entry", shortTimeouts, echo)
	pool := NewPool(client)
	c.Cleanup(pool.Close)
	first, err := pool.Conn(contextWithTimeout(c, 20*time.Second), proxy.Addr())
	c.Assert(err, qt.IsNil)

	callErr := make(chan error, 1)
	go func() {
		_, err := first.Call(context.Background(), GangMessage{Payload: []byte("wait")})
		callErr <- err
	}()
	await(c, arrived)
	proxy.Lose(relay.Both...)
	await(c, first.Suspected())
	reply, err := pool.Call(contextWithTimeout(c, 20*time.Second), proxy.Addr(), GangMessage{Payload: []byte("x")})
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.DeepEquals, &GangReply{Payload: []byte("x")})
	err = await(c, callErr)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	await(c, first.Done())
}

// Story: the path is silent and callers give up. A small message was handed to
// the network whole and may have run, although it was lost here. Of a large one
// the end never left: it can't run, and the caller may use it elsewhere.
func TestCallOutcomeOnUnresponsivePath(t *testing.T) {
	c := qt.New(t)
	server := openEndpoint(c, "agent", Config{}, echo)
	proxy := startRelay(c, server.Addr())
	conn := dial(c, openEndpoint(c, "entry", Config{}, echo), proxy.Addr())
	proxy.Lose(relay.Both...)
	// Callers give up once the connection has sent what it may and sent it again.
	callAndCancel := func(size int) error {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Call(ctx, GangMessage{Payload: make([]byte, size)})
			ended <- err
		}()
		awaitDroppedDatagrams(c, proxy, relay.Up, retransmissions)
		cancel()
		return await(c, ended)
	}
	err := callAndCancel(100)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	err = callAndCancel(8 << 20)
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
}

// Story: a quick request stays outstanding while its worker computes for long,
// but the path is fine. Pings are answered, so the connection must not be
// suspected and the slow call must not be cut off.
func TestSlowHandlerIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, from *Conn, msg any) (any, error) {
		<-release
		return echo(ctx, from, msg)
	})
	clientConfig := Config{BusyProbeAfter: 10 * time.Millisecond, PingTimeout: 10 * time.Second}
	client := openEndpoint(c, "entry", clientConfig, echo)
	conn := dial(c, client, server.Addr())
	done := make(chan error, 1)
	go func() {
		_, err := conn.Call(context.Background(), GangMessage{})
		done <- err
	}()
	lastReceived := conn.LastReceived()
	for range 3 {
		for !conn.LastReceived().After(lastReceived) {
			time.Sleep(time.Millisecond)
		}
		lastReceived = conn.LastReceived()
	}
	c.Assert(conn.Usable(), qt.IsTrue)
	close(release)
	c.Assert(await(c, done), qt.IsNil)
}

// Story: an agent's process dies without a word and another starts on its
// address. A call of the entry must not hang until pings give up: the new
// process answers with a stateless reset, for it can't know the connection.
func TestRestartedPeerResetsConnection(t *testing.T) {
	c := qt.New(t)
	var socket net.PacketConn
	serverConfig := Config{ListenPacket: func(network, addr string) (net.PacketConn, error) {
		var err error
		socket, err = net.ListenPacket(network, addr)
		return socket, err
	}}
	server := openEndpoint(c, "agent", serverConfig, echo)
	clientConfig := Config{BusyProbeAfter: time.Hour, PingTimeout: time.Hour, IdleProbeAfter: time.Hour}
	conn := dial(c, openEndpoint(c, "entry", clientConfig, echo), server.Addr())
	c.Assert(socket.Close(), qt.IsNil)
	restarted, err := Listen(server.Addr(), newTestIdentity(c, "agent", testKey), HandlerFunc(echo))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { restarted.Close() })
	_, err = conn.Call(contextWithTimeout(c, 20*time.Second), GangMessage{})
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	var reset *quic.StatelessResetError
	c.Assert(errors.As(err, &reset), qt.IsTrue, qt.Commentf("%v", err))
}

// Story: an agent's process restarts on its address. The entry's connection
// points to a process that is gone; the pool reaches the new one, and while
// nobody listens callers are told at once so that they can go elsewhere.
func TestPoolReconnectsAfterPeerRestart(t *testing.T) {
	c := qt.New(t)
	server, err := Listen("127.0.0.1:0", newTestIdentity(c, "agent", testKey), HandlerFunc(echo))
	c.Assert(err, qt.IsNil)
	client := openEndpoint(c, "entry", shortTimeouts, echo)
	pool := NewPool(client)
	c.Cleanup(pool.Close)
	addr := server.Addr()
	first, err := pool.Conn(contextWithTimeout(c, 20*time.Second), addr)
	c.Assert(err, qt.IsNil)
	c.Assert(server.Close(), qt.IsNil)
	// Until the news of the end is here, a call may still go out on the old
	// connection, and its outcome is unknown.
	await(c, first.Done())
	_, err = pool.Call(contextWithTimeout(c, 20*time.Second), addr, GangMessage{})
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))

	restarted, err := Listen(addr, newTestIdentity(c, "agent", testKey), HandlerFunc(echo))
	c.Assert(err, qt.IsNil)
	defer restarted.Close()
	for {
		_, err = pool.Call(contextWithTimeout(c, 20*time.Second), addr, GangMessage{})
		if err == nil {
			break
		}
		c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
		time.Sleep(5 * time.Millisecond)
	}
	pool.Remove(addr)
}
