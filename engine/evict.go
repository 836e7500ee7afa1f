package engine

import (
	"fmt"
	"time"
)

// claimGrace is how much longer than a stop may take room is kept for the unit that
// it was emptied for.
const claimGrace = 1500 * time.Millisecond

// evictRetryInterval is the pause between two searches for victims for the same unit. What a search
// found too dear stays so, since work only grows, until something else is placed; a search
// looks at all that runs, and in a burst most of a round's cost was searches in vain.
const evictRetryInterval = 50 * time.Millisecond

// eviction is a way to make room for a unit.
type eviction struct {
	victims []*unit
	cost    float64 // core-seconds thrown away
	slots   map[*worker]int
}

// evict stops work of lower rank so that u can start, and keeps the room for it. It
// returns whether room is on its way.
//
// It evicts only where waiting would cost more: room that frees by itself while u can
// still meet its objective is waited for, and no more work is thrown away than u itself
// is, unless its account's guarantee would be broken or u would come far too late.
func (r *round) evict(u *unit) bool {
	if u.job.spec.QueuePolicy.Priority != 0 || r.e.gathering(r.now) {
		return false
	}
	if len(u.claims) > 0 {
		return true // its room is being emptied already
	}
	if r.now < u.evictNext {
		return false
	}
	u.evictNext = r.now + evictRetryInterval
	preferred := r.preferredDomains(u)
	best := r.cheapestEviction(u, preferred)
	if best == nil && !preferred.anywhere && r.protected[u.job] {
		best = r.cheapestEviction(u, r.allDomains())
	}
	if best == nil || !r.worthEvicting(u, best, preferred) {
		return false
	}
	for _, v := range best.victims {
		r.e.logDecision(v.places[0], "evict", fmt.Sprintf("for %s, %.0f core-seconds lost of all its victims", u.job.spec.ID, best.cost))
		r.stopUnit(v, CauseEvicted)
	}
	u.claims = best.slots
	u.claimedAt = r.now
	r.countClaims(u, 1)
	return true
}

// reclaimMargin is kept from the time in which a guaranteed job has to start, for what
// follows the stop: the record, the order and a report that comes late.
const reclaimMargin = 700 * time.Millisecond

// worthEvicting says whether an eviction is better than waiting.
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
	if wait <= max(r.e.tracker.stop, time.Duration(policy.EvictionWait*float64(slack))) {
		return false
	}
	ownWork := u.total().CoreEquivalent() * r.e.estimate(u).Seconds()
	if r.now+wait+r.e.estimate(u) > r.e.uselessFrom(u.job) {
		ownWork *= uselessAfterFactor
	}
	return plan.cost <= policy.EvictionWorth*ownWork
}

// cheapestEviction returns the eviction that throws the least work away.
func (r *round) cheapestEviction(u *unit, d domainSet) *eviction {
	var best *eviction
	for _, set := range d.domains {
		if plan := r.planEviction(u, set); plan != nil && (best == nil || plan.cost < best.cost) {
			best = plan
		}
	}
	return best
}

// planEviction makes room for the members of u one by one, each time on the worker where
// that throws the least work away.
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

// mayEvict says whether v may be evicted for u: work of lower priority always, work of
// the first priority only beyond its account's guarantee, for work within one that would
// otherwise start too late for it.
func (r *round) mayEvict(v, u *unit) bool {
	if !v.mayStop(0) {
		return false
	}
	if v.job.spec.QueuePolicy.Priority > u.job.spec.QueuePolicy.Priority {
		return true
	}
	return r.mustReclaim(u) && !r.protected[v.job]
}

// mustReclaim says whether u, within its account's guarantee, has to have its room emptied now.
func (r *round) mustReclaim(u *unit) bool {
	return r.protected[u.job] && r.now+r.e.params.StopTime+reclaimMargin >= u.since+r.e.params.MaxReclaimWait
}

// lostWork returns the work lost by stopping u now, in core-seconds.
func (e *Engine) lostWork(now time.Duration, u *unit) float64 {
	sum := 0.0
	for _, p := range u.places {
		if p.state != placeRunning {
			continue
		}
		lost := now - p.began
		if u.spec().Checkpoints {
			lost = e.params.RestoreTime
		}
		sum += p.demand.CoreEquivalent() * lost.Seconds()
	}
	return sum
}

// stopUnit is Engine.stopUnit within a round.
func (r *round) stopUnit(u *unit, cause Cause) {
	for _, p := range u.places {
		r.invalidateDomains(p.worker)
	}
	r.e.stopUnit(r.now, u, cause)
}

func (e *Engine) dropClaims(u *unit) { u.claims = nil }

// dropWorkerClaims drops the claims on a worker that is gone.
func (e *Engine) dropWorkerClaims(w *worker) {
	for _, j := range e.orderedJobs {
		for _, u := range j.units {
			if u.claims[w] > 0 {
				e.dropClaims(u)
			}
		}
	}
}

// moveOffDraining moves work off workers that drain: what can't end before the worker leaves is
// stopped now, so that it saves its checkpoint and starts elsewhere sooner.
func (e *Engine) moveOffDraining(r *round) {
	if !e.params.Policy.DrainMoves {
		return
	}
	for _, w := range e.sortedWorkers() {
		if !w.draining || !w.attached {
			continue
		}
		untilLeave := w.leavesAt - r.now
		for _, p := range w.sortedPlaces() {
			if p.stopping || p.unit.ending() || p.state != placeRunning {
				continue
			}
			if e.remaining(r.now, p) <= untilLeave {
				continue
			}
			if p.unit.spec().Checkpoints && untilLeave > 2*e.params.StopTime && !r.fitsElsewhere(p.unit) {
				continue // it goes on saving here until there is room
			}
			e.logDecision(p, "move", "the worker leaves")
			r.stopUnit(p.unit, CauseDrained)
		}
	}
}

// fitsElsewhere says whether u could start on other workers now.
func (r *round) fitsElsewhere(u *unit) bool {
	at, slots := r.forecastFit(u, r.all, 0)
	return slots != nil && at == 0
}
