package engine

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// victimSearch finds victims whose eviction frees enough capacity for a unit, one member at a
// time. At most one search is open at a time, as it uses worker.round.index.
type victimSearch struct {
	round   *round
	unit    *unit
	workers []*workerVictims
	costs   map[*unit]float64
	chosen  map[*unit]bool
}

// workerVictims is the state of one worker in a victimSearch.
type workerVictims struct {
	worker *worker
	free   workload.Resources
	placed int
	// candidates are the units that may be evicted, the cheapest first.
	candidates []*unit
	// choice holds the victims for one more member; it is valid only if choiceValid is set.
	choice      victimChoice
	choiceValid bool
}

// victimChoice is a set of victims that frees capacity for one more member on one worker.
type victimChoice struct {
	victims []*unit
	cost    float64
	ok      bool
}

// newVictimSearch starts a search on the workers of set where u may run.
func (r *round) newVictimSearch(u *unit, set *domain) *victimSearch {
	r.speedChoice(u) // may need a forecast, which uses worker.round.index too
	search := &victimSearch{round: r, unit: u, costs: map[*unit]float64{}, chosen: map[*unit]bool{}}
	for _, w := range set.workers {
		if r.eligible(u, w) && !w.health.paused(r.now) && r.admits(u, w) {
			w.round.index = len(search.workers)
			search.workers = append(search.workers, search.listCandidates(w))
		}
	}
	return search
}

// close clears the workers' indexes in the search.
func (search *victimSearch) close() {
	for _, wv := range search.workers {
		wv.worker.round.index = -1
	}
}

// listCandidates determines a worker's free capacity, including what is about to be freed, and
// the units there that may be evicted.
func (search *victimSearch) listCandidates(w *worker) *workerVictims {
	wv := &workerVictims{worker: w, free: w.free().Sub(w.round.claimed)}
	for _, p := range w.sortedPlacements() {
		if p.stopping || p.unit.state != unitActive || p.unit.ending() {
			wv.free = wv.free.Add(p.demand)
			continue
		}
		if search.round.mayEvict(p.unit, search.unit) && !slices.Contains(wv.candidates, p.unit) {
			wv.candidates = append(wv.candidates, p.unit)
			search.computeCost(p.unit)
		}
	}
	slices.SortStableFunc(wv.candidates, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(search.costs[a], search.costs[b]),
			cmp.Compare(b.job.spec.QueuePolicy.Priority, a.job.spec.QueuePolicy.Priority),
		)
	})
	return wv
}

// computeCost stores the work that is lost by evicting a unit. A gang is counted once, though it
// runs on several workers.
func (search *victimSearch) computeCost(u *unit) {
	if _, known := search.costs[u]; !known {
		search.costs[u] = search.round.e.lostWork(search.round.now, u)
	}
}

// next returns the worker where one more member can be placed at the least cost and the victims
// to evict there, or nil if there is none.
func (search *victimSearch) next() (*workerVictims, victimChoice) {
	var best *workerVictims
	for _, wv := range search.workers {
		if !wv.choiceValid {
			wv.choice, wv.choiceValid = search.chooseVictims(wv), true
		}
		if wv.choice.ok && (best == nil || wv.choice.cost < best.choice.cost) {
			best = wv
		}
	}
	if best == nil {
		return nil, victimChoice{}
	}
	return best, best.choice
}

// chooseVictims chooses victims on a worker so that one more member fits. It adds the cheapest
// units until the member fits, then drops those that are not needed, the costliest first.
func (search *victimSearch) chooseVictims(wv *workerVictims) victimChoice {
	w := wv.worker
	if search.round.e.limitPerWorker(search.unit, w, wv.placed+1) < wv.placed+1 {
		return victimChoice{}
	}
	need, free := search.unit.demand(), wv.free
	var victims []*unit
	for _, v := range wv.candidates {
		if need.FitsIn(free) {
			break
		}
		if search.chosen[v] || !v.mayStop(countSameStep(maps.Keys(search.chosen), v)+countSameStep(slices.Values(victims), v)) {
			continue
		}
		free = free.Add(heldOn(v, w))
		victims = append(victims, v)
	}
	if !need.FitsIn(free) {
		return victimChoice{}
	}
	cost := 0.0
	for i := len(victims) - 1; i >= 0; i-- {
		freeWithout := free.Sub(heldOn(victims[i], w))
		if need.FitsIn(freeWithout) {
			free = freeWithout
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		cost += search.costs[victims[i]]
	}
	return victimChoice{victims, cost, true}
}

// countSameStep returns how many of the units belong to v's step; 0 if the step is not long-running.
func countSameStep(units iter.Seq[*unit], v *unit) int {
	if !v.spec().LongRunning {
		return 0 // only long-running steps have a limit
	}
	n := 0
	for o := range units {
		if o.key() == v.key() {
			n++
		}
	}
	return n
}

// commit places a member on a worker and marks the victims as chosen. An evicted gang frees
// capacity on all its workers.
func (search *victimSearch) commit(wv *workerVictims, choice victimChoice) {
	for _, v := range choice.victims {
		search.chosen[v] = true
		for _, p := range v.placements {
			if index := p.worker.round.index; index >= 0 {
				search.workers[index].free = search.workers[index].free.Add(p.demand)
				search.workers[index].choiceValid = false
			}
		}
		if v.spec().LongRunning {
			search.invalidateAll() // its step may have reached MaxUnavailable
		}
	}
	wv.free = wv.free.Sub(search.unit.demand())
	wv.placed++
	wv.choiceValid = false
}

// invalidateAll discards the computed choices of all workers.
func (search *victimSearch) invalidateAll() {
	for _, wv := range search.workers {
		wv.choiceValid = false
	}
}

// heldOn returns the capacity that a unit holds on a worker.
func heldOn(u *unit, w *worker) workload.Resources {
	var sum workload.Resources
	for _, p := range u.placements {
		if p.worker == w {
			sum = sum.Add(p.demand)
		}
	}
	return sum
}
