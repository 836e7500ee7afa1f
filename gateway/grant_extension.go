package gateway

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// mayExtendGrants reports whether the planner with the given epoch, whose lease expired at the given time,
// still grants worker leases, as far as the other gateways tell; see storeStatus. It needs the status of each
// gateway that was live when the lease expired, also of those that are not heard from any more: a successor
// relies on that.
func (p *peering) mayExtendGrants(epoch uint64, expiredAt time.Duration) bool {
	now := p.clock()
	peers := p.members.heardSince(expiredAt - memberTTL)
	if now-expiredAt >= maxGrantExtension || !p.storeStatus.allUnserved(now, peers) {
		return false
	}
	// Before the last renewal of the lease there was no newer planner.
	renewedAt := expiredAt - plannerLeaseTTL
	if slices.ContainsFunc(peers, func(address string) bool { return p.replacedSince(renewedAt, address) }) {
		return false
	}
	newest, _ := p.planner.get() // read last: what a reply tells of the planner is merged first
	return newest <= epoch
}

// replacedSince reports whether the process of a gateway may have replaced, since the given time, one that this
// gateway has heard of. It may not know the newer planner that the earlier process knew.
func (p *peering) replacedSince(at time.Duration, address string) bool {
	startedBy := p.storeStatus.startedBy(address)
	return startedBy > at && p.members.firstHeard(address) < startedBy
}

// predecessorExtension returns how much longer than normal the grants of the predecessors of the term with
// the given epoch may last. A deposed planner that is still alive may grant until its lease expires, and its
// successor cannot tell whether another gateway deposed it. This matters only for workers that do not report
// to the successor.
func (g *Gateway) predecessorExtension(now time.Duration, epoch uint64) time.Duration {
	return max(0, g.earlierGrants.endBefore(now, epoch, g.storeStatus)-now)
}

// lowerExtension passes to the term with the given epoch, if it is the current one, that another gateway has
// lowered the bound of the grants of its predecessors.
func (g *Gateway) lowerExtension(epoch uint64) {
	t := g.currentTerm()
	if t == nil || t.epoch != epoch {
		return // a term that begins later reads the bound itself
	}
	until := g.earlierGrants.endBefore(g.clock(), epoch, g.storeStatus)
	t.log.WithField("lease_extension_ms", (until - t.startedAt).Milliseconds()).Info("another gateway bounds the leases of previous planners")
	// The caller handles a message and must not wait for the engine.
	go t.postEvent(engine.EarlierGrantsBounded{Until: until})
}
