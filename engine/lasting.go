package engine

import (
	"slices"
	"time"
)

// Steps that last (Step.LongRunning) serve users of their own for as long as their job
// lives. They are restarted however they end, spread so that one worker or rack takes few
// of them, and stopped by the system only within the number that may be away at once.

const (
	// steadyAfter is how long a task that lasts has to run for its end to be made up for at
	// once.
	steadyAfter = 10 * time.Second
	// restartFirst and restartMost bound the pause before it starts again otherwise. Its
	// users wait, so that it stays short, but what can't run must not take a write to the
	// store, an order and an end each few milliseconds for as long as its job lives.
	restartFirst = 100 * time.Millisecond
	restartMost  = 2 * time.Second
)

// restart lets a task that lasts start again after its run p has ended by itself.
func (e *Engine) restart(now time.Duration, p *placement) {
	u := p.unit
	e.retry(u)
	if now-p.began >= steadyAfter {
		u.restarts.reset()
		return
	}
	u.notBefore = now + u.restarts.next(restartFirst, restartMost)
}

// away returns how many tasks of u's step are not at work, for whatever cause.
func (u *unit) away() int {
	n := 0
	for _, o := range u.job.units {
		if o.at() == u.at() && !o.atWork() {
			n++
		}
	}
	return n
}

// atWork says whether all members of the unit run and none is about to be stopped.
func (u *unit) atWork() bool {
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
	if !u.spec().LongRunning || !u.atWork() {
		return true
	}
	return u.away()+alsoStopped < u.spec().MaxUnavailable
}

// lastingFits says whether one more task that lasts leaves the accounts' guarantees
// reclaimable: what lasts can't be evicted for them, so it must never hold more than the
// service's accelerators less all guarantees.
func (r *round) lastingFits(u *unit) bool {
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
	return held+u.total().Accelerators <= total-r.e.guaranteed()
}

// guaranteed returns the accelerators that all accounts together are guaranteed.
func (e *Engine) guaranteed() int {
	if e.catalog == nil {
		return 0
	}
	sum := 0
	for _, a := range e.catalog.Accounts {
		sum += a.GuaranteedAccelerators
	}
	return sum
}

// neighbours returns how many tasks of u's step are on w, and on its rack.
func (r *round) neighbours(u *unit, w *worker) (onWorker, onRack int) {
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
