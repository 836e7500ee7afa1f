package routing

import (
	"math"
	"time"
)

// Done hands a ticket back with the outcome of its attempt.
func (r *Router) Done(now time.Time, t Ticket, o Outcome) {
	e := t.endpoint
	at := now.UnixNano()
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := 2*e.inflight.Load() >= e.window.Load()
	e.release()
	t.account.inflight.Add(-1)
	r.inflight.Add(-1)
	if o.hasLoad() {
		e.observe(at, o.Load)
		r.retryAfter.Store(int64(o.Load.RetryAfter))
	}
	r.judge(e, at, t, o, busy)
	r.publish(e)
}

// judge adapts the window and the breaker to one outcome. The caller holds
// e.mu.
func (r *Router) judge(e *endpoint, now int64, t Ticket, o Outcome, busy bool) {
	round := time.Duration(e.latency.Load())
	switch o.Kind {
	case Answered:
		r.countFailure(false)
		e.measure(o.Latency)
		e.breaker.answered(false)
		e.win.reply(o.Load.Marked, busy)
	case Failed:
		r.countFailure(true)
		e.breaker.answered(true)
		if e.breaker.failing(r.overallFailures()) {
			r.eject(e, now)
		}
	case Refused:
		e.breaker.losses = 0
		if o.Load.Shedding {
			e.win.loss(time.Duration(now), round)
		}
	case TimedOut, Unreachable:
		e.win.loss(time.Duration(now), round)
		if e.breaker.lost() || o.Kind == Unreachable {
			r.eject(e, now)
		}
	}
	if t.Trial {
		r.conclude(e, now, o)
	}
}

// conclude ends a trial: an answer opens the endpoint with the smallest window,
// anything else ejects it for longer.
func (r *Router) conclude(e *endpoint, now int64, o Outcome) {
	e.trial.Store(false)
	switch o.Kind {
	case Answered, Refused:
		e.ejectedUntil.Store(0)
		e.win.size = minWindow
	case Abandoned:
	default:
		r.eject(e, now)
	}
}

// eject closes the endpoint until its backoff has passed. Several attempts that
// fail for one cause count once: an ejection under way is not extended, except
// by its own trial.
func (r *Router) eject(e *endpoint, now int64) {
	if e.ejectedUntil.Load() > now {
		return
	}
	backoff := e.breaker.eject(r.options.EjectBase, r.options.EjectMax)
	e.ejectedUntil.Store(now + int64(backoff))
}

// Suspect reports that a connection to the target went silent, as found by
// probing. The target is ejected at once. The entry ends the attempts in flight
// there as Unreachable.
func (r *Router) Suspect(now time.Time, id TargetID) {
	e := r.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.eject(e, now.UnixNano())
	r.publish(e)
}

func (r *Router) countFailure(failed bool) {
	for {
		bits := r.failures.Load()
		rate := math.Float64frombits(bits)
		rate += failureWeight * (share(failed) - rate)
		if r.failures.CompareAndSwap(bits, math.Float64bits(rate)) {
			return
		}
	}
}
