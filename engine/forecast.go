package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// release is room that becomes free.
type release struct {
	at     time.Duration
	worker *worker
	room   workload.Resources
	// order tells apart what becomes free at the same time.
	order int
}

// domain is a set of workers within a round.
type domain struct {
	workers []*worker
	// ahead are the releases expected there, the earliest first; known says whether they
	// are as the placements are now.
	ahead []release
	known bool
	// free are the accelerators that nothing holds or claims, counted says whether they are
	// as the placements and claims are now.
	free    int
	counted bool
}

// freeAccelerators returns the accelerators of the set that nothing holds or claims.
func (d *domain) freeAccelerators() int {
	if d.counted {
		return d.free
	}
	d.free = 0
	for _, w := range d.workers {
		d.free += max(0, w.free().Accelerators-w.round.claimed.Accelerators)
	}
	d.counted = true
	return d.free
}

// accelerators returns how many the workers of the set have.
func (d *domain) accelerators() int {
	sum := 0
	for _, w := range d.workers {
		sum += w.info.Capacity.Accelerators
	}
	return sum
}

// releases returns what becomes free on the workers, the earliest first. They are the same
// for every unit that waits, and sorting them anew for each is a good part of a round's
// cost with hundreds of workers.
func (d *domain) releases(r *round) []release {
	if d.known {
		return d.ahead
	}
	d.ahead = d.ahead[:0]
	for _, w := range d.workers {
		for _, p := range w.sortedPlaces() {
			d.ahead = append(d.ahead, release{r.e.remaining(r.now, p), w, p.demand, len(d.ahead)})
		}
	}
	slices.SortFunc(d.ahead, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	d.known = true
	return d.ahead
}

// changed notes that the round has changed the placements or the claims on a worker.
func (r *round) changed(w *worker) {
	r.all.known, r.all.counted = false, false
	if rack := r.racks[w.info.Rack]; rack != nil {
		rack.known, rack.counted = false, false
	}
}

// forecast returns in how long u is expected to fit on the workers of a set, if nothing else
// is placed there, and on which of them; never where it does not fit within the limit.
//
// Each release changes what fits on its own worker only, so the sum over the set is kept up
// instead of being counted anew: with 300 workers and 1,000 waiting units that is most of
// what a round costs.
func (r *round) forecast(u *unit, set *domain, limit time.Duration) (time.Duration, map[*worker]int) {
	f := newOutlook(r, u, set)
	defer f.close()
	if f.fits() {
		return 0, f.slots()
	}
	if limit <= 0 {
		return never, nil
	}
	for _, rel := range set.releases(r) {
		if rel.at > limit {
			break
		}
		if rel.worker.round.at < 0 {
			continue // u may not run there
		}
		f.free(rel)
		if f.fits() {
			return rel.at, f.slots()
		}
	}
	return never, nil
}

// outlook is the room for one unit on a set of workers as time passes. One is open at a
// time.
type outlook struct {
	u       *unit
	demand  workload.Resources
	workers []*worker // where u may run, in a fixed order
	room    []workload.Resources
	members []int // how many members of u fit there
	total   int   // the sum of members
}

func newOutlook(r *round, u *unit, set *domain) *outlook {
	f := &r.outlook
	*f = outlook{u: u, demand: u.demand(), workers: f.workers[:0], room: f.room[:0], members: f.members[:0]}
	for _, w := range set.workers {
		if !r.eligible(u, w) {
			continue
		}
		w.round.at = len(f.workers)
		f.workers = append(f.workers, w)
		f.room = append(f.room, workload.Resources{})
		f.members = append(f.members, 0)
		f.set(w.round.at, w.free().Sub(w.round.claimed))
	}
	return f
}

// close forgets the workers' places in the outlook.
func (f *outlook) close() {
	for _, w := range f.workers {
		w.round.at = -1
	}
}

// set notes the room of the worker at a place.
func (f *outlook) set(at int, room workload.Resources) {
	n := max(0, perWorker(f.u.spec(), f.demand.CountFitting(room, f.u.size)))
	f.total += n - f.members[at]
	f.room[at], f.members[at] = room, n
}

func (f *outlook) free(rel release) {
	at := rel.worker.round.at
	f.set(at, f.room[at].Add(rel.room))
}

func (f *outlook) fits() bool { return f.total >= f.u.size }

// slots spreads u over the room there is.
func (f *outlook) slots() map[*worker]int {
	out := map[*worker]int{}
	left := f.u.size
	for i, w := range f.workers {
		if n := min(left, f.members[i]); n > 0 {
			out[w] = n
			left -= n
		}
	}
	return out
}
