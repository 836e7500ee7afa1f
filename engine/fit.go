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
	if e.workersByID == nil {
		e.workersByID = slices.SortedFunc(maps.Values(e.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return e.workersByID
}

// findWorkers returns a worker for each member of u, or nil where it has to wait.
func (r *round) findWorkers(u *unit) []*worker {
	preferred := r.preferredDomains(u)
	if workers := r.chooseWorkers(u, preferred); workers != nil {
		return workers
	}
	if preferred.anywhere || !r.worthRunningRemotely(u, preferred) && !r.waitedBesideIdleFleet(u) {
		return nil
	}
	return r.chooseWorkers(u, r.allDomains())
}

// maxWaitBesideIdleFleet is how long a unit waits for room nearby while most of the fleet stands idle.
const maxWaitBesideIdleFleet = 2 * time.Second

// waitedBesideIdleFleet says whether u has waited long enough for room nearby while more than half
// of its service's room stood idle.
//
// The failure it guards against: what runs nearby is always about to end, by forecasts that
// rest on declared run times, and what ends there makes room for others that go first. A
// gang waited for its rack for forty seconds, at the end with the rest of the fleet idle.
func (r *round) waitedBesideIdleFleet(u *unit) bool {
	if !r.serviceMostlyIdle(u) {
		u.idleSince = 0
		return false
	}
	if u.idleSince == 0 {
		u.idleSince = r.now
	}
	return r.now-u.idleSince >= maxWaitBesideIdleFleet
}

// serviceMostlyIdle says whether more than half of the room of u's service is free, by accelerators
// where it needs them and by processors where it does not.
func (r *round) serviceMostlyIdle(u *unit) bool {
	free, total := 0, 0
	for _, w := range r.all.workers {
		if w.info.Service != u.job.spec.Service {
			continue
		}
		if u.demand().Accelerators > 0 {
			free += w.free().Accelerators
			total += w.info.Capacity.Accelerators
			continue
		}
		free += w.free().MilliCPU
		total += w.info.Capacity.MilliCPU
	}
	return 2*free > total
}

// domainSet are sets of workers within which a unit runs at full speed.
type domainSet struct {
	domains []*domain
	// anywhere: there is no set where it would run faster than on all workers.
	anywhere bool
}

// allDomains is all workers, where nothing is nearer than anything else.
func (r *round) allDomains() domainSet {
	return domainSet{domains: []*domain{r.all}, anywhere: true}
}

// preferredDomains returns where u runs at full speed: on its preferred rack, on any one rack for
// a gang that wants to be close together, else anywhere.
func (r *round) preferredDomains(u *unit) domainSet {
	if r.nearOf != u {
		r.nearOf, r.nearSets = u, r.findPreferredDomains(u)
	}
	return r.nearSets
}

func (r *round) findPreferredDomains(u *unit) domainSet {
	s := u.spec()
	if !r.e.params.Policy.RackPreference {
		return r.allDomains()
	}
	if rack := r.racks[s.PreferredRack]; s.PreferredRack != "" && rack != nil && r.fitsWhenEmpty(u, rack) {
		return domainSet{domains: []*domain{rack}}
	}
	if s.Gang && s.SameRack {
		var racks []*domain
		for _, rack := range r.rackNames {
			if r.fitsWhenEmpty(u, r.racks[rack]) {
				racks = append(racks, r.racks[rack])
			}
		}
		if len(racks) > 0 {
			return domainSet{domains: racks}
		}
	}
	return r.allDomains()
}

// fitsWhenEmpty says whether u would fit on the workers if they were empty.
func (r *round) fitsWhenEmpty(u *unit, set *domain) bool {
	fitting := 0
	for _, w := range set.workers {
		if r.eligible(u, w) {
			fitting += perWorker(u.spec(), u.demand().CountFitting(w.info.Capacity, u.size))
		}
	}
	return fitting >= u.size
}

// worthRunningRemotely says whether running far away, several times slower, is better than
// waiting for room nearby. A guaranteed job does not wait longer than its account was
// promised.
func (r *round) worthRunningRemotely(u *unit, preferred domainSet) bool {
	if r.protected[u.job] && r.now-u.since > r.e.params.MaxReclaimWait/4 {
		return true
	}
	extraTime := time.Duration((r.e.params.RemoteSlowdown - 1) * float64(r.e.estimate(u)))
	for _, set := range preferred.domains {
		if at, _ := r.forecastFit(u, set, extraTime); at <= extraTime {
			return false
		}
	}
	return true
}

// chooseWorkers returns workers of one of the sets, the one that is left with the least room
// that a large gang could have used.
func (r *round) chooseWorkers(u *unit, d domainSet) []*worker {
	var best []*worker
	leastLeftover := 0
	for _, set := range d.domains {
		workers, leftover := r.pack(u, set)
		if workers != nil && (best == nil || leftover < leastLeftover) {
			best, leastLeftover = workers, leftover
		}
	}
	return best
}

// candidate is a worker that may take members of a unit.
type candidate struct {
	worker   *worker
	slots    int
	leftover int
	// sameStepOnWorker and sameStepOnRack count tasks of the same step there, where they are spread.
	sameStepOnWorker, sameStepOnRack int
	// interference is what it costs to share the worker.
	interference int
	// crashRisk is what a crash of the worker under the unit would cost.
	crashRisk float64
}

// cannotFit says whether the set certainly has no room for u: what is free there, however it
// is spread, is less than u takes. It saves looking at each worker of a full fleet.
func (u *unit) cannotFit(set *domain) bool {
	return len(u.claims) == 0 && set.freeAccelerators() < u.size*u.demand().Accelerators
}

// pack spreads u over as few workers of a set as possible, the fullest first, those
// without recent failures before others. rest is the accelerators left free in the set.
func (r *round) pack(u *unit, set *domain) (chosen []*worker, leftover int) {
	if u.cannotFit(set) {
		return nil, 0
	}
	need := u.demand().Accelerators
	candidates := r.options[:0]
	total := 0
	for _, w := range set.workers {
		free := r.room(u, w)
		leftover += free.Accelerators
		n := r.slots(u, w, free)
		if n <= 0 {
			continue
		}
		total += n
		o := candidate{worker: w, slots: n, leftover: free.Accelerators - min(n, u.size)*need}
		if u.spec().LongRunning {
			o.sameStepOnWorker, o.sameStepOnRack = r.sameStepCounts(u, w)
		}
		o.interference = r.e.interferenceScore(u, w)
		o.crashRisk = r.risk(u, w)
		candidates = append(candidates, o)
	}
	r.options = candidates
	if total < u.size {
		return nil, 0
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.worker.health.failureRank(), b.worker.health.failureRank()),
			cmp.Compare(a.crashRisk, b.crashRisk),
			cmp.Compare(a.sameStepOnWorker, b.sameStepOnWorker),
			cmp.Compare(a.sameStepOnRack, b.sameStepOnRack),
			cmp.Compare(a.interference, b.interference),
			cmp.Compare(b.slots, a.slots),
			cmp.Compare(a.leftover, b.leftover),
		)
	})
	for _, c := range candidates {
		for range c.slots {
			if len(chosen) < u.size {
				chosen = append(chosen, c.worker)
			}
		}
	}
	return chosen, leftover - u.size*u.demand().Accelerators
}
