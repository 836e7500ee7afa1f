package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// capacityRelease is room that becomes free.
type capacityRelease struct {
	at     time.Duration
	worker *worker
	freed  workload.Resources
	// seq tells apart what becomes free at the same time.
	seq int
}

// domain is a set of workers within a round.
type domain struct {
	workers []*worker
	// upcoming are the releases expected there, the earliest first; known says whether they
	// are as the placements are now.
	upcoming      []capacityRelease
	upcomingValid bool
	// freeCount are the accelerators that nothing holds or claims, counted says whether they are
	// as the placements and claims are now.
	freeCount      int
	freeCountValid bool
}

// freeAccelerators returns the accelerators of the set that nothing holds or claims.
func (d *domain) freeAccelerators() int {
	if d.freeCountValid {
		return d.freeCount
	}
	d.freeCount = 0
	for _, w := range d.workers {
		d.freeCount += max(0, w.free().Accelerators-w.round.claimed.Accelerators)
	}
	d.freeCountValid = true
	return d.freeCount
}

// totalAccelerators returns how many the workers of the set have.
func (d *domain) totalAccelerators() int {
	sum := 0
	for _, w := range d.workers {
		sum += w.info.Capacity.Accelerators
	}
	return sum
}

// upcomingReleases returns what becomes free on the workers, the earliest first. They are the same
// for every unit that waits, and sorting them anew for each is a good part of a round's
// cost with hundreds of workers.
func (d *domain) upcomingReleases(r *round) []capacityRelease {
	if d.upcomingValid {
		return d.upcoming
	}
	d.upcoming = d.upcoming[:0]
	for _, w := range d.workers {
		for _, p := range w.sortedPlaces() {
			d.upcoming = append(d.upcoming, capacityRelease{r.e.remaining(r.now, p), w, p.demand, len(d.upcoming)})
		}
	}
	slices.SortFunc(d.upcoming, func(a, b capacityRelease) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	d.upcomingValid = true
	return d.upcoming
}

// invalidateDomains notes that the round has invalidateDomains the placements or the claims on a worker.
func (r *round) invalidateDomains(w *worker) {
	r.all.upcomingValid, r.all.freeCountValid = false, false
	if rack := r.racks[w.info.Rack]; rack != nil {
		rack.upcomingValid, rack.freeCountValid = false, false
	}
}

// forecastFit returns in how long u is expected to fit on the workers of a set, if nothing else
// is placed there, and on which of them; never where it does not fit within the limit.
//
// Each release changes what fits on its own worker only, so the sum over the set is kept up
// instead of being counted anew: with 300 workers and 1,000 waiting units that is most of
// what a round costs.
func (r *round) forecastFit(u *unit, set *domain, limit time.Duration) (time.Duration, map[*worker]int) {
	f := newFitForecast(r, u, set)
	defer f.close()
	if f.fits() {
		return 0, f.slots()
	}
	if limit <= 0 {
		return never, nil
	}
	for _, rel := range set.upcomingReleases(r) {
		if rel.at > limit {
			break
		}
		if rel.worker.round.at < 0 {
			continue // u may not run there
		}
		f.addRelease(rel)
		if f.fits() {
			return rel.at, f.slots()
		}
	}
	return never, nil
}

// fitForecast is the room for one unit on a set of workers as time passes. One is open at a
// time.
type fitForecast struct {
	unit         *unit
	demand       workload.Resources
	workers      []*worker // where u may run, in a fixed order
	freeCapacity []workload.Resources
	fitting      []int // how many members of u fit there
	total        int   // the sum of members
}

func newFitForecast(r *round, u *unit, set *domain) *fitForecast {
	f := &r.outlook
	*f = fitForecast{unit: u, demand: u.demand(), workers: f.workers[:0], freeCapacity: f.freeCapacity[:0], fitting: f.fitting[:0]}
	for _, w := range set.workers {
		if !r.eligible(u, w) {
			continue
		}
		w.round.at = len(f.workers)
		f.workers = append(f.workers, w)
		f.freeCapacity = append(f.freeCapacity, workload.Resources{})
		f.fitting = append(f.fitting, 0)
		f.setFree(w.round.at, w.free().Sub(w.round.claimed))
	}
	return f
}

// close forgets the workers' places in the outlook.
func (f *fitForecast) close() {
	for _, w := range f.workers {
		w.round.at = -1
	}
}

// setFree notes the room of the worker at a place.
func (f *fitForecast) setFree(index int, free workload.Resources) {
	n := max(0, perWorker(f.unit.spec(), f.demand.CountFitting(free, f.unit.size)))
	f.total += n - f.fitting[index]
	f.freeCapacity[index], f.fitting[index] = free, n
}

func (f *fitForecast) addRelease(rel capacityRelease) {
	index := rel.worker.round.at
	f.setFree(index, f.freeCapacity[index].Add(rel.freed))
}

func (f *fitForecast) fits() bool { return f.total >= f.unit.size }

// slots spreads u over the room there is.
func (f *fitForecast) slots() map[*worker]int {
	out := map[*worker]int{}
	left := f.unit.size
	for i, w := range f.workers {
		if n := min(left, f.fitting[i]); n > 0 {
			out[w] = n
			left -= n
		}
	}
	return out
}
