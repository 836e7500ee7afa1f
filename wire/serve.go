package wire

import (
	"context"
	"errors"

	"github.com/quic-go/quic-go"
)

// serveStream answers one exchange of the peer. An incomplete frame gets no reply: its
// sender has given up and may report the message as not handled.
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
	// The stream's context ends when the caller stops reading, when the reply is sent,
	// or with the connection.
	c.writeReply(stream, c.dispatch(stream.Context(), msg))
}

// dispatch handles the messages of the protocol itself and passes all others to the
// handler.
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

// handleHello stores the dialer's identity and returns this process's.
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

// handleGoAway answers once this side has received the replies to its calls, so that
// the peer can close the connection without losing one.
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
		// The handler has run, so the error must not claim that the message was not
		// handled.
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
