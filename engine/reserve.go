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
func (r *round) forecast(u *unit, set []*worker) (time.Duration, map[*worker]int) {
	room := map[*worker]workload.Resources{}
	var releases []release
	for _, w := range set {
		if !r.eligible(u, w) {
			continue
		}
		room[w] = w.free().Sub(r.claimed[w])
		for _, p := range w.places {
			releases = append(releases, release{r.e.remaining(r.now, p), w, p.demand})
		}
	}
	if slots := r.slotsIn(u, room); slots != nil {
		return 0, slots
	}
	slices.SortFunc(releases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
	})
	for _, rel := range releases {
		room[rel.worker] = room[rel.worker].Add(rel.room)
		if slots := r.slotsIn(u, room); slots != nil {
			return rel.at, slots
		}
	}
	return never, nil
}

// slotsIn spreads u over the given room, and returns nil where it does not fit.
func (r *round) slotsIn(u *unit, room map[*worker]workload.Resources) map[*worker]int {
	left := u.size
	out := map[*worker]int{}
	for _, w := range r.workers {
		free, ok := room[w]
		if !ok || left == 0 {
			continue
		}
		n := min(left, perWorker(u.spec(), u.demand().Fits(free, u.size)))
		if n > 0 {
			out[w] = n
			left -= n
		}
	}
	if left > 0 {
		return nil
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
