package entry

import (
	"context"
	"time"
)

// idleAgentConnTimeout is how long a connection that this entry dialed to an agent stays
// open without a call. Agents that report through a relay are called rarely; without the
// timeout, a connection to each of them would stay open.
const idleAgentConnTimeout = time.Minute

// closeIdle drops connections that have ended and closes dialed ones that have been idle
// for longer than idleAgentConnTimeout. Calls in progress finish first.
func (a *agentConns) closeIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, c := range a.conns {
		select {
		case <-c.Done():
			delete(a.conns, id)
		default:
		}
	}
	for addr, lastUse := range a.lastDialedUse {
		if now.Sub(lastUse) > idleAgentConnTimeout {
			delete(a.lastDialedUse, addr)
			go func() { _ = a.pool.Drain(context.Background(), addr) }() // returns when the connection ends, at the latest
		}
	}
}
