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
		return nil, callNotHandled(ErrClosed)
	}
	defer c.calls.end()
	return c.exchange(ctx, msg)
}

// exchange is Call without the count of outstanding calls.
func (c *Conn) exchange(ctx context.Context, msg any) (any, error) {
	frame, err := encodeFrame(msg, c.ep.cfg.MaxPayload)
	if err != nil {
		return nil, callNotHandled(err)
	}
	stream, err := c.quicConn.OpenStreamSync(ctx)
	if err != nil {
		return nil, callNotHandled(contextCause(ctx, err))
	}
	stopCancel := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stopCancel()
	if err := c.sendFrame(ctx, stream, frame); err != nil {
		return nil, err
	}
	return c.receiveReply(ctx, stream)
}

// sendFrame draws the line between ErrNotSent and ErrOutcomeUnknown. The peer
// handles a frame only after the end of our direction, and that end leaves
// this process only if Close is called. Until then a failed write, a lost
// connection or a cancelled context proves that the message is not handled,
// even if all its bytes arrived. From the call of Close on nothing is proved,
// whatever Close returns: a cancellation may race with it.
func (c *Conn) sendFrame(ctx context.Context, stream *quic.Stream, frame []byte) error {
	if _, err := stream.Write(frame); err != nil {
		cancelStream(stream)
		return callNotHandled(contextCause(ctx, err))
	}
	// A failed Close is not the end either: the peer may have stopped reading
	// because it refused the frame, and then its reply says so.
	_ = stream.Close()
	return nil
}

func (c *Conn) receiveReply(ctx context.Context, stream *quic.Stream) (any, error) {
	frame, err := readFrame(activityReader{c, stream}, c.ep.cfg.MaxPayload)
	if err != nil {
		stream.CancelRead(streamCancelled)
		return nil, callOutcomeUnknown(contextCause(ctx, err))
	}
	msg, err := frame.decode()
	if err != nil {
		return nil, callOutcomeUnknown(err)
	}
	if peerErr, ok := msg.(*remoteError); ok {
		return nil, peerErr.callError()
	}
	return msg, nil
}

// cancelStream gives up both directions; the peer's handler is cancelled.
func cancelStream(stream *quic.Stream) {
	stream.CancelWrite(streamCancelled)
	stream.CancelRead(streamCancelled)
}

// contextCause prefers the context's error to the stream error that it led to.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
