package gateway

import (
	"sync"
	"time"
)

// earlierGrants bounds until when the planners before the newest known one grant worker leases. A planner
// that was replaced may still extend its grants when its successor has been replaced as well, so each
// takeover adds to the bound. It is safe for concurrent use. Times are on the boot clock.
type earlierGrants struct {
	mu    sync.Mutex
	epoch uint64        // of the newest known planner
	end   time.Duration // of all grants under earlier epochs
}

// noteTakeover records that there is a planner with the given epoch.
func (g *earlierGrants) noteTakeover(now time.Duration, epoch uint64, status *storeStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch > g.epoch {
		g.epoch, g.end = epoch, g.endAfter(now, epoch, status)
	}
}

// endBefore returns by when the last worker lease has been granted under epochs before the given one, which
// began now or earlier.
func (g *earlierGrants) endBefore(now time.Duration, epoch uint64, status *storeStatus) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch == g.epoch {
		return g.end
	}
	return g.endAfter(now, epoch, status)
}

// endAfter is endBefore if no planner with that epoch was known before. A planner grants until its lease
// expires, plannerLeaseTTL after it was deposed, and then for as long as it may extend its grants.
// The mutex is held.
func (g *earlierGrants) endAfter(now time.Duration, epoch uint64, status *storeStatus) time.Duration {
	return max(g.end, now+plannerLeaseTTL+status.predecessorExtension(now, epoch-1))
}
