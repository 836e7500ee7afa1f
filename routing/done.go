package routing

import "time"

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
	}
	switch {
	case o.Kind == Answered:
		t.account.returns.served(at)
	case o.Kind == Refused && o.Load.Draining:
		r.refund(t.account)
	}
	r.judge(e, at, t, o, busy)
	if t.Trial {
		r.conclude(e, at, o)
	}
	r.publish(e)
}

// judge adapts the window and the breaker to one outcome. The caller holds
// e.mu.
func (r *Router) judge(e *endpoint, now int64, t Ticket, o Outcome, busy bool) {
	// What was sent before an ejection tells no more than the ejection did.
	if t.sent < e.breaker.ejectedAt {
		return
	}
	round := time.Duration(e.latency.Load())
	switch o.Kind {
	case Answered:
		e.measure(o.Latency)
		e.breaker.answered(false)
		e.win.reply(o.Load.Marked, busy)
	case Failed:
		e.breaker.answered(true)
		if e.breaker.failing(r.meanFailures()) {
			r.eject(e, now)
		}
	case Refused:
		e.breaker.losses = 0
		if o.Load.Shedding {
			e.win.loss(now, round)
		}
	case TimedOut:
		// A deadline shorter than the target's usual latency says nothing about
		// the target. Without this an account with hopeless deadlines would
		// eject every target for all.
		if o.Latency >= patience*e.usualLatency() {
			r.lose(e, now, round)
		}
	case Unreachable:
		e.win.loss(now, round)
		e.breaker.silent = true
		r.eject(e, now)
	}
}

func (r *Router) lose(e *endpoint, now int64, round time.Duration) {
	e.win.loss(now, round)
	if e.breaker.lost() {
		r.eject(e, now)
	}
}

// conclude ends a trial: an answer opens the endpoint, anything else ejects it
// for longer.
func (r *Router) conclude(e *endpoint, now int64, o Outcome) {
	e.trial.Store(false)
	r.trials.Add(-1)
	switch o.Kind {
	case Answered, Refused:
		e.ejectedUntil.Store(0)
		e.breaker.silent = false
	case Abandoned:
	default:
		r.eject(e, now)
	}
}

// eject closes the endpoint until its backoff has passed. An ejection under way
// is not extended: several attempts that fail for one cause count once.
func (r *Router) eject(e *endpoint, now int64) {
	if e.ejectedUntil.Load() > now {
		return
	}
	backoff := e.breaker.eject(now, r.options.BaseEjectionTime, r.options.MaxEjectionTime)
	e.ejectedUntil.Store(now + int64(backoff))
}
