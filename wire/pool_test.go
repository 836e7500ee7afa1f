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

// impatient makes faults show soon; nothing asserts these times. A path that works
// is suspected where an answer takes longer than PingTimeout, and closed after
// SuspectGrace: both are far above what a busy machine needs.
var impatient = Config{
	PingTimeout:    300 * time.Millisecond,
	BusyProbeAfter: 50 * time.Millisecond,
	IdleProbeAfter: 200 * time.Millisecond,
	SuspectTimeout: time.Second,
}

// Story: a device between entry and agent forgets the entry's flow. The entry's
// calls vanish without an error while new connections work. A call that was
// outstanding ends as unknown, and the next one gets through on a new
// connection, without waiting for QUIC's idle timeout of a minute.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	arrived := make(chan struct{})
	server := open(c, "agent", impatient, func(ctx context.Context, from *Conn, msg any) (any, error) {
		if string(msg.(*GangMessage).Payload) == "wait" {
			close(arrived)
			<-ctx.Done()
		}
		return echo(ctx, from, msg)
	})
	path := startRelay(c, server.Addr())
	client := open(c, "entry", impatient, echo)
	pool := NewPool(client)
	c.Cleanup(pool.Close)
	first, err := pool.Conn(within(c, 20*time.Second), path.Addr())
	c.Assert(err, qt.IsNil)

	lost := make(chan error, 1)
	go func() {
		_, err := first.Call(context.Background(), GangMessage{Payload: []byte("wait")})
		lost <- err
	}()
	await(c, arrived)
	path.DropFlows(relay.BothDirections...)
	await(c, first.Suspected())
	reply, err := pool.Call(within(c, 20*time.Second), path.Addr(), GangMessage{Payload: []byte("x")})
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.DeepEquals, &GangReply{Payload: []byte("x")})
	err = await(c, lost)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	await(c, first.Done())
}

// Story: the path is silent and callers give up. A small message was handed to
// the network whole and may have run, although it was lost here. Of a large one
// the end never left: it can't run, and the caller may use it elsewhere.
func TestOutcomeOnASilentPath(t *testing.T) {
	c := qt.New(t)
	server := open(c, "agent", Config{}, echo)
	path := startRelay(c, server.Addr())
	conn := dial(c, open(c, "entry", Config{}, echo), path.Addr())
	path.DropFlows(relay.BothDirections...)
	// Callers give up once the connection has sent what it may and sent it again.
	giveUp := func(size int) error {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Call(ctx, GangMessage{Payload: make([]byte, size)})
			ended <- err
		}()
		awaitDropped(c, path, relay.ToUpstream, repeated)
		cancel()
		return await(c, ended)
	}
	err := giveUp(100)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	err = giveUp(8 << 20)
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
}

// Story: a quick request stays outstanding while its worker computes for long,
// but the path is fine. Pings are answered, so the connection must not be
// suspected and the slow call must not be cut off.
func TestSlowHandlerIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := open(c, "agent", Config{}, func(ctx context.Context, from *Conn, msg any) (any, error) {
		<-release
		return echo(ctx, from, msg)
	})
	patient := Config{BusyProbeAfter: 10 * time.Millisecond, PingTimeout: 10 * time.Second}
	client := open(c, "entry", patient, echo)
	conn := dial(c, client, server.Addr())
	done := make(chan error, 1)
	go func() {
		_, err := conn.Call(context.Background(), GangMessage{})
		done <- err
	}()
	heard := conn.LastReceived()
	for range 3 {
		for !conn.LastReceived().After(heard) {
			time.Sleep(time.Millisecond)
		}
		heard = conn.LastReceived()
	}
	c.Assert(conn.Usable(), qt.IsTrue)
	close(release)
	c.Assert(await(c, done), qt.IsNil)
}

// Story: an agent's process dies without a word and another starts on its
// address. A call of the entry must not hang until pings give up: the new
// process answers with a stateless reset, for it can't know the connection.
func TestCrashedPeerIsNoticedAtOnce(t *testing.T) {
	c := qt.New(t)
	var socket net.PacketConn
	dying := Config{ListenPacket: func(network, addr string) (net.PacketConn, error) {
		var err error
		socket, err = net.ListenPacket(network, addr)
		return socket, err
	}}
	server := open(c, "agent", dying, echo)
	slow := Config{BusyProbeAfter: time.Hour, PingTimeout: time.Hour, IdleProbeAfter: time.Hour}
	conn := dial(c, open(c, "entry", slow, echo), server.Addr())
	c.Assert(socket.Close(), qt.IsNil)
	again, err := Listen(server.Addr(), identity(c, "agent", testKey), HandlerFunc(echo))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { again.Close() })
	_, err = conn.Call(within(c, 20*time.Second), GangMessage{})
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	var reset *quic.StatelessResetError
	c.Assert(errors.As(err, &reset), qt.IsTrue, qt.Commentf("%v", err))
}

// Story: an agent's process restarts on its address. The entry's connection
// points to a process that is gone; the pool reaches the new one, and while
// nobody listens callers are told at once so that they can go elsewhere.
func TestPoolFollowsRestartOfPeer(t *testing.T) {
	c := qt.New(t)
	server, err := Listen("127.0.0.1:0", identity(c, "agent", testKey), HandlerFunc(echo))
	c.Assert(err, qt.IsNil)
	client := open(c, "entry", impatient, echo)
	pool := NewPool(client)
	c.Cleanup(pool.Close)
	addr := server.Addr()
	first, err := pool.Conn(within(c, 20*time.Second), addr)
	c.Assert(err, qt.IsNil)
	c.Assert(server.Close(), qt.IsNil)
	// Until the news of the end is here, a call may still go out on the old
	// connection, and its outcome is unknown.
	await(c, first.Done())
	_, err = pool.Call(within(c, 20*time.Second), addr, GangMessage{})
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))

	again, err := Listen(addr, identity(c, "agent", testKey), HandlerFunc(echo))
	c.Assert(err, qt.IsNil)
	defer again.Close()
	for {
		_, err = pool.Call(within(c, 20*time.Second), addr, GangMessage{})
		if err == nil {
			break
		}
		c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
		time.Sleep(5 * time.Millisecond)
	}
	pool.Remove(addr)
}
