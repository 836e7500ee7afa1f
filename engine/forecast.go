package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// capacityRelease is capacity that becomes free after a delay.
type capacityRelease struct {
	at     time.Duration
	worker *worker
	freed  workload.Resources
	step   stepKey // of the run that ends
	// seq breaks ties between releases at the same time.
	seq int
}

// domain is a set of workers within a planning round, with cached values.
type domain struct {
	workers []*worker
	// upcoming are the expected releases, the earliest first. upcomingValid is set if they
	// match the current placements.
	upcoming      []capacityRelease
	upcomingValid bool
	// freeCount is the number of accelerators that are neither held nor claimed. freeCountValid is
	// set if it matches the current placements and claims.
	freeCount      int
	freeCountValid bool
	// freeFastCount is freeCount without slow workers.
	freeFastCount int
}

// freeAccelerators returns the number of accelerators that are neither held nor claimed.
func (d *domain) freeAccelerators() int {
	d.countFree()
	return d.freeCount
}

// freeFastAccelerators is freeAccelerators without slow workers.
func (d *domain) freeFastAccelerators() int {
	d.countFree()
	return d.freeFastCount
}

func (d *domain) countFree() {
	if d.freeCountValid {
		return
	}
	d.freeCount, d.freeFastCount = 0, 0
	for _, w := range d.workers {
		free := max(0, w.free().Accelerators-w.round.claimed.Accelerators)
		d.freeCount += free
		if !w.round.slow {
			d.freeFastCount += free
		}
	}
	d.freeCountValid = true
}

// totalFastAccelerators returns the number of accelerators of all workers in the domain that are
// not slow.
func (d *domain) totalFastAccelerators() int {
	sum := 0
	for _, w := range d.workers {
		if !w.round.slow {
			sum += w.info.Capacity.Accelerators
		}
	}
	return sum
}

// upcomingReleases returns the capacity that becomes free on the workers, the earliest first. The
// result is cached since it is the same for all waiting units.
func (d *domain) upcomingReleases(r *round) []capacityRelease {
	if d.upcomingValid {
		return d.upcoming
	}
	d.upcoming = d.upcoming[:0]
	for _, w := range d.workers {
		for _, p := range w.sortedPlacements() {
			if at := r.e.remaining(r.now, p); at < never {
				d.upcoming = append(d.upcoming, capacityRelease{at, w, p.demand, p.unit.key(), len(d.upcoming)})
			}
		}
	}
	slices.SortFunc(d.upcoming, func(a, b capacityRelease) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	d.upcomingValid = true
	return d.upcoming
}

// invalidateDomains clears cached values after placements or claims on a worker have changed.
func (r *round) invalidateDomains(w *worker) {
	r.usable.upcomingValid, r.usable.freeCountValid = false, false
	if rack := r.racks[w.info.Rack]; rack != nil {
		rack.upcomingValid, rack.freeCountValid = false, false
	}
}

// forecastFit returns after what delay u is expected to fit on the workers of a set if nothing else
// is placed there, and the number of members for each worker. It returns never if u does not fit
// within limit. The count of fitting members is updated with each release, not computed again.
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
		if rel.worker.round.index < 0 {
			continue // u may not run on this worker
		}
		f.addRelease(rel)
		if f.fits() {
			return rel.at, f.slots()
		}
	}
	return never, nil
}

// fitForecast is the capacity for one unit on a set of workers as releases are added. At most one
// is open at a time, as it uses worker.round.index.
type fitForecast struct {
	unit         *unit
	demand       workload.Resources
	workers      []*worker // where the unit may run, in a fixed order
	freeCapacity []workload.Resources
	limits       []int // how many members each worker may take by the step's limit
	fitting      []int // how many members fit on each worker
	total        int   // the sum of fitting
}

// newFitForecast starts a forecast with the current free capacity.
func newFitForecast(r *round, u *unit, set *domain) *fitForecast {
	r.speedChoice(u) // may need a forecast of its own
	f := &r.forecast
	*f = fitForecast{unit: u, demand: u.demand(), workers: f.workers[:0], freeCapacity: f.freeCapacity[:0], limits: f.limits[:0], fitting: f.fitting[:0]}
	for _, w := range set.workers {
		if !r.eligible(u, w) {
			continue
		}
		w.round.index = len(f.workers)
		f.workers = append(f.workers, w)
		f.freeCapacity = append(f.freeCapacity, workload.Resources{})
		f.limits = append(f.limits, r.e.limitPerWorker(u, w, u.size))
		f.fitting = append(f.fitting, 0)
		f.setFree(w.round.index, w.free().Sub(w.round.claimed))
	}
	return f
}

// close clears the workers' indexes in the forecast.
func (f *fitForecast) close() {
	for _, w := range f.workers {
		w.round.index = -1
	}
}

// setFree sets the free capacity of the worker at an index.
func (f *fitForecast) setFree(index int, free workload.Resources) {
	n := max(0, min(f.limits[index], f.demand.CountFitting(free, f.unit.size)))
	f.total += n - f.fitting[index]
	f.freeCapacity[index], f.fitting[index] = free, n
}

func (f *fitForecast) addRelease(rel capacityRelease) {
	index := rel.worker.round.index
	if rel.step == f.unit.key() {
		f.limits[index]++
	}
	f.setFree(index, f.freeCapacity[index].Add(rel.freed))
}

// fits reports whether all members of the unit fit.
func (f *fitForecast) fits() bool { return f.total >= f.unit.size }

// slots distributes the members over the workers.
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
