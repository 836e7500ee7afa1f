package engine

import "time"

// allowsGrant reports whether the answer to the report may extend the worker's lease.
func (r *Report) allowsGrant() bool { return !r.Unresponsive || r.ExtendingLease }

// updateLease updates the expiry of the worker's lease and reports whether the answer to the
// report extends it. Every grant counts, as the agent may extend the lease by it and be lost
// before its next report. Without a grant, a report about an unresponsive worker must not postpone
// the expiry, or its runs would never be restarted elsewhere: the lease ends after the remaining
// time that the agent reports or, if the agent does not know it, by the last grant. A worker whose
// grants are suspended gets none.
func (e *Engine) updateLease(now time.Duration, w *worker, r Report) bool {
	wasUnresponsive := w.unresponsive
	w.unresponsive = r.Unresponsive
	granted := r.allowsGrant() && !w.grantsSuspended()
	w.awaitsGrant = ReportOrigin{}
	switch {
	case granted:
		e.grantLease(now, w, r)
	case r.allowsGrant():
		e.resumeGrants(w)
		w.awaitsGrant = r.Origin
	case r.LeaseKnown:
		w.leaseExpiresAt, w.leaseBasis = r.leaseEnd(now), LeaseReported
	}
	if wasUnresponsive && !r.Unresponsive {
		e.planNeeded = true
	}
	return granted
}

// grantLease notes that the answer to r extends the lease of w.
func (e *Engine) grantLease(now time.Duration, w *worker, r Report) {
	w.leaseExpiresAt, w.leaseBasis = e.params.leaseExpiry(now), LeaseGranted
	w.grant, w.grantedAt, w.startLimit = r.Origin, now, r.StartLimit
	w.awaitsGrant = ReportOrigin{}
	w.silenceReported = false
	if r.Unresponsive {
		return
	}
	if w.leaseExpired {
		e.planNeeded = true
	}
	w.leaseExpired = false
	w.placementsAtExpiry = nil
}

// leaseEnd returns by when the lease of a worker that its agent gives up ends.
func (r *Report) leaseEnd(now time.Duration) time.Duration {
	return now + WithClockDrift(r.LeaseRemaining) + leaseExpirySlack
}

// limitLease applies the reported end of the lease of an unresponsive worker that is not attached. A worker
// that is gone never is. The agent follows this planner, so it uses no grants of previous ones any more. Its
// next process might, while they grant.
func (e *Engine) limitLease(now time.Duration, w *worker, r Report) {
	if !r.LeaseKnown || r.allowsGrant() || r.Origin.Epoch != e.epoch || now-e.handling.Delay < e.startedAt+e.inheritedLeaseExtra {
		return
	}
	if end := r.leaseEnd(now); end < w.leaseExpiresAt {
		w.leaseExpiresAt, w.leaseBasis = end, LeaseReported
	}
}

// AnswerAfterWrite returns the answer to r, given the one before, after a write has been applied. More ends may be
// stored, and a grant that waited may be possible. The caller must send it without delay.
func (e *Engine) AnswerAfterWrite(now time.Duration, r Report, answer ReportAnswer) ReportAnswer {
	w := e.workers[r.Worker.ID]
	if w == nil {
		answer.EndsPending, answer.GrantPending = false, false
		return answer
	}
	answer.AckedEnds, answer.EndsPending = w.advanceAckedEnds(), len(w.pendingEnds) > 0
	if !answer.GrantPending || w.awaitsGrant != r.Origin || !w.attached {
		answer.GrantPending = false // a later report has been handled
		return answer
	}
	if !w.grantsSuspended() {
		e.grantLease(now, w, r)
		answer.Attached, answer.GrantPending = true, false
	}
	return answer
}
