package wire

import (
	"context"

	"github.com/quic-go/quic-go"
)

// Call sends msg, a registered struct or pointer to one, and waits for the
// reply, a pointer to a registered struct. Cancelling ctx cancels the peer's
// handler context. Every error is a *CallError: it matches ErrNotSent or
// ErrOutcomeUnknown.
func (c *Conn) Call(ctx context.Context, msg any) (any, error) {
	if !c.calls.begin() {
		return nil, notSent(ErrClosed)
	}
	defer c.calls.end()
	return c.exchange(ctx, msg)
}

// exchange is Call without the count of outstanding calls.
func (c *Conn) exchange(ctx context.Context, msg any) (any, error) {
	frame, err := encodeFrame(msg, c.ep.cfg.MaxPayload)
	if err != nil {
		return nil, notSent(err)
	}
	stream, err := c.q.OpenStreamSync(ctx)
	if err != nil {
		return nil, notSent(cause(ctx, err))
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stop()
	if err := c.send(ctx, stream, frame); err != nil {
		return nil, err
	}
	return c.receive(ctx, stream)
}

// send draws the line between ErrNotSent and ErrOutcomeUnknown. The peer
// handles a frame only after the end of our direction, and that end leaves
// this process only if Close is called. Until then a failed write, a lost
// connection or a cancelled context proves that the message is not handled,
// even if all its bytes arrived. From the call of Close on nothing is proved,
// whatever Close returns: a cancellation may race with it.
func (c *Conn) send(ctx context.Context, stream *quic.Stream, frame []byte) error {
	if _, err := stream.Write(frame); err != nil {
		cancelStream(stream)
		return notSent(cause(ctx, err))
	}
	// A failed Close is not the end either: the peer may have stopped reading
	// because it refused the frame, and then its reply says so.
	_ = stream.Close()
	return nil
}

func (c *Conn) receive(ctx context.Context, stream *quic.Stream) (any, error) {
	raw, err := readFrame(heardReader{c, stream}, c.ep.cfg.MaxPayload)
	if err != nil {
		stream.CancelRead(streamCancel)
		return nil, outcomeUnknown(cause(ctx, err))
	}
	msg, err := raw.message()
	if err != nil {
		return nil, outcomeUnknown(err)
	}
	if remote, ok := msg.(*remoteError); ok {
		return nil, remote.asCallError()
	}
	return msg, nil
}

// cancelStream gives up both directions; the peer's handler is cancelled.
func cancelStream(stream *quic.Stream) {
	stream.CancelWrite(streamCancel)
	stream.CancelRead(streamCancel)
}

// cause prefers the context's error to the stream error that it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
