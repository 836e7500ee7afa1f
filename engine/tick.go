package engine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// replanEvery bounds how long a decision may rest on estimates alone.
	replanEvery = 250 * time.Millisecond
	// forgetAfter is how long a worker that does not report is remembered.
	forgetAfter = 60 * time.Second
	// lookTimeout is how old the last look at a worker may be to judge what runs there;
	// agents look at least once a second.
	lookTimeout = 1500 * time.Millisecond
	// stuckParts is how long a task may show no progress at all before it is tried elsewhere,
	// in parts of its estimate and at least stuckLeast, or stuckUnproven while no run of its
	// queue has shown any. Each further time takes twice as long: some work shows no progress,
	// and must end all the same.
	stuckParts    = 0.2
	stuckLeast    = 1600 * time.Millisecond
	stuckUnproven = 2500 * time.Millisecond
	mostStalls    = 16 // bounds the doubling
)

func (e *Engine) tick(now time.Duration, ev Tick) {
	e.wallTime = ev.WallTime
	for _, w := range e.sortedWorkers() {
		e.tickWorker(now, w)
	}
	for _, j := range slices.Clone(e.orderedJobs) {
		e.tickJob(now, j)
	}
	e.writeCheckpoints(now)
	if now-e.lastPlanAt >= replanEvery {
		e.planNeeded = true
	}
}

func (e *Engine) tickWorker(now time.Duration, w *worker) {
	if !w.lapsed && now >= w.lapseAt {
		w.lapsed = true
		w.lapsedWith = w.sortedPlaces()
		for _, p := range w.sortedPlaces() {
			e.handleLostRun(now, p, CauseLeaseExpired, "the worker's lease lapsed")
		}
		// What it lists later was not placed by anyone any more.
		w.attached = false
	}
	if w.lapsed && now-w.lastReport > forgetAfter {
		e.forget(w)
		return
	}
	for _, p := range w.sortedPlaces() {
		if p.stopping && now-p.stopSent >= stopRetry {
			e.sendStop(now, p)
		}
		e.renewPace(now, p)
		if e.stuck(now, p) {
			e.logDecision(p, "stuck", fmt.Sprintf("at %d%% for %v", p.pulse.percent, now-p.movedAt))
			e.countWorkerFailure(now, p)
			e.avoid(now, p)
			p.unit.stalls = min(p.unit.stalls+1, mostStalls)
			e.stopUnit(now, p.unit, CauseStalled)
		}
	}
}

// stuck says whether a task has stood still for so long that starting it elsewhere
// pays. A worker that reports no progress of anything shows so by all its tasks.
func (e *Engine) stuck(now time.Duration, p *placement) bool {
	if !e.params.Policy.StandingStill || p.state != placeRunning || p.stopping || p.unit.ending() || p.pulse.percent >= 99 {
		return false
	}
	if p.unit.spec().LongRunning || p.unit.spec().BestEffortCPU || !p.worker.attached {
		return false
	}
	if p.worker.silent || now-p.worker.lookedAt > lookTimeout {
		return false // what was seen last says nothing of now
	}
	least := stuckUnproven
	if e.tracker.moves[p.unit.job.spec.Queue] {
		least = stuckLeast
	}
	patience := max(time.Duration(stuckParts*float64(e.estimate(p.unit))), least)
	return now-p.movedAt > patience<<p.unit.stalls
}

func (e *Engine) tickJob(now time.Duration, j *job) {
	if j.state.Final() {
		e.ageEndedJob(now, j)
		return
	}
	before := j.createdOccurrences
	e.createDueOccurrences(now, j)
	if j.createdOccurrences != before {
		e.markChanged(j)
		j.unblockUnits(now)
		e.planNeeded = true
	}
	e.tellUnfit(now, j)
}
