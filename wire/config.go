package wire

import (
	"cmp"
	"net"
	"time"
)

// Defaults of Config.
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

// Limits of one QUIC connection.
const (
	maxStreams       = 4096
	maxStreamWindow  = 2 << 20
	maxConnWindow    = 8 << 20
	idleTimeoutFloor = time.Minute
)

// Config holds an endpoint's settings; a zero field takes its default.
type Config struct {
	// MaxPayload limits a frame's payload in bytes, in both directions.
	MaxPayload int
	// HandshakeTimeout limits dial, TLS handshake and Hello together.
	HandshakeTimeout time.Duration
	// PingTimeout is how long a Ping may stay unanswered.
	PingTimeout time.Duration
	// BusyProbeAfter: a connection with calls outstanding that was silent for so
	// long is probed with a Ping.
	BusyProbeAfter time.Duration
	// IdleProbeAfter is the same for a connection without calls. Keep it above
	// the reporting period, so that reports alone prove idle paths.
	IdleProbeAfter time.Duration
	// SuspectTimeout: a suspected connection that stays silent for so long is
	// closed; its outstanding calls end with ErrOutcomeUnknown.
	SuspectTimeout time.Duration
	// MaxConns limits accepted connections.
	MaxConns int
	// AcceptRate (a second) and AcceptBurst limit accepted handshakes, so
	// that an availability zone that returns at once does not take all
	// processors. Refused dialers come back after their backoff.
	AcceptRate  float64
	AcceptBurst int
	// OnAccept is called for each accepted connection after its Hello and
	// before the dialer learns of it. It must not block.
	OnAccept func(*Conn)
	// ListenPacket opens the UDP sockets; net.ListenPacket by default.
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
