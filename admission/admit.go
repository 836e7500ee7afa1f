package admission

import "time"

// minRetryAfter is the shortest time a refused request is told to wait.
const minRetryAfter = 10 * time.Millisecond

// admit decides whether an arrival may queue, and if not, when to come back.
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

// expectedWait estimates how long a request of the account that arrived now would
// queue: the slot time of everything that the fair order serves before it,
// spread over the slots.
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

// retryAfter is the time until the present backlog is served.
func (q *Queue) retryAfter() time.Duration {
	var backlog time.Duration
	for _, a := range q.accounts.waiting {
		backlog += a.backlog
	}
	return max(minRetryAfter, backlog/time.Duration(max(1, q.options.Slots)))
}
