package engine

import (
	"slices"
	"time"
)

// Steps that last (Step.LongRunning) serve users of their own for as long as their job
// lives. They are restarted however they end, spread so that one worker or rack takes few
// of them, and stopped by the system only within the number that may be away at once.

const (
	// stableAfter is how long a task that lasts has to run for its end to be made up for at
	// once.
	stableAfter = 10 * time.Second
	// initialRestartDelay and restartMost bound the pause before it starts again otherwise. Its
	// users wait, so that it stays short, but what can't run must not take a write to the
	// store, an order and an end each few milliseconds for as long as its job lives.
	initialRestartDelay = 100 * time.Millisecond
	maxRestartDelay     = 2 * time.Second
)

// scheduleRestart lets a task that lasts start again after its run p has ended by itself.
func (e *Engine) scheduleRestart(now time.Duration, p *placement) {
	u := p.unit
	e.markRetry(u)
	if now-p.began >= stableAfter {
		u.restarts.reset()
		return
	}
	u.notBefore = now + u.restarts.next(initialRestartDelay, maxRestartDelay)
}

// unavailableTasks returns how many tasks of u's step are not at work, for whatever cause.
func (u *unit) unavailableTasks() int {
	n := 0
	for _, o := range u.job.units {
		if o.at() == u.at() && !o.available() {
			n++
		}
	}
	return n
}

// available says whether all members of the unit run and none is about to be stopped.
func (u *unit) available() bool {
	if u.state != unitActive || u.ending() || len(u.places) < u.size {
		return false
	}
	return !slices.ContainsFunc(u.places, func(p *placement) bool {
		return p.stopping || p.state != placeRunning || p.pulse.percent < 100
	})
}

// mayStop says whether the system may stop a task that lasts, beside alsoStopped others
// of its step.
func (u *unit) mayStop(alsoStopped int) bool {
	if !u.spec().LongRunning || !u.available() {
		return true
	}
	return u.unavailableTasks()+alsoStopped < u.spec().MaxUnavailable
}

// fitsBesideGuarantees says whether one more task that lasts leaves the accounts' guarantees
// reclaimable: what lasts can't be evicted for them, so it must never hold more than the
// service's accelerators less all guarantees.
func (r *round) fitsBesideGuarantees(u *unit) bool {
	if !u.spec().LongRunning || u.job.spec.QueuePolicy.Priority == 0 || u.demand().Accelerators == 0 {
		return true
	}
	total, held := 0, 0
	for _, w := range r.e.sortedWorkers() {
		if w.info.Service != u.job.spec.Service || !w.sound(r.now) {
			continue
		}
		total += w.most.Accelerators // room that is away for a while is promised all the same
		for _, p := range w.places {
			if p.unit.spec().LongRunning && p.unit.job.spec.QueuePolicy.Priority > 0 {
				held += p.demand.Accelerators
			}
		}
	}
	return held+u.total().Accelerators <= total-r.e.totalGuaranteed()
}

// totalGuaranteed returns the accelerators that all accounts together are totalGuaranteed.
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
		for _, p := range o.places {
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
