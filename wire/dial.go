package wire

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Dial opens a connection to addr, an IP address and port, and exchanges Hello. Its
// errors match ErrNotHandled.
//
// Each connection has its own UDP socket and thus its own source port. If a network
// device has lost the state of a flow, a new connection from the same port would belong
// to that flow and be unresponsive too.
func (ep *Endpoint) Dial(ctx context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ep.cfg.HandshakeTimeout)
	defer cancel()
	c, err := ep.dialQUIC(ctx, addr)
	if err != nil {
		return nil, callNotHandled(eris.Wrapf(err, "dial %s", addr))
	}
	if !ep.register(c) {
		c.Close()
		c.onClose()
		return nil, callNotHandled(ErrClosed)
	}
	if err := c.sendHello(ctx); err != nil {
		c.Close()
		return nil, callNotHandled(eris.Wrapf(err, "hello to %s", addr))
	}
	return c, nil
}

func (ep *Endpoint) dialQUIC(ctx context.Context, addr string) (*Conn, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := ep.cfg.ListenPacket("udp", localAddrFor(remote))
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	closeTransport := func() {
		transport.Close()
		socket.Close()
	}
	quicConn, err := transport.Dial(ctx, remote, ep.id.tlsConfig(), ep.quicConfig)
	if err != nil {
		closeTransport()
		return nil, err
	}
	c := newConn(ep, quicConn)
	c.onClose = closeTransport
	return c, nil
}

// localAddrFor returns the local address to bind for connections to remote.
func localAddrFor(remote *net.UDPAddr) string {
	if remote.IP.IsLoopback() {
		return net.JoinHostPort(remote.IP.String(), "0")
	}
	return ":0"
}

// sendHello sends this process's identity and stores the peer's.
func (c *Conn) sendHello(ctx context.Context) error {
	reply, err := c.exchange(ctx, &Hello{Peer: c.ep.id.peer})
	if err != nil {
		return err
	}
	helloReply, ok := reply.(*HelloReply)
	if !ok {
		return eris.Wrapf(ErrMalformed, "reply %T to hello", reply)
	}
	c.peer.Store(&helloReply.Peer)
	return nil
}
