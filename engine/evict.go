package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// claimSlack is how much longer than a stop may take room is kept for the unit that
// it was emptied for.
const claimSlack = 1500 * time.Millisecond

// eviction is a way to make room for a unit.
type eviction struct {
	victims []*unit
	cost    float64 // core-seconds thrown away
	slots   map[*worker]int
}

// evict stops work of lower rank so that u can start, where that is sooner than waiting,
// and keeps the room for it. It returns whether room is on its way.
func (r *round) evict(u *unit) bool {
	if u.job.spec.Terms.Priority != 0 {
		return false
	}
	if len(u.claims) > 0 {
		return true // its room is being emptied already
	}
	near := r.near(u)
	best := r.cheapest(u, near)
	if best == nil && !near.anywhere && r.protected[u.job] {
		best = r.cheapest(u, domains{sets: [][]*worker{r.workers}, anywhere: true})
	}
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		r.e.decided(v.places[0], "evict", "for "+string(u.job.spec.ID))
		r.e.stopAll(r.now, v)
	}
	u.claims = best.slots
	u.claimedAt = r.now
	for w, n := range best.slots {
		r.claimed[w] = r.claimed[w].Add(u.demand().Times(n))
	}
	return true
}

func (r *round) cheapest(u *unit, d domains) *eviction {
	var best *eviction
	for _, set := range d.sets {
		if r.earliest(u, set) <= r.e.params.StopTime {
			return r.wait(u, set)
		}
		if way := r.evictions(u, set); way != nil && (best == nil || way.cost < best.cost) {
			best = way
		}
	}
	return best
}

// wait claims room that becomes free by itself as soon as an eviction could free any.
func (r *round) wait(u *unit, set []*worker) *eviction {
	_, slots := r.forecast(u, set)
	return &eviction{slots: slots}
}

// evictions returns the cheapest way found to make u fit on a set: victims are added
// by cost until it fits, then those that turned out needless are spared, dearest first.
func (r *round) evictions(u *unit, set []*worker) *eviction {
	room := map[*worker]workload.Resources{}
	candidates := map[*unit]float64{}
	for _, w := range set {
		if !r.eligible(u, w) || w.health.resting(r.now) {
			continue
		}
		room[w] = w.free().Sub(r.claimed[w])
		for _, p := range w.places {
			if p.stopping || p.unit.state != unitActive || p.unit.ending() {
				room[w] = room[w].Add(p.demand)
				continue
			}
			if r.yields(p.unit, u) {
				candidates[p.unit] = r.e.waste(r.now, p.unit)
			}
		}
	}
	order := make([]*unit, 0, len(candidates))
	for v := range candidates {
		order = append(order, v)
	}
	slices.SortFunc(order, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(b.job.spec.Terms.Priority, a.job.spec.Terms.Priority),
			cmp.Compare(candidates[a], candidates[b]),
			cmp.Compare(a.job.order, b.job.order),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	chosen := r.until(u, room, order)
	if chosen == nil {
		return nil
	}
	return r.spare(u, room, chosen, candidates)
}

// until adds victims in order until u fits. It returns nil where it never does.
func (r *round) until(u *unit, room map[*worker]workload.Resources, order []*unit) []*unit {
	for i, v := range order {
		r.empty(room, v, 1)
		if r.slotsIn(u, room) != nil {
			return order[:i+1]
		}
	}
	return nil
}

func (r *round) spare(u *unit, room map[*worker]workload.Resources, chosen []*unit, cost map[*unit]float64) *eviction {
	out := &eviction{}
	for i := len(chosen) - 1; i >= 0; i-- {
		r.empty(room, chosen[i], -1)
		if r.slotsIn(u, room) != nil {
			continue
		}
		r.empty(room, chosen[i], 1)
		out.victims = append(out.victims, chosen[i])
		out.cost += cost[chosen[i]]
	}
	out.slots = r.slotsIn(u, room)
	return out
}

// empty adds what a victim holds to the room, or takes it back.
func (r *round) empty(room map[*worker]workload.Resources, v *unit, sign int) {
	for _, p := range v.places {
		if have, ok := room[p.worker]; ok {
			room[p.worker] = have.Add(p.demand.Times(sign))
		}
	}
}

// yields says whether v may be evicted for u: work of lower priority always, work of
// the first priority only beyond its account's guarantee and for work within one.
func (r *round) yields(v, u *unit) bool {
	if v.spec().LongRunning && v.spec().MayMiss == 0 && v.job.spec.Terms.Priority == 0 {
		return false
	}
	if v.job.spec.Terms.Priority > u.job.spec.Terms.Priority {
		return true
	}
	return r.protected[u.job] && !r.protected[v.job]
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
			lost = e.params.Restore
		}
		sum += p.demand.Cores() * lost.Seconds()
	}
	return sum
}

func (e *Engine) dropClaims(u *unit) { u.claims = nil }

// dropWorkerClaims drops the claims on a worker that is gone.
func (e *Engine) dropWorkerClaims(w *worker) {
	for _, j := range e.sequence {
		for _, u := range j.units {
			if u.claims[w] > 0 {
				u.claims = nil
			}
		}
	}
}

// leave moves work off workers that drain: what can't end before the worker leaves is
// stopped now, so that it saves its checkpoint and starts elsewhere sooner.
func (e *Engine) leave(r *round) {
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
			e.stopAll(r.now, p.unit)
		}
	}
}

// elsewhere says whether u could start on other workers now.
func (r *round) elsewhere(u *unit) bool {
	_, slots := r.forecast(u, r.workers)
	return slots != nil && r.earliest(u, r.workers) == 0
}
