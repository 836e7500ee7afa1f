package gateway

import (
	"math/rand/v2"
	"time"
)

// All gateways wait for the planner lease. Without an order among them whichever is fastest takes
// it when it becomes vacant, and most of a large fleet may be too weak to plan for it.
const (
	// minPromptCapacity is the planning capacity below which a gateway lets stronger ones claim
	// the lease first, if the planner has not named it as a successor. A planner of several
	// hundred workers needs more than that.
	minPromptCapacity = 0.25
	// weakClaimDelay is how long it does so. It exceeds the time to claim a lease.
	weakClaimDelay = 2 * successorStagger
	// deposedClaimPeriod is how long after it deposed the planner a gateway claims at once: it
	// has let the preferred successors go first already.
	deposedClaimPeriod = time.Second
)

// claimDelay returns how long this gateway leaves a vacant planner lease to others. The order is
// that of the planner's preferred successors, then strong gateways, then weak ones.
func (g *Gateway) claimDelay() time.Duration {
	if deposedAt := g.deposedAt.Load(); deposedAt != 0 && g.clock()-time.Duration(deposedAt) < deposedClaimPeriod {
		return 0
	}
	rank, named := g.failureDetector.successorRank(g.self)
	delay := time.Duration(rank) * successorStagger
	if named || rank == 0 && !g.weak() {
		return delay
	}
	if g.weak() {
		delay += weakClaimDelay
	}
	return delay + time.Duration(rand.Int64N(int64(successorStagger)))
}

// weak reports whether this gateway is known to have less than minPromptCapacity.
func (g *Gateway) weak() bool {
	return g.cfg.PlanningCapacity > 0 && g.cfg.PlanningCapacity < minPromptCapacity
}
