package engine

import (
	"slices"
	"time"
)

// Tasks of long-running steps (Step.LongRunning) serve users until their job is cancelled. They are
// restarted whenever they end, spread over workers and racks, and stopped by the scheduler only
// within MaxUnavailable.

const (
	// stableAfter is how long a task must have run for it to be restarted without a delay.
	stableAfter = 10 * time.Second
	// initialRestartDelay and maxRestartDelay bound the delay before restarting a task that ended
	// sooner. The delay is short, as users wait, but prevents a task that can't run from causing
	// continuous writes and orders.
	initialRestartDelay = 100 * time.Millisecond
	maxRestartDelay     = 2 * time.Second
)

// scheduleRestart restarts a long-running task after its run p has ended by itself.
func (e *Engine) scheduleRestart(now time.Duration, p *placement) {
	u := p.unit
	e.markRetry(u)
	if now-p.startedAt >= stableAfter {
		u.restartBackoff.reset()
		return
	}
	u.notBefore = now + u.restartBackoff.next(initialRestartDelay, maxRestartDelay)
}

// unavailableTasks returns how many units of u's step are not available, for whatever reason.
func (u *unit) unavailableTasks() int {
	n := 0
	for _, o := range u.job.units {
		if o.occurrenceStep() == u.occurrenceStep() && !o.available() {
			n++
		}
	}
	return n
}

// available reports whether all members of the unit run, report 100 percent, and none is being
// stopped.
func (u *unit) available() bool {
	if u.state != unitActive || u.ending() || len(u.placements) < u.size {
		return false
	}
	return !slices.ContainsFunc(u.placements, func(p *placement) bool {
		return p.stopping || p.state != placementRunning || p.rate.lastPercent < 100
	})
}

// mayStop reports whether the scheduler may stop u while alsoStopped other units of its step are
// stopped too.
func (u *unit) mayStop(alsoStopped int) bool {
	if !u.spec().LongRunning || !u.available() {
		return true
	}
	return u.unavailableTasks()+alsoStopped < u.spec().MaxUnavailable
}

// fitsBesideGuarantees reports whether u can start without endangering guarantees. Long-running
// tasks can be evicted only within MaxUnavailable, so those outside of priority 0 must not hold
// more than the accelerators of their service less all guarantees.
func (r *round) fitsBesideGuarantees(u *unit) bool {
	if !u.spec().LongRunning || u.job.spec.QueuePolicy.Priority == 0 || u.demand().Accelerators == 0 {
		return true
	}
	total, held := 0, 0
	for _, w := range r.e.sortedWorkers() {
		if w.info.Service != u.job.spec.Service || !w.usableIfUncordoned(r.now) {
			continue
		}
		total += w.maxCapacity.Accelerators // the guarantees count on temporarily missing capacity too
		for _, p := range w.placements {
			if p.unit.spec().LongRunning && p.unit.job.spec.QueuePolicy.Priority > 0 {
				held += p.demand.Accelerators
			}
		}
	}
	return held+u.totalDemand().Accelerators <= total-r.e.totalGuaranteed()
}

// totalGuaranteed returns the sum of the accelerators guaranteed to all accounts.
func (e *Engine) totalGuaranteed() int {
	if e.catalog == nil {
		return 0
	}
	sum := 0
	for _, a := range e.catalog.Accounts {
		sum += a.GuaranteedAccelerators
	}
	return sum
}

// sameStepCounts returns how many tasks of u's step are on w, and on its rack.
func (r *round) sameStepCounts(u *unit, w *worker) (onWorker, onRack int) {
	for _, o := range r.racks[w.info.Rack].workers {
		for _, p := range o.placements {
			if p.unit.job != u.job || p.unit.step != u.step {
				continue
			}
			onRack++
			if o == w {
				onWorker++
			}
		}
	}
	return onWorker, onRack
}
