package gateway

import "time"

// mayExtendGrants reports whether the planner with the given epoch, whose lease expired at the given time,
// still grants worker leases, as far as the other gateways tell; see storeStatus. It needs the status of each
// gateway that was live when the lease expired, also of those that are not heard from any more: a successor
// relies on that.
func (p *peering) mayExtendGrants(epoch uint64, expiredAt time.Duration) bool {
	now := p.clock()
	if now-expiredAt >= maxGrantExtension || !p.storeStatus.allUnserved(now, p.members.heardSince(expiredAt-memberTTL)) {
		return false
	}
	newest, _ := p.planner.get() // read last: what a reply tells of the planner is merged first
	return newest <= epoch
}
