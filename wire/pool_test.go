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

// shortTimeouts makes faults show soon. PingTimeout and SuspectTimeout still exceed the
// delays of a busy machine, so that a working path is not suspected.
var shortTimeouts = Config{
	PingTimeout:    300 * time.Millisecond,
	BusyProbeAfter: 50 * time.Millisecond,
	IdleProbeAfter: 200 * time.Millisecond,
	SuspectTimeout: time.Second,
}

// If a network device drops the state of a connection, the outstanding call must end as
// unknown, and the next one must succeed on a new connection before QUIC's idle timeout.
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
	proxy.DropFlows(relay.BothDirections...)
	await(c, first.Suspected())
	reply, err := pool.Call(contextWithTimeout(c, 20*time.Second), proxy.Addr(), GangMessage{Payload: []byte("x")})
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.DeepEquals, &GangReply{Payload: []byte("x")})
	err = await(c, callErr)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	await(c, first.Done())
}

// On an unresponsive path, the outcome of a cancelled small message is unknown, since
// it was sent completely. A large one whose end was not sent is not handled.
func TestCallOutcomeOnUnresponsivePath(t *testing.T) {
	c := qt.New(t)
	server := openEndpoint(c, "agent", Config{}, echo)
	proxy := startRelay(c, server.Addr())
	conn := dial(c, openEndpoint(c, "entry", Config{}, echo), proxy.Addr())
	proxy.DropFlows(relay.BothDirections...)
	// The call is cancelled once the connection has sent all it may and retransmitted
	// it.
	callAndCancel := func(size int) error {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Call(ctx, GangMessage{Payload: make([]byte, size)})
			ended <- err
		}()
		awaitDroppedDatagrams(c, proxy, relay.ToUpstream, retransmissions)
		cancel()
		return await(c, ended)
	}
	err := callAndCancel(100)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	err = callAndCancel(8 << 20)
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
}

// A connection must not be suspected during a slow call while pings are answered.
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

// After a crash and restart of the peer, a call must end at once by the stateless reset
// of the new process, not by unanswered pings.
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

// After a restart of the peer, the pool must connect to the new process. While nothing
// listens, calls must fail at once.
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
	// Before the end of the old connection is known, a call may still use it, and its
	// outcome is unknown.
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
