package wire

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Dial opens a connection to addr, "host:port" with an IP number, and
// exchanges Hello. Its errors match ErrNotSent.
//
// Each connection has a UDP socket, and so a source port, of its own: when a
// device between the ends has lost track of a flow, a new connection from the
// same port would be the same flow to it and go silent too.
func (ep *Endpoint) Dial(ctx context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ep.cfg.HandshakeTimeout)
	defer cancel()
	c, err := ep.handshake(ctx, addr)
	if err != nil {
		return nil, notSent(eris.Wrapf(err, "dial %s", addr))
	}
	if !ep.start(c) {
		c.Close()
		c.onEnd()
		return nil, notSent(ErrClosed)
	}
	if err := c.hello(ctx); err != nil {
		c.Close()
		return nil, notSent(eris.Wrapf(err, "hello to %s", addr))
	}
	return c, nil
}

func (ep *Endpoint) handshake(ctx context.Context, addr string) (*Conn, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := ep.cfg.ListenPacket("udp", wildcard(remote))
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	release := func() {
		transport.Close()
		socket.Close()
	}
	q, err := transport.Dial(ctx, remote, ep.id.tlsConfig(), ep.quicCfg)
	if err != nil {
		release()
		return nil, err
	}
	c := newConn(ep, q)
	c.onEnd = release
	return c, nil
}

// wildcard is the local address that reaches remote.
func wildcard(remote *net.UDPAddr) string {
	if remote.IP.IsLoopback() {
		return net.JoinHostPort(remote.IP.String(), "0")
	}
	return ":0"
}

// hello introduces the dialer and learns the peer.
func (c *Conn) hello(ctx context.Context) error {
	reply, err := c.exchange(ctx, &Hello{Peer: c.ep.id.peer})
	if err != nil {
		return err
	}
	answer, ok := reply.(*HelloReply)
	if !ok {
		return eris.Wrapf(ErrMalformed, "reply %T to hello", reply)
	}
	c.peer.Store(&answer.Peer)
	return nil
}
