package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crowdedDriver returns a driver whose workers are nearly full of mixed work, and a waiting
// unit.
func crowdedDriver(t *testing.T, rng *rand.Rand) (*driver, *unit) {
	d := newDriver(t, 9)
	for range 25 {
		step := taskStep(1+rng.IntN(4), 1+rng.IntN(4))
		step.Gang = rng.IntN(3) == 0
		step.Checkpoints = rng.IntN(2) == 0
		step.Estimate = time.Duration(1+rng.IntN(9000)) * time.Millisecond
		d.submit(1+rng.IntN(2), "", step)
		d.settle()
		d.now += time.Duration(rng.IntN(300)) * time.Millisecond
		for _, w := range d.e.sortedWorkers() {
			d.reportProgress(w.info.ID)
		}
	}
	step := gangStep(1+rng.IntN(6), 1+rng.IntN(8))
	step.MaxPerWorker = rng.IntN(3)
	id := d.submit(0, "", step)
	return d, d.e.jobs[id].units[0]
}

// evictionWithoutCache is like planEviction but examines all workers again after each member.
func evictionWithoutCache(r *round, u *unit, set *domain) (victims []*unit, cost float64, ok bool) {
	search := r.newVictimSearch(u, set)
	defer search.close()
	for range u.size {
		search.invalidateAll()
		best, choice := search.next()
		if best == nil {
			return nil, 0, false
		}
		search.commit(best, choice)
		victims = append(victims, choice.victims...)
		cost += choice.cost
	}
	return victims, cost, true
}

// Guards against decisions that change through the caching in the eviction search or the quick
// check for full domains.
func TestEvictionSearchCacheKeepsDecisions(t *testing.T) {
	c := qt.New(t)
	evictions, fullSets := 0, 0
	for seed := range uint64(300) {
		d, u := crowdedDriver(t, rand.New(rand.NewPCG(seed, 3)))
		r := d.e.newRound(d.now)
		r.pickHeadroomRacks()
		victims, cost, ok := evictionWithoutCache(r, u, r.usable)
		got := r.planEviction(u, r.usable)
		c.Assert(got != nil, qt.Equals, ok, qt.Commentf("seed %d", seed))
		if ok {
			evictions++
			c.Assert(got.cost, qt.Equals, cost, qt.Commentf("seed %d", seed))
			c.Assert(len(got.victims), qt.Equals, len(victims), qt.Commentf("seed %d", seed))
		}
		for _, set := range append([]*domain{r.usable}, r.racks["r0"], r.racks["r1"], r.racks["r2"]) {
			if !u.cannotFit(set) {
				continue
			}
			fullSets++
			slots := 0
			for _, w := range set.workers {
				slots += r.slots(u, w, r.availableFor(u, w))
			}
			c.Assert(slots < u.size, qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
	c.Check(evictions > 50 && fullSets > 50, qt.IsTrue, qt.Commentf("%d evictions, %d full domains", evictions, fullSets))
}
