package wire

import (
	"context"
	"time"
)

// monitorLoop checks the liveness of all connections. One goroutine serves the whole
// endpoint to save the memory of a timer per connection.
func (ep *Endpoint) monitorLoop() error {
	ticker := time.NewTicker(max(time.Millisecond, min(ep.cfg.BusyProbeAfter, ep.cfg.PingTimeout)/2))
	defer ticker.Stop()
	for {
		select {
		case <-ep.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		for _, c := range ep.Conns() {
			ep.checkLiveness(c)
		}
	}
}

// checkLiveness detects a connection whose path has become unresponsive, on which calls
// would otherwise hang until QUIC's idle timeout. If a Ping is not answered within
// PingTimeout, the connection is suspected and Pool replaces it; after SuspectTimeout
// it is closed. Only messages from the peer's process count, which neither a middlebox
// nor the peer's kernel can send.
func (ep *Endpoint) checkLiveness(c *Conn) {
	now := ep.now()
	sinceReceived := now.Sub(c.LastReceived())
	if c.peer.Load() == nil {
		if sinceReceived > 2*ep.cfg.HandshakeTimeout {
			c.close(closeNoHello, "no hello")
		}
		return
	}
	if c.suspect.Load() && now.Sub(c.opened)-time.Duration(c.suspectedAt.Load()) > ep.cfg.SuspectTimeout {
		c.close(closeUnresponsive, "silent")
		return
	}
	probeAfter := ep.cfg.IdleProbeAfter
	if c.OutstandingCalls() > 0 {
		probeAfter = ep.cfg.BusyProbeAfter
	}
	if sinceReceived < probeAfter || !c.probing.CompareAndSwap(false, true) {
		return
	}
	ep.tomb.Go(func() error {
		defer c.probing.Store(false)
		c.probe()
		return nil
	})
}

// probe sends one Ping and suspects the connection if nothing was received meanwhile.
func (c *Conn) probe() {
	lastReceived := c.lastReceived.Load()
	ctx, cancel := context.WithTimeout(c.quicConn.Context(), c.ep.cfg.PingTimeout)
	defer cancel()
	if err := c.Ping(ctx); err == nil || c.lastReceived.Load() != lastReceived {
		return
	}
	c.beginSuspicion()
}

// Ping sends a Ping to the peer's process and waits for the Pong.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.exchange(ctx, &Ping{})
	return err
}
