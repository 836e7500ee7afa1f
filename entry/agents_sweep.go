package entry

import (
	"context"
	"time"
)

// unusedAfter is how long a connection that this entry dialled to an agent stays
// open without a call. Agents that report by a relay are called now and then;
// without this each of them would hold a connection here for good.
const unusedAfter = time.Minute

// sweep drops connections that have ended, and closes those dialled here that
// had no call for long. Calls in progress end first.
func (a *agents) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, c := range a.conns {
		select {
		case <-c.Done():
			delete(a.conns, id)
		default:
		}
	}
	for addr, used := range a.dialed {
		if now.Sub(used) > unusedAfter {
			delete(a.dialed, addr)
			go func() { _ = a.pool.Drain(context.Background(), addr) }() // ends with the connection at the latest
		}
	}
}
