package entry

import (
	"context"
	"time"
)

// idleAgentConnTimeout is how long a connection that this entry dialled to an agent stays
// open without a call. Agents that report by a relay are called now and then;
// without this each of them would hold a connection here for good.
const idleAgentConnTimeout = time.Minute

// closeIdle drops connections that have ended, and closes those dialled here that
// had no call for long. Calls in progress end first.
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
			go func() { _ = a.pool.Release(context.Background(), addr) }() // ends with the connection at the latest
		}
	}
}
