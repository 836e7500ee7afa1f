package gateway

import "time"

// mayExtendGrants reports whether a planner whose lease expired at the given time still grants worker
// leases, as far as the other gateways tell; see storeStatus.
func (p *peering) mayExtendGrants(expiredAt time.Duration) bool {
	now := p.clock()
	return now-expiredAt < maxGrantExtension && p.storeStatus.allUnserved(now, p.members.livePeers())
}
