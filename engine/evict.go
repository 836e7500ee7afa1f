package engine

import (
	"fmt"
	"time"
)

// claimGrace is how much longer than Params.StopTime capacity is kept for the unit for which
// it was freed.
const claimGrace = 1500 * time.Millisecond

// evictRetryInterval is the minimum time between two victim searches for the same unit. A search
// examines all running units, and the cost of evicting them only grows while they run.
const evictRetryInterval = 50 * time.Millisecond

// eviction is a set of victims whose capacity suffices for a unit.
type eviction struct {
	victims []*unit
	cost    float64 // lost work in core-seconds
	slots   map[*worker]int
}

// evict stops victims so that u can start, and claims their capacity for u, or places u on workers
// beyond its speed limit if its guarantee requires that. It reports whether u is placed or
// capacity is being freed for it. Unless an account's guarantee is about to be broken, it evicts
// only if capacity is not expected to become free soon (see Policy.EvictionWaitShare) and if the
// victims lose at most Policy.EvictionCostFactor times u's own work, which counts more if the
// job would end far too late. A unit whose job can't be of use any more evicts only for a guarantee.
func (r *round) evict(u *unit) bool {
	if u.job.spec.QueuePolicy.Priority != 0 || r.e.awaitingRecordedWorkers(r.now) {
		return false
	}
	if len(u.claims) > 0 {
		r.renewTickets(u)
		return true // victims are being stopped already
	}
	if r.e.adviceCall != nil && r.ticketDelay(u) > 0 {
		return false // victims are chosen among the workers of the tickets
	}
	if u.queueClass == classUseless && !r.mustReclaim(u) {
		return false
	}
	if r.now < u.nextEvictionSearch {
		return false
	}
	u.nextEvictionSearch = r.now + evictRetryInterval
	best, preferred := r.findEviction(u)
	if best == nil && r.mustReclaim(u) && r.allowAnySpeed(u) {
		// The guarantee goes before the objective.
		if workers := r.findWorkers(u); workers != nil {
			r.placeOrAwaitTickets(u, workers)
			return true
		}
		best, preferred = r.findEviction(u)
	}
	if best == nil || !r.worthEvicting(u, best, preferred) {
		return false
	}
	if lacking := r.withoutTicket(u, sortedWorkersOf(best.slots)); len(lacking) > 0 {
		r.needs.add(u, lacking)
		return false // denied workers would be emptied in vain
	}
	for _, v := range best.victims {
		r.e.logDecision(v.placements[0], "evict", fmt.Sprintf("to free capacity for job %s; all its victims lose %.0f core-seconds", u.job.spec.ID, best.cost))
		r.stopUnit(v, CauseEvicted)
	}
	u.claims = best.slots
	u.claimedAt = r.now
	r.applyClaims(u, 1)
	return true
}

// renewTickets records that u needs tickets for the workers where victims are being stopped, if those it
// has will not be usable when these have ended.
func (r *round) renewTickets(u *unit) {
	if u.needsTicket() {
		ended := max(r.now, u.claimedAt+r.e.tracker.stopTime)
		if lacking := u.withoutTicketAt(ended, sortedWorkersOf(u.claims)); len(lacking) > 0 {
			r.needs.add(u, lacking)
		}
	}
}

// findEviction returns the cheapest eviction for u, or nil if there is none, and the preferred domains.
func (r *round) findEviction(u *unit) (*eviction, domainSet) {
	preferred := r.preferredDomains(u)
	best := r.cheapestEviction(u, preferred)
	if best == nil && !preferred.anywhere && r.protected[u.job] {
		best = r.cheapestEviction(u, r.allDomains())
	}
	return best, preferred
}

// reclaimMargin is subtracted from the time by which a guaranteed job must start, since after
// the victims have stopped the placement is stored and ordered, and a report may come late.
const reclaimMargin = 700 * time.Millisecond

// worthEvicting reports whether evicting is better than waiting for capacity.
func (r *round) worthEvicting(u *unit, plan *eviction, preferred domainSet) bool {
	if r.mustReclaim(u) {
		return true
	}
	policy := &r.e.params.Policy
	if !policy.Evictions {
		return false
	}
	wait := never
	for _, set := range preferred.domains {
		at, _ := r.forecastFit(u, set, never)
		wait = min(wait, at)
	}
	slack := r.e.objective(u.job) - r.now - r.e.estimate(u)
	if wait <= max(r.e.tracker.stopTime, time.Duration(policy.EvictionWaitShare*float64(slack))) {
		return false
	}
	ownWork := u.totalDemand().CoreEquivalent() * r.e.estimate(u).Seconds()
	if r.now+wait+r.e.estimate(u) > r.e.uselessFrom(u.job) {
		ownWork *= uselessAfterFactor
	}
	return plan.cost <= policy.EvictionCostFactor*ownWork
}

