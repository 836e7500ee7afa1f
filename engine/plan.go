package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// round is one pass over the queue.
type round struct {
	e         *Engine
	now       time.Duration
	all       *domain // the usable workers
	racks     map[string]*domain
	rackNames []string // sorted
	protected map[*job]bool
	kept      int // reservations made
	// nearSets are the domains of nearOf, which is served now.
	nearOf   *unit
	nearSets domainSet
	// outlook and options are kept for their memory.
	outlook fitForecast
	options []candidate
	// target is the accelerators to keep free on the spare racks.
	target int
	// full are steps one of whose units found no room in this round.
	full map[stepKey]bool
}

// roundNotes are what a round notes of one worker.
type roundNotes struct {
	// claimed is room being emptied there.
	claimed workload.Resources
	// reserved is room kept for a unit from a time on.
	reserved []reservation
	// at is the place of the worker in the outlook or clearing in progress; -1: not there.
	at int
}

type reservation struct {
	room workload.Resources
	at   time.Duration
}

// plan places what waits.
func (e *Engine) plan(now time.Duration) {
	e.lastPlanAt = now
	r := e.newRound(now)
	r.pickHeadroomRacks()
	e.moveOffDraining(r)
	queue := e.queue(now, r.protected)
	e.requestAdvice(r, queue)
	for _, u := range queue {
		r.serve(u)
	}
}

func (e *Engine) newRound(now time.Duration) *round {
	r := &round{
		e:         e,
		now:       now,
		all:       &domain{},
		racks:     map[string]*domain{},
		protected: e.protected(),
		full:      map[stepKey]bool{},
	}
	for _, w := range e.sortedWorkers() {
		w.round = roundNotes{at: -1}
		if !w.usable(now) {
			continue
		}
		r.all.workers = append(r.all.workers, w)
		rack := r.racks[w.info.Rack]
		if rack == nil {
			rack = &domain{}
			r.racks[w.info.Rack] = rack
		}
		rack.workers = append(rack.workers, w)
	}
	r.rackNames = slices.Sorted(maps.Keys(r.racks))
	for _, j := range e.orderedJobs {
		for _, u := range j.units {
			r.renewClaims(u)
		}
	}
	return r
}

// renewClaims drops claims whose room did not come in time and counts the others.
func (r *round) renewClaims(u *unit) {
	if len(u.claims) == 0 {
		return
	}
	if u.state != unitWaiting || r.now-u.claimedAt > r.e.params.StopTime+claimGrace {
		r.e.dropClaims(u)
		return
	}
	r.countClaims(u, 1)
}

// countClaims adds what u claims to the room being emptied, or takes it back.
func (r *round) countClaims(u *unit, sign int) {
	for w, n := range u.claims {
		w.round.claimed = w.round.claimed.Add(u.demand().Times(sign * n))
		r.invalidateDomains(w)
	}
}

// serve places one unit, keeps room for it, or empties room for it.
func (r *round) serve(u *unit) {
	key := u.key()
	if r.full[key] {
		return
	}
	if !r.fitsBesideGuarantees(u) {
		return
	}
	if workers := r.findWorkers(u); workers != nil {
		r.place(u, workers)
		return
	}
	r.full[key] = true
	if r.evict(u) {
		return
	}
	if r.kept < r.e.params.Policy.Reservations {
		r.reserve(u)
	}
}

// place decides a run: its room is taken from now on, its orders leave when the
// placement is on record.
func (r *round) place(u *unit, workers []*worker) {
	r.unclaim(u)
	u.run++
	u.state = unitActive
	u.placedAt = r.now
	u.idleSince = 0
	u.heldFrom = 0
	u.spent.room += r.now - u.since
	u.verdict = verdictNone
	for i, index := range u.indexes() {
		r.e.put(u, index, workers[i])
		r.invalidateDomains(workers[i])
	}
	r.e.markChanged(u.job)
	r.e.logDecision(u.places[0], "place", r.grounds(u, workers))
}

// grounds says, for the log, what a placement was decided on and how old it was.
func (r *round) grounds(u *unit, workers []*worker) string {
	oldest := time.Duration(0)
	for _, w := range workers {
		oldest = max(oldest, r.now-w.lastReport)
	}
	return fmt.Sprintf("%d tasks, waited %d ms, workers reported up to %d ms ago", len(workers), (r.now - u.since).Milliseconds(), oldest.Milliseconds())
}

func (r *round) unclaim(u *unit) {
	r.countClaims(u, -1)
	r.e.dropClaims(u)
}

// room returns what u may take of w now: what is free, less what is being emptied for
// others, less what is kept for others from a time at which u would still run.
func (r *round) room(u *unit, w *worker) workload.Resources {
	free := w.free().Sub(w.round.claimed)
	if n := u.claims[w]; n > 0 {
		free = free.Add(u.demand().Times(n))
	}
	if len(w.round.reserved) == 0 {
		return free
	}
	end := r.now + r.e.estimate(u)
	for _, kept := range w.round.reserved {
		if end > kept.at {
			free = free.Sub(kept.room)
		}
	}
	return free
}

// slots returns how many members of u fit on w now, where there is so much room.
func (r *round) slots(u *unit, w *worker, room workload.Resources) int {
	n := u.demand().CountFitting(room, u.size)
	if n <= 0 || !r.eligible(u, w) || w.health.paused(r.now) || !r.admits(u, w) {
		return 0
	}
	return r.limitToHeadroom(u, w, r.e.bounded(u, w, n))
}

// eligible says whether u may run on w. For a while it may not where it failed or stood
// still, unless the worker has since done well with something else.
func (r *round) eligible(u *unit, w *worker) bool {
	if w.info.Service != u.job.spec.Service || !w.hasLabel(u.spec().Label) {
		return false
	}
	if _, ok := u.ticketFor(r.now+minTicketValidity, w.info.ID); !ok {
		return false
	}
	return w.health.failures == 0 || r.now >= u.avoids[w.info.ID]
}

// bounded applies the step's bound of tasks on one worker.
func (e *Engine) bounded(u *unit, w *worker, n int) int {
	bound := u.spec().MaxPerWorker
	if bound == 0 || n <= 0 {
		return n
	}
	for _, p := range w.places {
		if p.unit.key() == u.key() {
			bound--
		}
	}
	return max(0, min(n, bound))
}
