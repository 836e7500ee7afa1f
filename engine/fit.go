package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// never is a time that does not come.
const never = time.Duration(1<<62 - 1)

// sortedWorkers returns all workers in a fixed order.
func (e *Engine) sortedWorkers() []*worker {
	out := slices.Collect(maps.Values(e.workers))
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// fit returns a worker for each member of u, or nil where it has to wait.
func (r *round) fit(u *unit) []*worker {
	near := r.near(u)
	if workers := r.choose(u, near); workers != nil {
		return workers
	}
	if near.anywhere || !r.worthSpreading(u, near) {
		return nil
	}
	return r.choose(u, r.everywhere())
}

// domains are sets of workers within which a unit runs at full speed.
type domains struct {
	sets [][]*worker
	// anywhere: there is no set where it would run faster than on all workers.
	anywhere bool
}

// everywhere is all workers, where nothing is nearer than anything else.
func (r *round) everywhere() domains {
	return domains{sets: [][]*worker{r.workers}, anywhere: true}
}

// near returns where u runs at full speed: on its preferred rack, on any one rack for
// a gang that wants to be close together, else anywhere.
func (r *round) near(u *unit) domains {
	s := u.spec()
	if !r.e.params.Policy.RackPreference {
		return r.everywhere()
	}
	if s.PreferredRack != "" && r.couldHold(u, r.racks[s.PreferredRack]) {
		return domains{sets: [][]*worker{r.racks[s.PreferredRack]}}
	}
	if s.Gang && s.SameRack {
		var sets [][]*worker
		for _, rack := range slices.Sorted(maps.Keys(r.racks)) {
			if r.couldHold(u, r.racks[rack]) {
				sets = append(sets, r.racks[rack])
			}
		}
		if len(sets) > 0 {
			return domains{sets: sets}
		}
	}
	return r.everywhere()
}

// couldHold says whether u would fit on the workers if they were empty.
func (r *round) couldHold(u *unit, workers []*worker) bool {
	room := 0
	for _, w := range workers {
		if r.eligible(u, w) {
			room += perWorker(u.spec(), u.demand().Fits(w.info.Capacity, u.size))
		}
	}
	return room >= u.size
}

// worthSpreading says whether running far away, several times slower, is better than
// waiting for room nearby. A guaranteed job does not wait longer than its account was
// promised.
func (r *round) worthSpreading(u *unit, near domains) bool {
	if r.protected[u.job] && r.now-u.since > r.e.params.Reclaim/4 {
		return true
	}
	wait := never
	for _, set := range near.sets {
		wait = min(wait, r.earliest(u, set))
	}
	slower := time.Duration((r.e.params.RemoteFactor - 1) * float64(r.e.estimate(u)))
	return wait > slower
}

// choose returns workers of one of the sets, the one that is left with the least room
// that a large gang could have used.
func (r *round) choose(u *unit, d domains) []*worker {
	var best []*worker
	bestRest := 0
	for _, set := range d.sets {
		workers, rest := r.pack(u, set)
		if workers != nil && (best == nil || rest < bestRest) {
			best, bestRest = workers, rest
		}
	}
	return best
}

// pack spreads u over as few workers of a set as possible, the fullest first, those
// without recent failures before others. rest is the accelerators left free in the set.
func (r *round) pack(u *unit, set []*worker) (chosen []*worker, rest int) {
	type option struct {
		w     *worker
		slots int
		rest  int
		// near and around count tasks of the same step there, where they are spread.
		near, around int
		// friction is what it costs to share the worker.
		friction int
	}
	var options []option
	total := 0
	for _, w := range set {
		n := r.slots(u, w)
		free := r.room(u, w).Accelerators
		rest += free
		if n <= 0 {
			continue
		}
		total += n
		o := option{w: w, slots: n, rest: free - min(n, u.size)*u.demand().Accelerators}
		if u.spec().LongRunning {
			o.near, o.around = r.neighbours(u, w)
		}
		o.friction = r.e.friction(u, w)
		options = append(options, o)
	}
	if total < u.size {
		return nil, 0
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.w.health.suspicion(), b.w.health.suspicion()),
			cmp.Compare(a.near, b.near),
			cmp.Compare(a.around, b.around),
			cmp.Compare(a.friction, b.friction),
			cmp.Compare(b.slots, a.slots),
			cmp.Compare(a.rest, b.rest),
		)
	})
	for _, o := range options {
		for range o.slots {
			if len(chosen) < u.size {
				chosen = append(chosen, o.w)
			}
		}
	}
	return chosen, rest - u.size*u.demand().Accelerators
}
