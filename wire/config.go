package wire

import (
	"cmp"
	"net"
	"time"
)

// Defaults for Config.
const (
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultPingTimeout      = 500 * time.Millisecond
	DefaultBusyProbeAfter   = 300 * time.Millisecond
	DefaultIdleProbeAfter   = 30 * time.Second
	DefaultSuspectTimeout   = 5 * time.Second
	DefaultMaxConns         = 4096
	DefaultAcceptRate       = 200
	DefaultAcceptBurst      = 200
)

// Limits for one QUIC connection.
const (
	maxStreams       = 4096
	maxStreamWindow  = 2 << 20
	maxConnWindow    = 8 << 20
	idleTimeoutFloor = time.Minute
)

// Config configures an endpoint. A zero field takes its default.
type Config struct {
	// MaxPayload is the maximum size of a frame's payload in bytes, in both directions.
	MaxPayload int
	// HandshakeTimeout limits dialling, the TLS handshake and Hello together.
	HandshakeTimeout time.Duration
	// PingTimeout is the time within which a Ping must be answered.
	PingTimeout time.Duration
	// BusyProbeAfter is the time without received messages after which a connection
	// with outstanding calls is probed with a Ping.
	BusyProbeAfter time.Duration
	// IdleProbeAfter is the same for a connection without outstanding calls. It should
	// exceed the reporting period, so that reports alone show that the connection works.
	IdleProbeAfter time.Duration
	// SuspectTimeout is the time after which a suspected connection is closed if it
	// stays unresponsive. Its outstanding calls end with ErrOutcomeUnknown.
	SuspectTimeout time.Duration
	// MaxConns is the maximum number of accepted connections.
	MaxConns int
	// AcceptRate (per second) and AcceptBurst limit accepted handshakes, so that an
	// availability zone whose agents reconnect at the same time does not use all
	// processors. Rejected dialers retry with backoff.
	AcceptRate  float64
	AcceptBurst int
	// OnAccept is called for each accepted connection after its Hello and before the
	// reply to it is sent. It must not block.
	OnAccept func(*Conn)
	// ListenPacket opens the UDP sockets; the default is net.ListenPacket.
	ListenPacket func(network, addr string) (net.PacketConn, error)
}

func (c Config) withDefaults() Config {
	c.MaxPayload = cmp.Or(c.MaxPayload, DefaultMaxPayload)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.PingTimeout = cmp.Or(c.PingTimeout, DefaultPingTimeout)
	c.BusyProbeAfter = cmp.Or(c.BusyProbeAfter, DefaultBusyProbeAfter)
	c.IdleProbeAfter = cmp.Or(c.IdleProbeAfter, DefaultIdleProbeAfter)
	c.SuspectTimeout = cmp.Or(c.SuspectTimeout, DefaultSuspectTimeout)
	c.MaxConns = cmp.Or(c.MaxConns, DefaultMaxConns)
	c.AcceptRate = cmp.Or(c.AcceptRate, DefaultAcceptRate)
	c.AcceptBurst = cmp.Or(c.AcceptBurst, DefaultAcceptBurst)
	if c.ListenPacket == nil {
		c.ListenPacket = net.ListenPacket
	}
	return c
}
