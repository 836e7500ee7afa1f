package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	// replanEvery bounds how long a decision may rest on estimates alone.
	replanEvery = 250 * time.Millisecond
	// forgetAfter is how long a worker that does not report is remembered.
	forgetAfter = 60 * time.Second
	// lookTimeout is how old the last look at a worker may be to judge what runs there;
	// agents look at least once a second.
	lookTimeout = 1500 * time.Millisecond
	// settleTime is how long workers may take to announce themselves; only after it
	// is a job that fits none of them called impossible.
	settleTime = 4 * time.Second
	// stuckAfter is how long a task may show no progress at all before it is tried
	// elsewhere, in parts of its estimate and at least stuckLeast.
	stuckLeast = 2500 * time.Millisecond
	stuckParts = 0.6
)

func (e *Engine) tick(now time.Duration, ev Tick) {
	e.wall = ev.Wall
	for _, w := range e.sortedWorkers() {
		e.tickWorker(now, w)
	}
	for _, j := range slices.Clone(e.sequence) {
		e.tickJob(now, j)
	}
	if now-e.lastPlan >= replanEvery {
		e.replan = true
	}
}

func (e *Engine) tickWorker(now time.Duration, w *worker) {
	if !w.lapsed && now >= w.lapseAt {
		w.lapsed = true
		for _, p := range w.sortedPlaces() {
			e.lost(now, p, "the worker's lease lapsed")
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
			e.decided(p, "stuck", fmt.Sprintf("at %d%% for %v", p.percent, now-p.movedAt))
			p.worker.health.failed(p.unit, now)
			p.unit.avoid(now, w.info.ID)
			e.stopAll(now, p.unit)
		}
	}
}

// stuck says whether a task has stood still for so long that starting it elsewhere
// pays. A worker that reports no progress of anything shows so by all its tasks.
func (e *Engine) stuck(now time.Duration, p *placement) bool {
	if p.state != placeRunning || p.stopping || p.unit.ending() || p.percent >= 99 {
		return false
	}
	if p.unit.spec().LongRunning || p.unit.spec().Fills || !p.worker.attached {
		return false
	}
	if p.worker.silent || now-p.worker.lookedAt > lookTimeout {
		return false // what was seen last says nothing of now
	}
	patience := time.Duration(stuckParts * float64(p.unit.spec().Estimate))
	return now-p.movedAt > max(patience, stuckLeast)
}

func (e *Engine) tickJob(now time.Duration, j *job) {
	if j.state.Final() {
		e.expire(now, j)
		return
	}
	before := j.created
	e.occur(now, j)
	if j.created != before {
		e.change(j)
		j.unblock(now)
		e.replan = true
	}
	if now-e.workersChanged < settleTime || now-e.began < settleTime {
		return
	}
	if why := e.impossible(j); why != "" {
		e.finish(now, j, workload.Failed, why)
	}
}

func (e *Engine) expire(now time.Duration, j *job) {
	if j.removed || now-j.endedAt < e.params.Retention+retentionSlack || j.stored < j.version {
		return
	}
	for _, u := range j.units {
		if len(u.places) > 0 {
			return
		}
	}
	j.removed = true
	e.expired[j.spec.ID] = true
}

// impossible returns why no set of workers known could ever hold a unit of the job
// that waits, and nothing where one could.
func (e *Engine) impossible(j *job) string {
	for _, u := range j.units {
		if u.state != unitWaiting {
			continue
		}
		if why := e.impossibleUnit(u); why != "" {
			return why
		}
	}
	return ""
}

func (e *Engine) impossibleUnit(u *unit) string {
	s := u.spec()
	room, known := 0, 0
	for _, w := range e.workers {
		if w.info.Service != u.job.spec.Service || w.lapsed {
			continue
		}
		known++
		if w.hasLabel(s.Label) {
			room += perWorker(s, s.Demand().Fits(w.info.Capacity, u.size))
		}
	}
	if known == 0 || room >= u.size {
		return ""
	}
	if room == 0 {
		return fmt.Sprintf("step %d fits no worker of service %s", u.step, u.job.spec.Service)
	}
	return fmt.Sprintf("step %d needs room for %d tasks at once, all workers together have it for %d", u.step, u.size, room)
}

// perWorker bounds a number of tasks by the step's own bound.
func perWorker(s *workload.Step, n int) int {
	if s.MaxPerWorker > 0 {
		return min(n, s.MaxPerWorker)
	}
	return n
}
