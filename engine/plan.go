package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// round is the state of one pass over the queue.
type round struct {
	e            *Engine
	now          time.Duration
	usable       *domain // all usable workers
	racks        map[string]*domain
	rackNames    []string // sorted
	protected    map[*job]bool
	reservations int // number of reservations made
	// preferredCache holds the preferred domains of preferredUnit.
	preferredUnit  *unit
	preferredCache domainSet
	// forecast and candidates are reused to avoid allocations.
	forecast   fitForecast
	candidates []candidate
	// headroomTarget is the number of accelerators to keep free on the headroom racks.
	headroomTarget int
	// speeds holds the services whose workers differ in speed; nil if there are none.
	speeds map[string]poolSpeeds
	// choice is the speed choice of choiceUnit.
	choiceUnit *unit
	choice     speedChoice
	// blockedSteps holds the steps that had a unit which did not fit in this round.
	blockedSteps map[stepKey]bool
	// needs holds the steps with units that lack nothing but tickets to be placed or to evict others, in
	// the order of the queue, and laterNeeds those with units that are expected to fit soon.
	needs, laterNeeds adviceNeeds
}

// workerRoundState is what a planning round tracks per worker.
type workerRoundState struct {
	// claimed is the capacity being freed there by evictions.
	claimed workload.Resources
	// reserved is the capacity kept free for waiting units.
	reserved []reservation
	// factor is the run time on the worker relative to an average one. upperFactor is that factor if
	// the estimate is too low by one standard deviation.
	factor, upperFactor float64
	// slow is set if the worker is slow compared with the fastest one of its service.
	slow bool
	// index is the worker's position in the open fitForecast or victimSearch; -1 if it is in none.
	index int
}

// reservation keeps resources of a worker free from a time on.
type reservation struct {
	resources workload.Resources
	from      time.Duration
}

// plan runs one planning round over all waiting units.
func (e *Engine) plan(now time.Duration) {
	e.lastPlanAt = now
	r := e.newRound(now)
	r.pickHeadroomRacks()
	e.moveOffDraining(r)
	queue := e.queue(now, r.protected)
	for _, u := range queue {
		r.schedule(u)
	}
	r.requestAdvice()
	r.recordStarts(queue)
	r.countWaits(queue)
}

func (e *Engine) newRound(now time.Duration) *round {
	r := &round{
		e:            e,
		now:          now,
		usable:       &domain{},
		racks:        map[string]*domain{},
		protected:    e.protected(),
		blockedSteps: map[stepKey]bool{},
	}
	for _, w := range e.sortedWorkers() {
		w.round = workerRoundState{index: -1, factor: 1, upperFactor: 1}
		if !w.usable(now) {
			continue
		}
		r.usable.workers = append(r.usable.workers, w)
		rack := r.racks[w.info.Rack]
		if rack == nil {
			rack = &domain{}
			r.racks[w.info.Rack] = rack
		}
		rack.workers = append(rack.workers, w)
	}
	r.rackNames = slices.Sorted(maps.Keys(r.racks))
	r.loadSpeeds()
	for _, j := range e.orderedJobs {
		for _, u := range j.units {
			r.refreshClaims(u)
		}
	}
	return r
}

// refreshClaims drops claims that were not fulfilled in time and counts the remaining ones.
func (r *round) refreshClaims(u *unit) {
	if len(u.claims) == 0 {
		return
	}
	if u.state != unitWaiting || r.now-u.claimedAt > r.e.params.StopTime+claimGrace {
		r.e.dropClaims(u)
		return
	}
	r.applyClaims(u, 1)
}

// applyClaims adds the claims of u to the claimed capacity (sign 1) or subtracts them (sign
// -1).
func (r *round) applyClaims(u *unit, sign int) {
	for w, n := range u.claims {
		w.round.claimed = w.round.claimed.Add(u.demand().Times(sign * n))
		r.invalidateDomains(w)
	}
}

// schedule places one unit, requests tickets for it, evicts lower-ranked work for it, or reserves
// capacity for it.
func (r *round) schedule(u *unit) {
	key := u.key()
	if r.blockedSteps[key] {
		return
	}
	if !r.fitsBesideGuarantees(u) {
		u.waitReason = WaitBehindGuarantee
		return
	}
	if workers := r.findWorkers(u); workers != nil {
		r.placeOrAwaitTickets(u, workers)
		return
	}
	r.blockedSteps[key] = true
	if r.evict(u) {
		return
	}
	if r.reservations < r.e.params.Policy.Reservations {
		r.reserve(u)
	}
}

