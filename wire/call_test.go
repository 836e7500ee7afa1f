package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBothEndsCallOverOneConnection(t *testing.T) {
	c := qt.New(t)
	accepted := make(chan *Conn, 1)
	server := openEndpoint(c, "entry", Config{OnAccept: func(conn *Conn) { accepted <- conn }}, echo)
	client := openEndpoint(c, "agent", Config{}, echo)
	conn := dial(c, client, server.Addr())
	c.Assert(conn.Peer().ID, qt.Equals, "entry")
	serverConn := await(c, accepted)
	c.Assert(serverConn.Peer(), qt.Equals, client.Identity().Peer())
	for _, conn := range []*Conn{conn, serverConn} {
		reply, err := conn.Call(contextWithTimeout(c, 10*time.Second), GangMessage{Payload: []byte("x")})
		c.Assert(err, qt.IsNil)
		c.Assert(reply, qt.DeepEquals, &GangReply{Payload: []byte("x")})
	}
}

// If the connection ends while the handler runs, the outcome must be unknown; otherwise
// the caller could send the message again and book the same capacity twice.
func TestLostConnectionLeavesOutcomeUnknown(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	cancelled := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, from *Conn, _ any) (any, error) {
		close(running)
		from.Close()
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	client := openEndpoint(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	_, err := conn.Call(contextWithTimeout(c, 10*time.Second), GangMessage{})
	await(c, running)
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsFalse)
	await(c, cancelled)
	_, err = conn.Call(contextWithTimeout(c, 10*time.Second), GangMessage{})
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsTrue, qt.Commentf("%v", err))
}

// Cancelling a call must end the handler's context while the connection stays open.
func TestCancelledCallCancelsHandler(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	cancelled := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, _ *Conn, _ any) (any, error) {
		close(running)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	client := openEndpoint(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-running
		cancel()
	}()
	_, err := conn.Call(ctx, GangMessage{})
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	await(c, cancelled)
	c.Assert(conn.Ping(contextWithTimeout(c, 10*time.Second)), qt.IsNil)
}

type unregistered struct{}

func TestCallErrorsMatchHandlerExecution(t *testing.T) {
	c := qt.New(t)
	var handled atomic.Int32
	server := openEndpoint(c, "agent", Config{MaxPayload: 100}, func(_ context.Context, _ *Conn, msg any) (any, error) {
		handled.Add(1)
		switch string(msg.(*GangMessage).Payload) {
		case "no":
			return nil, NotHandled(errors.New("full"))
		case "big":
			return GangReply{Payload: make([]byte, 200)}, nil
		default:
			return nil, &CallError{Outcome: ErrNotHandled, Cause: errors.New("of another call")}
		}
	})
	client := openEndpoint(c, "entry", Config{}, echo)
	conn := dial(c, client, server.Addr())
	for _, test := range []struct {
		name    string
		msg     any
		want    []error
		handled int32
	}{
		{"unregistered Go type", unregistered{}, []error{ErrNotHandled, ErrUnknownKind}, 0},
		{"frame exceeds the receiver's limit", GangMessage{Payload: make([]byte, 200)}, []error{ErrNotHandled, ErrFrameTooLarge}, 0},
		{"frame exceeds the sender's limit", GangMessage{Payload: make([]byte, DefaultMaxPayload)}, []error{ErrNotHandled, ErrFrameTooLarge}, 0},
		{"handler returns NotHandled", GangMessage{Payload: []byte("no")}, []error{ErrNotHandled, ErrHandler}, 1},
		{"handler returns the error of another call", GangMessage{}, []error{ErrOutcomeUnknown, ErrHandler}, 2},
		{"reply exceeds the limit", GangMessage{Payload: []byte("big")}, []error{ErrOutcomeUnknown, ErrHandler}, 3},
	} {
		_, err := conn.Call(contextWithTimeout(c, 10*time.Second), test.msg)
		c.Check(errors.Is(err, ErrNotHandled) != errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
		for _, want := range test.want {
			c.Check(errors.Is(err, want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
		}
		c.Check(handled.Load(), qt.Equals, test.handled, qt.Commentf(test.name))
	}
}

// A cancelled call must not match ErrNotHandled because the cause of the cancellation
// is another call that was not handled.
func TestCancelCauseDoesNotChangeOutcome(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	server := openEndpoint(c, "agent", Config{}, func(ctx context.Context, _ *Conn, _ any) (any, error) {
		close(running)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	conn := dial(c, openEndpoint(c, "entry", Config{}, echo), server.Addr())
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-running
		cancel(callNotHandled(ErrClosed))
	}()
	_, err := conn.Call(ctx, GangMessage{})
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	c.Assert(errors.Is(err, ErrNotHandled), qt.IsFalse)
}

func TestWrongClusterKeyIsRejected(t *testing.T) {
	c := qt.New(t)
	server := openEndpoint(c, "entry", Config{}, echo)
	for _, test := range []struct {
		name string
		id   Identity
		want bool
	}{
		{"key of another cluster", newTestIdentity(c, "x", otherKey), false},
		{"client accepts the server's key, but not the reverse", newTestIdentity(c, "x", otherKey, testKey), false},
		{"same key, another one accepted during key rotation", newTestIdentity(c, "x", testKey, otherKey), true},
	} {
		client, err := Listen("127.0.0.1:0", test.id, HandlerFunc(echo))
		c.Assert(err, qt.IsNil)
		_, err = client.Dial(contextWithTimeout(c, 10*time.Second), server.Addr())
		c.Check(err == nil, qt.Equals, test.want, qt.Commentf("%s: %v", test.name, err))
		c.Check(err == nil || errors.Is(err, ErrNotHandled), qt.IsTrue)
		c.Assert(client.Close(), qt.IsNil)
	}
	_, err := NewIdentity(Peer{}, []byte("short"))
	c.Assert(err, qt.IsNotNil)
}
