package wire

import (
	"context"
	"errors"

	"github.com/quic-go/quic-go"
)

// serveStream answers one exchange of the peer. A frame that did not arrive whole is
// dropped: its sender gave up and may say that it was not handled.
func (c *Conn) serveStream(stream *quic.Stream) {
	frame, err := readFrame(activityReader{c, stream}, c.ep.cfg.MaxPayload)
	if err != nil && !errors.Is(err, ErrFrameTooLarge) && !errors.Is(err, ErrMalformed) {
		cancelStream(stream)
		return
	}
	if err != nil {
		stream.CancelRead(streamCancelled)
		c.writeReply(stream, rejectionReply(err))
		return
	}
	msg, err := frame.decode()
	if err != nil {
		c.writeReply(stream, rejectionReply(err))
		return
	}
	// The stream's context ends when the caller stops reading, when the
	// reply is sent, and with the connection.
	c.writeReply(stream, c.dispatch(stream.Context(), msg))
}

// dispatch serves the messages of the protocol itself and gives all others to
// the handler.
func (c *Conn) dispatch(ctx context.Context, msg any) any {
	switch m := msg.(type) {
	case *Hello:
		return c.handleHello(m)
	case *Ping:
		return &Pong{}
	case *GoAway:
		return c.handleGoAway(ctx)
	}
	if c.peer.Load() == nil {
		return rejectionReply(ErrNoHello)
	}
	if !c.ep.handling.begin() {
		return rejectionReply(ErrDraining)
	}
	defer c.ep.handling.end()
	reply, err := c.ep.handler.Handle(ctx, c, msg)
	if err != nil {
		return handlerErrorReply(err)
	}
	return reply
}

// handleHello takes the dialer's Hello.
func (c *Conn) handleHello(m *Hello) any {
	if c.ep.isDraining() {
		return rejectionReply(ErrDraining)
	}
	first := c.peer.CompareAndSwap(nil, &m.Peer)
	if first && c.ep.cfg.OnAccept != nil {
		c.ep.cfg.OnAccept(c)
	}
	return &HelloReply{Peer: c.ep.id.peer}
}

// handleGoAway answers when the last reply to this side has arrived, so that the
// peer can close without losing it.
func (c *Conn) handleGoAway(ctx context.Context) any {
	select {
	case <-c.beginDrain():
	case <-ctx.Done():
	}
	return &GoAwayReply{}
}

func (c *Conn) writeReply(stream *quic.Stream, msg any) {
	frame, err := encodeFrame(msg, c.ep.cfg.MaxPayload)
	if err != nil {
		// The handler has run: this is no proof of the opposite.
		frame, err = encodeFrame(handlerErrorReply(err), c.ep.cfg.MaxPayload)
	}
	if err != nil {
		cancelStream(stream)
		return
	}
	if _, err := stream.Write(frame); err != nil {
		cancelStream(stream)
		return
	}
	stream.Close()
}
