package gateway

import (
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/link"
)

// earlierGrants bounds until when the planners before the newest known one grant worker leases. A planner
// that was replaced may still extend its grants when its successor has been replaced as well, so each
// takeover adds to the bound. Gateways exchange their bounds: one that has just started knows nothing
// of earlier planners. It is safe for concurrent use. Times are on the boot clock.
type earlierGrants struct {
	mu      sync.Mutex
	epoch   uint64        // of the newest known planner
	notedAt time.Duration // when that planner became known
	end     time.Duration // of all grants under earlier epochs
}

const (
	// maxEarlierGrants is how long after a takeover planners before it can grant leases.
	maxEarlierGrants = plannerLeaseTTL + maxGrantExtension
	// minEndGain is the difference below which another gateway's bound is not worth a change.
	minEndGain = 20 * time.Millisecond
)

// noteTakeover records that there is a planner with the given epoch.
func (g *earlierGrants) noteTakeover(now time.Duration, epoch uint64, status *storeStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch > g.epoch {
		g.epoch, g.notedAt, g.end = epoch, now, g.endAfter(now, epoch, status)
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

// tell returns what other gateways are told of the grants before the given epoch, nil if that is of no use.
func (g *earlierGrants) tell(now time.Duration, epoch uint64) *link.EarlierGrants {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch == 0 || epoch != g.epoch || now-g.notedAt >= maxEarlierGrants {
		return nil
	}
	return &link.EarlierGrants{Epoch: epoch, Remaining: max(0, g.end-now)}
}

// hear lowers the bound to that of another gateway, which was told before now, and reports whether
// it has changed.
func (g *earlierGrants) hear(now time.Duration, told *link.EarlierGrants) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if told == nil || told.Epoch != g.epoch || told.Remaining < 0 || now+told.Remaining > g.end-minEndGain {
		return false
	}
	g.end = now + told.Remaining
	return true
}
