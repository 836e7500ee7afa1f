package routing

import "time"

// Done returns a ticket with the outcome of its attempt. It panics if the
// endpoint has no attempt in flight, as when a ticket is returned twice.
func (r *Router) Done(now time.Time, t Ticket, o Outcome) {
	e := t.endpoint
	nowNanos := now.UnixNano()
	e.mu.Lock()
	defer e.mu.Unlock()
	windowInUse := 2*e.inflight.Load() >= e.windowSize.Load()
	e.release()
	t.account.inflight.Add(-1)
	r.inflight.Add(-1)
	if o.hasLoad() {
		e.recordLoad(nowNanos, o.Load)
	}
	switch {
	case o.Kind == Answered:
		t.account.retrySchedule.recordAnswer(nowNanos)
	case o.Kind == Refused && o.Load.Draining:
		r.refundRetry(t.account)
	}
	r.applyOutcome(e, nowNanos, t, o, windowInUse)
	if t.Trial {
		r.finishTrial(e, nowNanos, o)
	}
	r.publish(e)
}

// applyOutcome updates the endpoint's window and breaker. The caller holds e.mu.
func (r *Router) applyOutcome(e *endpoint, now int64, t Ticket, o Outcome, windowInUse bool) {
	// The outcome of an attempt sent before the last ejection adds nothing to
	// what caused the ejection.
	if t.sentAt < e.breaker.ejectedAt {
		return
	}
	roundTrip := time.Duration(e.latency.Load())
	switch o.Kind {
	case Answered:
		e.recordLatency(o.Latency)
		e.breaker.recordAnswer(false)
		e.window.recordReply(o.Load.Marked, windowInUse)
	case Failed:
		e.breaker.recordAnswer(true)
		if e.breaker.isOutlier(r.meanFailureRate()) {
			r.eject(e, now)
		}
	case Refused:
		e.breaker.consecutiveLosses = 0
		if o.Load.Shedding {
			e.window.recordLoss(now, roundTrip)
		}
	case TimedOut:
		// A deadline shorter than the target's usual latency says nothing about the
		// target. If it counted, one account with too short deadlines would get
		// every target ejected for all accounts.
		if o.Latency >= minTimeoutFactor*e.expectedLatency() {
			r.recordLoss(e, now, roundTrip)
		}
	case Unreachable:
		e.window.recordLoss(now, roundTrip)
		e.breaker.unresponsive = true
		r.eject(e, now)
	}
}

// recordLoss counts an attempt without an answer and ejects the endpoint after
// several in a row.
func (r *Router) recordLoss(e *endpoint, now int64, roundTrip time.Duration) {
	e.window.recordLoss(now, roundTrip)
	if e.breaker.recordLoss() {
		r.eject(e, now)
	}
}

// finishTrial ends a trial. An answer or a refusal makes the endpoint available
// again, an abandoned trial leaves it due for another one, and any other outcome
// ejects it for longer.
func (r *Router) finishTrial(e *endpoint, now int64, o Outcome) {
	e.trialInFlight.Store(false)
	r.trialsInFlight.Add(-1)
	switch o.Kind {
	case Answered, Refused:
		e.ejectedUntil.Store(0)
		e.breaker.unresponsive = false
	case Abandoned:
	default:
		r.eject(e, now)
	}
}

// eject makes the endpoint unavailable until its backoff has passed. A current
// ejection is not extended: attempts that fail for one cause count once.
func (r *Router) eject(e *endpoint, now int64) {
	if e.ejectedUntil.Load() > now {
		return
	}
	backoff := e.breaker.eject(now, r.options.BaseEjectionTime, r.options.MaxEjectionTime)
	e.ejectedUntil.Store(now + int64(backoff))
}
