package wire

import (
	"context"
	"errors"

	"github.com/quic-go/quic-go"
)

// serve answers one exchange of the peer. A frame that did not arrive whole is
// dropped: its sender gave up and may say that it was not handled.
func (c *Conn) serve(stream *quic.Stream) {
	raw, err := readFrame(heardReader{c, stream}, c.ep.cfg.MaxPayload)
	if err != nil && !errors.Is(err, ErrFrameTooLarge) && !errors.Is(err, ErrMalformed) {
		cancelStream(stream)
		return
	}
	if err != nil {
		stream.CancelRead(streamCancel)
		c.reply(stream, refusal(err))
		return
	}
	msg, err := raw.message()
	if err != nil {
		c.reply(stream, refusal(err))
		return
	}
	// The stream's context ends when the caller stops reading, when the
	// reply is sent, and with the connection.
	c.reply(stream, c.dispatch(stream.Context(), msg))
}

// dispatch serves the messages of the protocol itself and gives all others to
// the handler.
func (c *Conn) dispatch(ctx context.Context, msg any) any {
	switch m := msg.(type) {
	case *Hello:
		return c.welcome(m)
	case *Ping:
		return &Pong{}
	case *GoAway:
		return c.goAway(ctx)
	}
	if c.peer.Load() == nil {
		return refusal(ErrNoHello)
	}
	if !c.ep.serving.begin() {
		return refusal(ErrDraining)
	}
	defer c.ep.serving.end()
	reply, err := c.ep.handler.Handle(ctx, c, msg)
	if err != nil {
		return handlerFailure(err)
	}
	return reply
}

// welcome takes the dialer's Hello.
func (c *Conn) welcome(m *Hello) any {
	if c.ep.isDraining() {
		return refusal(ErrDraining)
	}
	first := c.peer.CompareAndSwap(nil, &m.Peer)
	if first && c.ep.cfg.OnAccept != nil {
		c.ep.cfg.OnAccept(c)
	}
	return &HelloReply{Peer: c.ep.id.peer}
}

// goAway answers when the last reply to this side has arrived, so that the
// peer can close without losing it.
func (c *Conn) goAway(ctx context.Context) any {
	select {
	case <-c.leaving():
	case <-ctx.Done():
	}
	return &GoAwayReply{}
}

func (c *Conn) reply(stream *quic.Stream, msg any) {
	frame, err := encodeFrame(msg, c.ep.cfg.MaxPayload)
	if err != nil {
		// The handler has run: this is no proof of the opposite.
		frame, err = encodeFrame(handlerFailure(err), c.ep.cfg.MaxPayload)
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
