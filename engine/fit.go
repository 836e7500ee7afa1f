package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// never is later than any time that occurs.
const never = time.Duration(1<<62 - 1)

// sortedWorkers returns all workers ordered by ID. The caller must not change the slice.
func (e *Engine) sortedWorkers() []*worker {
	if e.workersByID == nil {
		e.workersByID = slices.SortedFunc(maps.Values(e.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return e.workersByID
}

// findWorkers returns a worker for each member of u, or nil if u has to wait.
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

// maxWaitBesideIdleFleet limits the wait for preferred workers while most of the service is idle.
const maxWaitBesideIdleFleet = 2 * time.Second

// waitedBesideIdleFleet reports whether u has waited maxWaitBesideIdleFleet for its preferred
// workers while more than half of its service's capacity was free. It guards against endless
// waiting: forecasts may be too optimistic, and capacity that becomes free may go to units ahead
// of u.
func (r *round) waitedBesideIdleFleet(u *unit) bool {
	if !r.serviceMostlyIdle(u) {
		u.fleetIdleSince = 0
		return false
	}
	if u.fleetIdleSince == 0 {
		u.fleetIdleSince = r.now
	}
	return r.now-u.fleetIdleSince >= maxWaitBesideIdleFleet
}

// serviceMostlyIdle reports whether more than half of the capacity of u's service is free,
// measured in accelerators if u needs them, else in processors.
func (r *round) serviceMostlyIdle(u *unit) bool {
	free, total := 0, 0
	for _, w := range r.usable.workers {
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

// domainSet holds alternative domains, within each of which a unit runs at full speed.
type domainSet struct {
	domains []*domain
	// anywhere is set if the only domain is all workers.
	anywhere bool
}

// allDomains returns the domain of all workers.
func (r *round) allDomains() domainSet {
	return domainSet{domains: []*domain{r.usable}, anywhere: true}
}

// preferredDomains returns the domains in which u runs at full speed: its preferred rack, or each
// single rack for a gang with SameRack, if u would fit there with nothing else running; else all
// workers.
func (r *round) preferredDomains(u *unit) domainSet {
	if r.preferredUnit != u {
		r.preferredUnit, r.preferredCache = u, r.findPreferredDomains(u)
	}
	return r.preferredCache
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

// fitsWhenEmpty reports whether u would fit on the workers of set if nothing ran there.
func (r *round) fitsWhenEmpty(u *unit, set *domain) bool {
	fitting := 0
	for _, w := range set.workers {
		if r.eligible(u, w) {
			fitting += capPerWorker(u.spec(), u.demand().CountFitting(w.info.Capacity, u.size))
			if fitting >= u.size {
				return true
			}
		}
	}
	return false
}

// worthRunningRemotely reports whether running several times slower outside of the preferred
// domains is better than waiting for them. A unit covered by a guarantee waits only for part of
// the time in which its account may reclaim capacity.
func (r *round) worthRunningRemotely(u *unit, preferred domainSet) bool {
	if r.protected[u.job] && r.now-u.waitingSince > r.e.params.MaxReclaimWait/4 {
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

// chooseWorkers returns workers in one of the domains, those that u has tickets for if it fits there. It
// returns nil if u fits in none.
func (r *round) chooseWorkers(u *unit, d domainSet) []*worker {
	if u.needsTicket() {
		if workers := r.chooseAmong(u, r.withTickets(u, d)); workers != nil {
			return workers
		}
	}
	return r.chooseAmong(u, d)
}

// chooseAmong returns workers in one of the domains: the one where u runs fastest if it prefers
// fast workers, else the one with the fewest accelerators left over, to keep space for large gangs
// elsewhere. It returns nil if u fits in none.
func (r *round) chooseAmong(u *unit, d domainSet) []*worker {
	var best []*worker
	leastLeftover, lowestRank := 0, 0
	for _, set := range d.domains {
		workers, leftover := r.pack(u, set)
		if workers == nil {
			continue
		}
		rank := r.gangRank(u, workers)
		if best == nil || cmp.Or(cmp.Compare(rank, lowestRank), cmp.Compare(leftover, leastLeftover)) < 0 {
			best, leastLeftover, lowestRank = workers, leftover, rank
		}
	}
	return best
}

// candidate is a worker where members of a unit can be placed.
type candidate struct {
	worker   *worker
	slots    int
	leftover int
	// speedRank orders workers by their speed; see round.speedRank.
	speedRank int
	// sameStepOnWorker and sameStepOnRack count tasks of the same step, for long-running steps.
	sameStepOnWorker, sameStepOnRack int
	// interference is the score of sharing the worker; see Engine.interferenceScore.
	interference int
	// tickets is 1 if u may be placed there without a request for tickets.
	tickets int
	// crashRisk is the cost of a crash of the worker under the unit.
	crashRisk float64
}

// cannotFit reports whether set certainly has too few free accelerators for u. It is a cheap test
// that avoids examining each worker of a full set.
func (u *unit) cannotFit(set *domain) bool {
	return len(u.claims) == 0 && set.freeAccelerators() < u.size*u.demand().Accelerators
}

// pack places u on as few workers of a set as possible, the fullest first. Recent failures, crash
// risk, the spreading of long-running steps and interference take precedence. It returns nil if u
// does not fit; leftover is the number of accelerators that remain free in the set.
func (r *round) pack(u *unit, set *domain) (chosen []*worker, leftover int) {
	if u.cannotFit(set) {
		return nil, 0
	}
	need := u.demand().Accelerators
	candidates := r.candidates[:0]
	total := 0
	for _, w := range set.workers {
		free := r.availableFor(u, w)
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
		o.speedRank = r.speedRank(u, w)
		o.interference = r.e.interferenceScore(u, w)
		if u.mayPlaceOn(r.now, w) {
			o.tickets = 1
		}
		o.crashRisk = r.crashRisk(u, w)
		candidates = append(candidates, o)
	}
	r.candidates = candidates
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
			cmp.Compare(a.speedRank, b.speedRank),
			cmp.Compare(b.tickets, a.tickets),
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