// cheapestEviction returns the eviction that loses the least work, on workers that u has tickets for if
// there is one. It returns nil if there is none.
func (r *round) cheapestEviction(u *unit, d domainSet) *eviction {
	if u.needsTicket() {
		if plan := r.cheapestAmong(u, r.withTickets(u, d)); plan != nil {
			return plan
		}
	}
	return r.cheapestAmong(u, d)
}

// cheapestAmong returns the eviction in one of the domains that loses the least work, or nil if there is
// none.
func (r *round) cheapestAmong(u *unit, d domainSet) *eviction {
	var best *eviction
	for _, set := range d.domains {
		if plan := r.planEviction(u, set); plan != nil && (best == nil || plan.cost < best.cost) {
			best = plan
		}
	}
	return best
}

// planEviction chooses victims for the members of u one by one, each on the worker where that
// loses the least work. It returns nil if not all members can be placed.
func (r *round) planEviction(u *unit, set *domain) *eviction {
	search := r.newVictimSearch(u, set)
	defer search.close()
	plan := &eviction{slots: map[*worker]int{}}
	for range u.size {
		chosen, choice := search.next()
		if chosen == nil {
			return nil
		}
		search.commit(chosen, choice)
		plan.victims = append(plan.victims, choice.victims...)
		plan.cost += choice.cost
		plan.slots[chosen.worker]++
	}
	return plan
}

// mayEvict reports whether v may be evicted for u. It must be allowed to stop (see mayStop), and it
// must have a lower priority or, if u has to reclaim capacity for its account's guarantee, not be
// protected by a guarantee itself.
func (r *round) mayEvict(v, u *unit) bool {
	if !v.mayStop(0) {
		return false
	}
	if v.job.spec.QueuePolicy.Priority > u.job.spec.QueuePolicy.Priority {
		return true
	}
	return r.mustReclaim(u) && !r.protected[v.job]
}

// mustReclaim reports whether u is covered by its account's guarantee and its victims have to be
// stopped, or its tickets requested, now for it to start in time.
func (r *round) mustReclaim(u *unit) bool {
	return r.protected[u.job] && r.now+r.ticketDelay(u)+r.e.params.StopTime+reclaimMargin >= u.waitingSince+r.e.params.MaxReclaimWait
}

// lostWork returns the work lost by stopping u now, in core-seconds.
func (e *Engine) lostWork(now time.Duration, u *unit) float64 {
	sum := 0.0
	for _, p := range u.placements {
		if p.state != placementRunning {
			continue
		}
		lost := now - p.startedAt
		if u.spec().Checkpoints {
			lost = e.params.RestoreTime
		}
		sum += p.demand.CoreEquivalent() * lost.Seconds()
	}
	return sum
}

// stopUnit calls Engine.stopUnit and invalidates what the round has cached of the workers.
func (r *round) stopUnit(u *unit, cause Cause) {
	for _, p := range u.placements {
		r.invalidateDomains(p.worker)
	}
	r.e.stopUnit(r.now, u, cause)
}

func (e *Engine) dropClaims(u *unit) { u.claims = nil }

// dropWorkerClaims drops all claims on a worker that is gone.
func (e *Engine) dropWorkerClaims(w *worker) {
	for _, j := range e.orderedJobs {
		for _, u := range j.units {
			if u.claims[w] > 0 {
				e.dropClaims(u)
			}
		}
	}
}

// moveOffDraining stops runs on draining workers that can't end before the worker leaves, so that
// they save a checkpoint and start elsewhere sooner.
func (e *Engine) moveOffDraining(r *round) {
	if !e.params.Policy.DrainMoves {
		return
	}
	for _, w := range e.sortedWorkers() {
		if !w.draining || !w.attached {
			continue
		}
		untilLeave := w.leavesAt - r.now
		for _, p := range w.sortedPlacements() {
			if p.stopping || p.unit.ending() || p.state != placementRunning {
				continue
			}
			if p.unit.spec().LongRunning || e.remaining(r.now, p) <= untilLeave {
				continue // a long-running task serves its users until the worker leaves
			}
			if p.unit.spec().Checkpoints && untilLeave > 2*e.params.StopTime && !r.fitsElsewhere(p.unit) {
				continue // it makes progress here until it fits elsewhere
			}
			e.logDecision(p, "move", "the worker is draining and leaves before the run can end")
			r.stopUnit(p.unit, CauseDrained)
		}
	}
}

// fitsElsewhere reports whether u could start on other workers now.
func (r *round) fitsElsewhere(u *unit) bool {
	at, slots := r.forecastFit(u, r.usable, 0)
	return slots != nil && at == 0
}