// placeOrAwaitTickets places u on the given workers if it has tickets for them.
func (r *round) placeOrAwaitTickets(u *unit, workers []*worker) {
	if lacking := r.withoutTicket(u, workers); len(lacking) > 0 {
		r.awaitTickets(u, workers, lacking)
		return
	}
	r.place(u, workers)
}

// place commits a placement: its capacity is taken at once, and its orders are sent when the
// placement is stored.
func (r *round) place(u *unit, workers []*worker) {
	r.releaseClaims(u)
	u.runNumber++
	u.state = unitActive
	u.placedAt = r.now
	u.fleetIdleSince = 0
	u.probationSince = 0
	u.times.capacityWait += r.now - u.waitingSince
	u.outcome = outcomeNone
	placed := Placed{}
	for i, index := range u.taskIndexes() {
		r.e.addPlacement(u, index, workers[i])
		r.invalidateDomains(workers[i])
		placed.Agents = append(placed.Agents, workers[i].info.Agent)
	}
	r.e.actions = append(r.e.actions, placed)
	r.e.markChanged(u.job)
	r.e.logDecision(u.placements[0], "place", r.placementDetail(u, workers))
}

// placementDetail describes, for the log, the placement and the age of the reports it is based
// on.
func (r *round) placementDetail(u *unit, workers []*worker) string {
	oldestReport := time.Duration(0)
	for _, w := range workers {
		oldestReport = max(oldestReport, r.now-w.lastReport)
	}
	detail := fmt.Sprintf("%d tasks, waited %d ms, oldest worker report %d ms ago", len(workers), (r.now - u.waitingSince).Milliseconds(), oldestReport.Milliseconds())
	if _, differ := r.speeds[u.job.spec.Service]; differ {
		detail += ", " + r.speedDetail(u, workers)
	}
	return detail
}

func (r *round) releaseClaims(u *unit) {
	r.applyClaims(u, -1)
	r.e.dropClaims(u)
}

// availableFor returns the capacity of w that u may use now: what is free, less claims of other
// units, less reservations that begin before u is expected to end.
func (r *round) availableFor(u *unit, w *worker) workload.Resources {
	free := w.free().Sub(w.round.claimed)
	if n := u.claims[w]; n > 0 {
		free = free.Add(u.demand().Times(n))
	}
	if len(w.round.reserved) == 0 {
		return free
	}
	end := r.now + scale(r.e.estimate(u), w.round.factor)
	for _, reservation := range w.round.reserved {
		if end > reservation.from {
			free = free.Sub(reservation.resources)
		}
	}
	return free
}

// slots returns how many members of u may be placed on w now, given its available capacity.
func (r *round) slots(u *unit, w *worker, available workload.Resources) int {
	n := u.demand().CountFitting(available, u.size)
	if n <= 0 || !r.eligible(u, w) || w.health.paused(r.now) || !r.admits(u, w) {
		return 0
	}
	return r.limitToHeadroom(u, w, r.e.limitPerWorker(u, w, n))
}

// eligible reports whether u may run on w, with a ticket if it needs one. A unit avoids a worker for a
// while after it failed or stalled there, unless other work has succeeded there since.
func (r *round) eligible(u *unit, w *worker) bool {
	if w.info.Service != u.job.spec.Service || !w.hasLabel(u.spec().Label) {
		return false
	}
	if u.denied(w) || !r.fastEnough(u, w) {
		return false
	}
	return w.health.failures == 0 || r.now >= u.avoidedWorkers[w.info.ID]
}

// limitPerWorker applies the step's limit of tasks per worker to the number that would fit.
func (e *Engine) limitPerWorker(u *unit, w *worker, fitting int) int {
	limit := u.spec().MaxPerWorker
	if limit == 0 || fitting <= 0 {
		return fitting
	}
	for _, p := range w.placements {
		if p.unit.key() == u.key() {
			limit--
		}
	}
	return max(0, min(fitting, limit))
}
