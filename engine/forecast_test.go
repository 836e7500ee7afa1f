package engine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// countedAnew is forecast without its sums: after each release all workers are counted.
func countedAnew(r *round, u *unit, set *domain) time.Duration {
	f := newOutlook(r, u, set)
	defer f.close()
	count := func() int {
		n := 0
		for i := range f.workers {
			n += max(0, perWorker(u.spec(), u.demand().CountFitting(f.room[i], u.size)))
		}
		return n
	}
	if count() >= u.size {
		return 0
	}
	for _, rel := range set.releases(r) {
		at := slices.Index(f.workers, rel.worker)
		f.room[at] = f.room[at].Add(rel.room)
		if count() >= u.size {
			return rel.at
		}
	}
	return never
}

// The sums that a forecast keeps up must say what counting all workers after each release
// says, also where claims leave less than nothing free on a worker.
func TestForecastIsAsIfCountedAnew(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := newDesk(t, 6)
		for range 20 {
			step := tasks(1+rng.IntN(3), 1+rng.IntN(8))
			step.Estimate = time.Duration(1+rng.IntN(9000)) * time.Millisecond
			step.MaxPerWorker = rng.IntN(3)
			d.job(1+rng.IntN(2), "", step)
			d.settle()
			d.now += time.Duration(rng.IntN(30)) * time.Millisecond
		}
		r := d.e.newRound(d.now)
		r.all.workers[0].round.claimed = workload.Resources{Accelerators: rng.IntN(12)}
		for _, size := range []int{1, 2, 5, 11} {
			step := gang(size, 1+rng.IntN(8))
			step.MaxPerWorker = rng.IntN(3)
			id := d.job(0, "", step)
			u := d.e.jobs[id].units[0]
			at, slots := r.forecast(u, r.all, never)
			c.Assert(at, qt.Equals, countedAnew(r, u, r.all), qt.Commentf("seed %d size %d", seed, size))
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
