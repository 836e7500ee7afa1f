package admission

import "time"

// minRetryAfter is the shortest retry delay returned with a refusal.
const minRetryAfter = 10 * time.Millisecond

// admit decides whether an arrival may be queued. If not, it returns the reason and
// the time after which to try again.
func (q *Queue) admit(now time.Time, a *account, r *request) (Reason, time.Duration) {
	if q.draining {
		return ReasonDraining, 0
	}
	if len(a.waiting) >= q.maxQueuedFor(r.serviceTimeKey.account) {
		return ReasonAccountQueueFull, q.retryAfter()
	}
	if q.queued >= q.options.MaxQueued {
		return ReasonOverload, q.retryAfter()
	}
	wait := q.expectedWait(a)
	if r.tooLate(now.Add(wait)) {
		q.serviceTimes.decay(r.serviceTimeKey)
		return ReasonDeadline, q.retryAfter()
	}
	if q.isShedding(now, a) && wait > q.targetSojourn() {
		return ReasonOverload, q.retryAfter()
	}
	return 0, 0
}

// expectedWait estimates how long a request of the account that arrives now would
// wait: the slot time of all requests that are served before it, divided by the
// number of slots.
func (q *Queue) expectedWait(a *account) time.Duration {
	if q.running < q.options.Slots {
		return 0
	}
	virtualStart := a.virtualStart + a.backlog.Seconds()/a.weight
	workAhead := a.backlog + q.serviceTimes.mean()
	for _, b := range q.accounts.waiting {
		if b != a && b.virtualStart < virtualStart {
			share := time.Duration((virtualStart - b.virtualStart) * b.weight * float64(time.Second))
			workAhead += min(b.backlog, share)
		}
	}
	return workAhead / time.Duration(max(1, q.options.Slots))
}

// retryAfter returns the time in which the current backlog is expected to be served.
func (q *Queue) retryAfter() time.Duration {
	var backlog time.Duration
	for _, a := range q.accounts.waiting {
		backlog += a.backlog
	}
	return max(minRetryAfter, backlog/time.Duration(max(1, q.options.Slots)))
}
