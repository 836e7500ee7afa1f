package engine

import (
	"fmt"
	"time"
)

// claimSlack is how much longer than a stop may take room is kept for the unit that
// it was emptied for.
const claimSlack = 1500 * time.Millisecond

// evictPause is the pause between two searches for victims for the same unit. What a search
// found too dear stays so, since work only grows, until something else is placed; a search
// looks at all that runs, and in a burst most of a round's cost was searches in vain.
const evictPause = 50 * time.Millisecond

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
	u.evictNext = r.now + evictPause
	near := r.near(u)
	best := r.cheapest(u, near)
	if best == nil && !near.anywhere && r.protected[u.job] {
		best = r.cheapest(u, r.everywhere())
	}
	if best == nil || !r.pays(u, best, near) {
		return false
	}
	for _, v := range best.victims {
		r.e.decided(v.places[0], "evict", fmt.Sprintf("for %s, %.0f core-seconds lost of all its victims", u.job.spec.ID, best.cost))
		r.stopAll(v, CauseEvicted)
	}
	u.claims = best.slots
	u.claimedAt = r.now
	r.countClaims(u, 1)
	return true
}

// reclaimMargin is kept from the time in which a guaranteed job has to start, for what
// follows the stop: the record, the order and a report that comes late.
const reclaimMargin = 700 * time.Millisecond

// pays says whether an eviction is better than waiting.
func (r *round) pays(u *unit, way *eviction, near domains) bool {
	if r.reclaims(u) {
		return true
	}
	policy := &r.e.params.Policy
	if !policy.Evictions {
		return false
	}
	wait := never
	for _, set := range near.sets {
		at, _ := r.forecast(u, set, never)
		wait = min(wait, at)
	}
	slack := r.e.objective(u.job) - r.now - r.e.estimate(u)
	if wait <= max(r.e.tracker.stop, time.Duration(policy.EvictionWait*float64(slack))) {
		return false
	}
	own := u.total().CoreEquivalent() * r.e.estimate(u).Seconds()
	if r.now+wait+r.e.estimate(u) > r.e.useless(u.job) {
		own *= lateFactor
	}
	return way.cost <= policy.EvictionWorth*own
}

// cheapest returns the eviction that throws the least work away.
func (r *round) cheapest(u *unit, d domains) *eviction {
	var best *eviction
	for _, set := range d.sets {
		if way := r.evictions(u, set); way != nil && (best == nil || way.cost < best.cost) {
			best = way
		}
	}
	return best
}

// evictions makes room for the members of u one by one, each time on the worker where
// that throws the least work away.
func (r *round) evictions(u *unit, set *domain) *eviction {
	c := r.newClearing(u, set)
	defer c.close()
	out := &eviction{slots: map[*worker]int{}}
	for range u.size {
		site, way := c.next()
		if site == nil {
			return nil
		}
		c.take(site, way)
		out.victims = append(out.victims, way.victims...)
		out.cost += way.cost
		out.slots[site.worker]++
	}
	return out
}

// yields says whether v may be evicted for u: work of lower priority always, work of
// the first priority only beyond its account's guarantee, for work within one that would
// otherwise start too late for it.
func (r *round) yields(v, u *unit) bool {
	if !v.mayStop(0) {
		return false
	}
	if v.job.spec.QueuePolicy.Priority > u.job.spec.QueuePolicy.Priority {
		return true
	}
	return r.reclaims(u) && !r.protected[v.job]
}

// reclaims says whether u, within its account's guarantee, has to have its room emptied now.
func (r *round) reclaims(u *unit) bool {
	return r.protected[u.job] && r.now+r.e.params.StopTime+reclaimMargin >= u.since+r.e.params.MaxReclaimWait
}

// waste returns the work lost by stopping u now, in core-seconds.
func (e *Engine) waste(now time.Duration, u *unit) float64 {
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

// stopAll is Engine.stopAll within a round.
func (r *round) stopAll(u *unit, cause Cause) {
	for _, p := range u.places {
		r.changed(p.worker)
	}
	r.e.stopAll(r.now, u, cause)
}

func (e *Engine) dropClaims(u *unit) { u.claims = nil }

// dropWorkerClaims drops the claims on a worker that is gone.
func (e *Engine) dropWorkerClaims(w *worker) {
	for _, j := range e.sequence {
		for _, u := range j.units {
			if u.claims[w] > 0 {
				e.dropClaims(u)
			}
		}
	}
}

// leave moves work off workers that drain: what can't end before the worker leaves is
// stopped now, so that it saves its checkpoint and starts elsewhere sooner.
func (e *Engine) leave(r *round) {
	if !e.params.Policy.DrainMoves {
		return
	}
	for _, w := range e.sortedWorkers() {
		if !w.draining || !w.attached {
			continue
		}
		left := w.leavesAt - r.now
		for _, p := range w.sortedPlaces() {
			if p.stopping || p.unit.ending() || p.state != placeRunning {
				continue
			}
			if e.remaining(r.now, p) <= left {
				continue
			}
			if p.unit.spec().Checkpoints && left > 2*e.params.StopTime && !r.elsewhere(p.unit) {
				continue // it goes on saving here until there is room
			}
			e.decided(p, "move", "the worker leaves")
			r.stopAll(p.unit, CauseDrained)
		}
	}
}

// elsewhere says whether u could start on other workers now.
func (r *round) elsewhere(u *unit) bool {
	at, slots := r.forecast(u, r.all, 0)
	return slots != nil && at == 0
}
