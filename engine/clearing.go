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
	c := &victimSearch{round: r, unit: u, costs: map[*unit]float64{}, chosen: map[*unit]bool{}}
	for _, w := range set.workers {
		if r.eligible(u, w) && !w.health.paused(r.now) && r.admits(u, w) {
			w.round.at = len(c.workers)
			c.workers = append(c.workers, c.listCandidates(w))
		}
	}
	return c
}

// close forgets the workers' places in the clearing.
func (c *victimSearch) close() {
	for _, s := range c.workers {
		s.worker.round.at = -1
	}
}

// listCandidates counts what is free on a worker, or about to be, and who could make room.
func (c *victimSearch) listCandidates(w *worker) *workerVictims {
	s := &workerVictims{worker: w, free: w.free().Sub(w.round.claimed)}
	for _, p := range w.sortedPlaces() {
		if p.stopping || p.unit.state != unitActive || p.unit.ending() {
			s.free = s.free.Add(p.demand)
			continue
		}
		if c.round.mayEvict(p.unit, c.unit) && !slices.Contains(s.candidates, p.unit) {
			s.candidates = append(s.candidates, p.unit)
			c.computeCost(p.unit)
		}
	}
	slices.SortStableFunc(s.candidates, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(c.costs[a], c.costs[b]),
			cmp.Compare(b.job.spec.QueuePolicy.Priority, a.job.spec.QueuePolicy.Priority),
		)
	})
	return s
}

// computeCost notes what evicting a unit throws away; a gang stands on many workers and is
// counted once.
func (c *victimSearch) computeCost(u *unit) {
	if _, known := c.costs[u]; !known {
		c.costs[u] = c.round.e.lostWork(c.round.now, u)
	}
}

// next returns the worker on which one more member fits at the least cost, and who has to
// go for it: nil where there is none.
func (c *victimSearch) next() (*workerVictims, victimChoice) {
	var best *workerVictims
	for _, s := range c.workers {
		if !s.choiceValid {
			s.choice, s.choiceValid = c.chooseVictims(s), true
		}
		if s.choice.ok && (best == nil || s.choice.cost < best.choice.cost) {
			best = s
		}
	}
	if best == nil {
		return nil, victimChoice{}
	}
	return best, best.choice
}

// chooseVictims finds victims on a worker so that one more member fits: the cheapest first, then
// those that turned out needless are spared, the dearest first.
func (c *victimSearch) chooseVictims(s *workerVictims) victimChoice {
	w := s.worker
	if c.round.e.bounded(c.unit, w, s.placed+1) < s.placed+1 {
		return victimChoice{}
	}
	need, room := c.unit.demand(), s.free
	var victims []*unit
	for _, v := range s.candidates {
		if need.FitsIn(room) {
			break
		}
		if c.chosen[v] || !v.mayStop(countSameStep(maps.Keys(c.chosen), v)+countSameStep(slices.Values(victims), v)) {
			continue
		}
		room = room.Add(heldOn(v, w))
		victims = append(victims, v)
	}
	if !need.FitsIn(room) {
		return victimChoice{}
	}
	cost := 0.0
	for i := len(victims) - 1; i >= 0; i-- {
		without := room.Sub(heldOn(victims[i], w))
		if need.FitsIn(without) {
			room = without
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		cost += c.costs[victims[i]]
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
func (c *victimSearch) commit(s *workerVictims, w victimChoice) {
	for _, v := range w.victims {
		c.chosen[v] = true
		for _, p := range v.places {
			if at := p.worker.round.at; at >= 0 {
				c.workers[at].free = c.workers[at].free.Add(p.demand)
				c.workers[at].choiceValid = false
			}
		}
		if v.spec().LongRunning {
			c.invalidateAll() // others of its step may not be stopped any more
		}
	}
	s.free = s.free.Sub(c.unit.demand())
	s.placed++
	s.choiceValid = false
}

// invalidateAll makes next look at all workers anew.
func (c *victimSearch) invalidateAll() {
	for _, s := range c.workers {
		s.choiceValid = false
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
