package capacity

import (
	"net"
	"sync/atomic"
)

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 20 + 8

// Traffic counts the packets and bytes of its sockets, including IP and UDP headers. It is safe
// for concurrent use.
type Traffic struct {
	Sent, SentBytes, Received, ReceivedBytes atomic.Int64
}

// Listen opens a UDP socket whose packets are counted. The returned type hides the batch calls
// of the socket, with which QUIC would bypass the counter.
func (t *Traffic) Listen(_, addr string) (net.PacketConn, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	return &countedSocket{PacketConn: socket, traffic: t}, nil
}

type countedSocket struct {
	net.PacketConn
	traffic *Traffic
}

// ReadFrom implements net.PacketConn.
func (c *countedSocket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.traffic.Received.Add(1)
		c.traffic.ReceivedBytes.Add(int64(n + headerBytes))
	}
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *countedSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	c.traffic.Sent.Add(1)
	c.traffic.SentBytes.Add(int64(len(b) + headerBytes))
	return c.PacketConn.WriteTo(b, to)
}

// SetReadBuffer implements an optional interface of quic-go.
func (c *countedSocket) SetReadBuffer(n int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(n)
}

// SetWriteBuffer implements an optional interface of quic-go.
func (c *countedSocket) SetWriteBuffer(n int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(n)
}
