package engine

import "time"

// EarlierGrantsBounded tells that no previous planner has granted a worker's lease after Until, on the
// clock of the engine. It lowers what New was told; a later time changes nothing.
type EarlierGrantsBounded struct{ Until time.Duration }

func (EarlierGrantsBounded) isEvent() {}

// inheritedLeaseEnd returns by when every lease that previous planners granted has certainly expired.
func (e *Engine) inheritedLeaseEnd() time.Duration {
	return e.params.leaseExpiry(e.startedAt + e.inheritedLeaseExtra)
}

// boundEarlierGrants lowers the end of the leases that are assumed, or recorded as a predecessor assumed them, and the time of the last calls that
// previous planners can have ordered under them.
func (e *Engine) boundEarlierGrants(until time.Duration) {
	extra := max(0, until-e.startedAt)
	if extra >= e.inheritedLeaseExtra {
		return
	}
	e.inheritedLeaseExtra = extra
	end := e.inheritedLeaseEnd()
	for _, w := range e.sortedWorkers() {
		if w.leaseBasis == LeaseAssumed || w.leaseBasis == LeaseRecorded {
			w.leaseExpiresAt = min(w.leaseExpiresAt, end)
		}
		for _, p := range w.placements {
			if p.adopted && p.orderedTo == 0 && !p.startSettled() {
				p.lastCallBy = min(p.lastCallBy, end)
			}
		}
	}
}
