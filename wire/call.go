package wire

import (
	"context"

	"github.com/quic-go/quic-go"
)

// Call sends msg, a registered struct or a pointer to one, and returns the reply, a
// pointer to a registered struct. Cancelling ctx cancels the context of the peer's
// handler. Every error is a *CallError that matches either ErrNotHandled or
// ErrOutcomeUnknown.
func (c *Conn) Call(ctx context.Context, msg any) (any, error) {
	if !c.calls.begin() {
		return nil, callNotHandled(ErrClosed)
	}
	defer c.calls.end()
	return c.exchange(ctx, msg)
}

// exchange is Call without counting the call as outstanding.
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

// sendFrame sends the frame and ends this side of the stream. The peer handles a frame
// only after it has read the end of the stream, which is sent only by stream.Close.
// Before that, a failed write, a lost connection or a cancelled context proves that the
// message is not handled, even if all its bytes arrived. Once Close is called the
// outcome is unknown, whatever it returns, since a cancellation may race with it.
func (c *Conn) sendFrame(ctx context.Context, stream *quic.Stream, frame []byte) error {
	if _, err := stream.Write(frame); err != nil {
		cancelStream(stream)
		return callNotHandled(contextCause(ctx, err))
	}
	// A failed Close is not final: the peer may have stopped reading because it
	// rejected the frame, and its reply says so.
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

// cancelStream aborts both directions, which cancels the peer's handler.
func cancelStream(stream *quic.Stream) {
	stream.CancelWrite(streamCancelled)
	stream.CancelRead(streamCancelled)
}

// contextCause returns the cause of ctx if it has ended, since err then follows from
// it, and err otherwise.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
