package engine

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// victimSearch is room on a set of workers as it grows while victims are chosen. One is open at
// a time.
type victimSearch struct {
	round   *round
	unit    *unit
	workers []*workerVictims
	costs   map[*unit]float64
	chosen  map[*unit]bool
}

// workerVictims is one worker of a clearing.
type workerVictims struct {
	worker *worker
	free   workload.Resources
	placed int
	// candidates are units that may be evicted, the cheapest first.
	candidates []*unit
	// choice is how one more member would get its room, as far as known.
	choice      victimChoice
	choiceValid bool
}

// victimChoice is a victimChoice to make room for one more member on one worker.
type victimChoice struct {
	victims []*unit
	cost    float64
	ok      bool
}

func (r *round) newVictimSearch(u *unit, set *domain) *victimSearch {
	search := &victimSearch{round: r, unit: u, costs: map[*unit]float64{}, chosen: map[*unit]bool{}}
	for _, w := range set.workers {
		if r.eligible(u, w) && !w.health.paused(r.now) && r.admits(u, w) {
			w.round.at = len(search.workers)
			search.workers = append(search.workers, search.listCandidates(w))
		}
	}
	return search
}

// close forgets the workers' places in the clearing.
func (search *victimSearch) close() {
	for _, wv := range search.workers {
		wv.worker.round.at = -1
	}
}

// listCandidates counts what is free on a worker, or about to be, and who could make room.
func (search *victimSearch) listCandidates(w *worker) *workerVictims {
	wv := &workerVictims{worker: w, free: w.free().Sub(w.round.claimed)}
	for _, p := range w.sortedPlaces() {
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

// computeCost notes what evicting a unit throws away; a gang stands on many workers and is
// counted once.
func (search *victimSearch) computeCost(u *unit) {
	if _, known := search.costs[u]; !known {
		search.costs[u] = search.round.e.lostWork(search.round.now, u)
	}
}

// next returns the worker on which one more member fits at the least cost, and who has to
// go for it: nil where there is none.
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

// chooseVictims finds victims on a worker so that one more member fits: the cheapest first, then
// those that turned out needless are spared, the dearest first.
func (search *victimSearch) chooseVictims(wv *workerVictims) victimChoice {
	w := wv.worker
	if search.round.e.bounded(search.unit, w, wv.placed+1) < wv.placed+1 {
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

// countSameStep returns how many of the units are of v's step.
func countSameStep(units iter.Seq[*unit], v *unit) int {
	if !v.spec().LongRunning {
		return 0 // nothing bounds how many of them may be away
	}
	n := 0
	for o := range units {
		if o.key() == v.key() {
			n++
		}
	}
	return n
}

// commit gives a member its room on a worker. A victim gang makes room on all its workers.
func (search *victimSearch) commit(wv *workerVictims, choice victimChoice) {
	for _, v := range choice.victims {
		search.chosen[v] = true
		for _, p := range v.places {
			if at := p.worker.round.at; at >= 0 {
				search.workers[at].free = search.workers[at].free.Add(p.demand)
				search.workers[at].choiceValid = false
			}
		}
		if v.spec().LongRunning {
			search.invalidateAll() // others of its step may not be stopped any more
		}
	}
	wv.free = wv.free.Sub(search.unit.demand())
	wv.placed++
	wv.choiceValid = false
}

// invalidateAll makes next look at all workers anew.
func (search *victimSearch) invalidateAll() {
	for _, wv := range search.workers {
		wv.choiceValid = false
	}
}

// heldOn is what a unit holds on one worker.
func heldOn(u *unit, w *worker) workload.Resources {
	var sum workload.Resources
	for _, p := range u.places {
		if p.worker == w {
			sum = sum.Add(p.demand)
		}
	}
	return sum
}
