package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// never is a time that does not come.
const never = time.Duration(1<<62 - 1)

// sortedWorkers returns all workers in a fixed order. The caller does not change the slice.
func (e *Engine) sortedWorkers() []*worker {
	if e.sorted == nil {
		e.sorted = slices.SortedFunc(maps.Values(e.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return e.sorted
}

// fit returns a worker for each member of u, or nil where it has to wait.
func (r *round) fit(u *unit) []*worker {
	near := r.near(u)
	if workers := r.choose(u, near); workers != nil {
		return workers
	}
	if near.anywhere || !r.worthSpreading(u, near) && !r.idleElsewhere(u) {
		return nil
	}
	return r.choose(u, r.everywhere())
}

// idleWait is how long a unit waits for room nearby while most of the fleet stands idle.
const idleWait = 2 * time.Second

// idleElsewhere says whether u has waited long enough for room nearby while more than half
// of its service's room stood idle.
//
// The failure it guards against: what runs nearby is always about to end, by forecasts that
// rest on declared run times, and what ends there makes room for others that go first. A
// gang waited for its rack for forty seconds, at the end with the rest of the fleet idle.
func (r *round) idleElsewhere(u *unit) bool {
	if !r.mostlyIdle(u) {
		u.idleSince = 0
		return false
	}
	if u.idleSince == 0 {
		u.idleSince = r.now
	}
	return r.now-u.idleSince >= idleWait
}

// mostlyIdle says whether more than half of the room of u's service is free, by accelerators
// where it needs them and by processors where it does not.
func (r *round) mostlyIdle(u *unit) bool {
	free, all := 0, 0
	for _, w := range r.all.workers {
		if w.info.Service != u.job.spec.Service {
			continue
		}
		if u.demand().Accelerators > 0 {
			free += w.free().Accelerators
			all += w.info.Capacity.Accelerators
			continue
		}
		free += w.free().MilliCPU
		all += w.info.Capacity.MilliCPU
	}
	return 2*free > all
}

// domains are sets of workers within which a unit runs at full speed.
type domains struct {
	sets []*domain
	// anywhere: there is no set where it would run faster than on all workers.
	anywhere bool
}

// everywhere is all workers, where nothing is nearer than anything else.
func (r *round) everywhere() domains {
	return domains{sets: []*domain{r.all}, anywhere: true}
}

// near returns where u runs at full speed: on its preferred rack, on any one rack for
// a gang that wants to be close together, else anywhere.
func (r *round) near(u *unit) domains {
	if r.nearOf != u {
		r.nearOf, r.nearSets = u, r.findNear(u)
	}
	return r.nearSets
}

func (r *round) findNear(u *unit) domains {
	s := u.spec()
	if !r.e.params.Policy.RackPreference {
		return r.everywhere()
	}
	if rack := r.racks[s.PreferredRack]; s.PreferredRack != "" && rack != nil && r.couldHold(u, rack) {
		return domains{sets: []*domain{rack}}
	}
	if s.Gang && s.SameRack {
		var sets []*domain
		for _, rack := range r.rackNames {
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
func (r *round) couldHold(u *unit, set *domain) bool {
	room := 0
	for _, w := range set.workers {
		if r.eligible(u, w) {
			room += perWorker(u.spec(), u.demand().CountFitting(w.info.Capacity, u.size))
		}
	}
	return room >= u.size
}

// worthSpreading says whether running far away, several times slower, is better than
// waiting for room nearby. A guaranteed job does not wait longer than its account was
// promised.
func (r *round) worthSpreading(u *unit, near domains) bool {
	if r.protected[u.job] && r.now-u.since > r.e.params.MaxReclaimWait/4 {
		return true
	}
	slower := time.Duration((r.e.params.RemoteSlowdown - 1) * float64(r.e.estimate(u)))
	for _, set := range near.sets {
		if at, _ := r.forecast(u, set, slower); at <= slower {
			return false
		}
	}
	return true
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

// option is a worker that may take members of a unit.
type option struct {
	w     *worker
	slots int
	rest  int
	// near and around count tasks of the same step there, where they are spread.
	near, around int
	// friction is what it costs to share the worker.
	friction int
	// risk is what a crash of the worker under the unit would cost.
	risk float64
}

// tooFull says whether the set certainly has no room for u: what is free there, however it
// is spread, is less than u takes. It saves looking at each worker of a full fleet.
func (u *unit) tooFull(set *domain) bool {
	return len(u.claims) == 0 && set.freeAccelerators() < u.size*u.demand().Accelerators
}

// pack spreads u over as few workers of a set as possible, the fullest first, those
// without recent failures before others. rest is the accelerators left free in the set.
func (r *round) pack(u *unit, set *domain) (chosen []*worker, rest int) {
	if u.tooFull(set) {
		return nil, 0
	}
	need := u.demand().Accelerators
	options := r.options[:0]
	total := 0
	for _, w := range set.workers {
		room := r.room(u, w)
		rest += room.Accelerators
		n := r.slots(u, w, room)
		if n <= 0 {
			continue
		}
		total += n
		o := option{w: w, slots: n, rest: room.Accelerators - min(n, u.size)*need}
		if u.spec().LongRunning {
			o.near, o.around = r.neighbours(u, w)
		}
		o.friction = r.e.friction(u, w)
		o.risk = r.risk(u, w)
		options = append(options, o)
	}
	r.options = options
	if total < u.size {
		return nil, 0
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.w.health.suspicion(), b.w.health.suspicion()),
			cmp.Compare(a.risk, b.risk),
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
