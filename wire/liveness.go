package wire

import (
	"context"
	"time"
)

// monitorLoop probes silent connections. One goroutine serves all connections
// of the endpoint; a timer for each would cost more memory than it is worth.
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

// checkLiveness guards against a path that went silent for good while new connections
// work: calls on it would hang until QUIC's idle timeout. It shows as silence
// of the peer's process; a Ping that stays unanswered within PingTimeout makes
// the connection suspected, and Pool replaces it. Only the peer's own messages
// count as life, so neither a middle box nor the peer's kernel can fake it.
func (ep *Endpoint) checkLiveness(c *Conn) {
	now := ep.now()
	silence := now.Sub(c.LastReceived())
	if c.peer.Load() == nil {
		if silence > 2*ep.cfg.HandshakeTimeout {
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
	if silence < probeAfter || !c.probing.CompareAndSwap(false, true) {
		return
	}
	ep.tomb.Go(func() error {
		defer c.probing.Store(false)
		c.probe()
		return nil
	})
}

// probe pings once and suspects the connection when nothing at all was heard.
func (c *Conn) probe() {
	lastReceived := c.lastReceived.Load()
	ctx, cancel := context.WithTimeout(c.quicConn.Context(), c.ep.cfg.PingTimeout)
	defer cancel()
	if err := c.Ping(ctx); err == nil || c.lastReceived.Load() != lastReceived {
		return
	}
	if c.suspect.CompareAndSwap(false, true) {
		c.suspectedAt.Store(int64(c.ep.now().Sub(c.opened)))
	}
	c.suspectedOnce.Do(func() { close(c.suspected) })
}

// Ping exchanges Ping and Pong with the peer's process.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.exchange(ctx, &Ping{})
	return err
}
