package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// release is room that becomes free.
type release struct {
	at     time.Duration
	worker *worker
	room   workload.Resources
}

// earliest returns in how long u is expected to fit on the workers of a set, if
// nothing else is placed there: never where it does not fit at all.
func (r *round) earliest(u *unit, set []*worker) time.Duration {
	at, _ := r.forecast(u, set)
	return at
}

// forecast returns in how long u is expected to fit, and on which workers.
//
// Each release changes what fits on its own worker only, so the sum over the set is kept up
// instead of being counted anew: with 300 workers and 1,000 waiting units that is most of
// what a round costs.
func (r *round) forecast(u *unit, set []*worker) (time.Duration, map[*worker]int) {
	f := newOutlook(r, u, set)
	if f.fits() {
		return 0, f.slots()
	}
	for _, rel := range f.releases() {
		f.free(rel)
		if f.fits() {
			return rel.at, f.slots()
		}
	}
	return never, nil
}

// outlook is the room for one unit on a set of workers as time passes.
type outlook struct {
	r       *round
	u       *unit
	workers []*worker // where u may run, in a fixed order
	room    map[*worker]workload.Resources
	members map[*worker]int // how many members of u fit there
	total   int             // the sum of members
}

func newOutlook(r *round, u *unit, set []*worker) *outlook {
	f := &outlook{
		r: r, u: u,
		room:    make(map[*worker]workload.Resources, len(set)),
		members: make(map[*worker]int, len(set)),
	}
	for _, w := range set {
		if r.eligible(u, w) {
			f.workers = append(f.workers, w)
			f.set(w, w.free().Sub(r.claimed[w]))
		}
	}
	return f
}

// set notes the room of a worker.
func (f *outlook) set(w *worker, room workload.Resources) {
	n := max(0, perWorker(f.u.spec(), f.u.demand().Fits(room, f.u.size)))
	f.total += n - f.members[w]
	f.room[w], f.members[w] = room, n
}

func (f *outlook) free(rel release) { f.set(rel.worker, f.room[rel.worker].Add(rel.room)) }

func (f *outlook) fits() bool { return f.total >= f.u.size }

// releases returns what becomes free on the workers, the earliest first.
func (f *outlook) releases() []release {
	var out []release
	for _, w := range f.workers {
		for _, p := range w.places {
			out = append(out, release{f.r.e.remaining(f.r.now, p), w, p.demand})
		}
	}
	slices.SortFunc(out, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
	})
	return out
}

// slots spreads u over the room there is.
func (f *outlook) slots() map[*worker]int {
	out := map[*worker]int{}
	left := f.u.size
	for _, w := range f.workers {
		if n := min(left, f.members[w]); n > 0 {
			out[w] = n
			left -= n
		}
	}
	return out
}

// tellWaitEvery is the pause between two lines of the log about the same unit that waits.
// With Policy.Reservations it bounds them to a line each second or so.
const tellWaitEvery = 5 * time.Second

// tellWait logs what a unit at the head of the queue waits for.
func (r *round) tellWait(u *unit, at time.Duration, slots map[*worker]int) {
	if r.now-u.since < tellWaitEvery || r.now < u.tellNext {
		return
	}
	u.tellNext = r.now + tellWaitEvery
	needs := fmt.Sprintf("step %d needs %d times %+v", u.step, u.size, u.demand())
	waited := (r.now - u.since).Milliseconds()
	detail := fmt.Sprintf("for %d ms, %s, no room in sight on %d workers", waited, needs, len(r.workers))
	if slots != nil {
		detail = fmt.Sprintf("for %d ms, %s, room expected in %d ms on %d workers", waited, needs, at.Milliseconds(), len(slots))
	}
	r.e.decidedJob(u.job, "waits", detail)
}

// reserve keeps the room that will be free first for a unit that waits, against units
// behind it that would still run then.
func (r *round) reserve(u *unit) {
	at, slots := never, map[*worker]int(nil)
	for _, set := range r.near(u).sets {
		t, s := r.forecast(u, set)
		if s != nil && t < at {
			at, slots = t, s
		}
	}
	r.tellWait(u, at, slots)
	if slots == nil {
		return
	}
	r.kept++
	for w, n := range slots {
		r.reserved[w] = append(r.reserved[w], reservation{room: u.demand().Times(n), at: r.now + at})
	}
}
