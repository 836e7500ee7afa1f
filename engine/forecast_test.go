package engine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// naiveForecast computes forecastFit's delay by counting all workers after each release.
func naiveForecast(r *round, u *unit, set *domain) time.Duration {
	f := newFitForecast(r, u, set)
	defer f.close()
	count := func() int {
		n := 0
		for i := range f.workers {
			n += max(0, capPerWorker(u.spec(), u.demand().CountFitting(f.freeCapacity[i], u.size)))
		}
		return n
	}
	if count() >= u.size {
		return 0
	}
	for _, rel := range set.upcomingReleases(r) {
		index := slices.Index(f.workers, rel.worker)
		f.freeCapacity[index] = f.freeCapacity[index].Add(rel.freed)
		if count() >= u.size {
			return rel.at
		}
	}
	return never
}

// forecastFit must return the same as naiveForecast, also if claims exceed the free capacity of a
// worker.
func TestForecastMatchesNaiveForecast(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := newDriver(t, 6)
		for range 20 {
			step := taskStep(1+rng.IntN(3), 1+rng.IntN(8))
			step.Estimate = time.Duration(1+rng.IntN(9000)) * time.Millisecond
			step.MaxPerWorker = rng.IntN(3)
			d.submit(1+rng.IntN(2), "", step)
			d.settle()
			d.now += time.Duration(rng.IntN(30)) * time.Millisecond
		}
		r := d.e.newRound(d.now)
		r.usable.workers[0].round.claimed = workload.Resources{Accelerators: rng.IntN(12)}
		for _, size := range []int{1, 2, 5, 11} {
			step := gangStep(size, 1+rng.IntN(8))
			step.MaxPerWorker = rng.IntN(3)
			id := d.submit(0, "", step)
			u := d.e.jobs[id].units[0]
			at, slots := r.forecastFit(u, r.usable, never)
			c.Assert(at, qt.Equals, naiveForecast(r, u, r.usable), qt.Commentf("seed %d size %d", seed, size))
			placed := 0
			for _, n := range slots {
				placed += n
			}
			if at != never {
				c.Assert(placed, qt.Equals, size)
			}
		}
	}
}
