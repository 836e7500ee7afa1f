package admission

import "time"

// minRetryAfter is the shortest time a refused request is told to wait.
const minRetryAfter = 10 * time.Millisecond

// judge decides whether an arrival may queue, and if not, when to come back.
func (q *Queue) judge(now time.Time, a *account, r *request) (Reason, time.Duration) {
	if q.draining {
		return ReasonDraining, 0
	}
	if len(a.waiting) >= q.bound(r.key.account) {
		return ReasonAccountQueueFull, q.retryAfter()
	}
	if q.queued >= q.options.MaxQueued {
		return ReasonOverload, q.retryAfter()
	}
	wait := q.expectWait(a)
	if r.late(now.Add(wait)) {
		q.costs.doubt(r.key)
		return ReasonDeadline, q.retryAfter()
	}
	if q.sheds(now, a) && wait > q.target() {
		return ReasonOverload, q.retryAfter()
	}
	return 0, 0
}

// expectWait estimates how long a request of the account that arrived now would
// queue: the slot time of everything that the fair order serves before it,
// spread over the slots.
func (q *Queue) expectWait(a *account) time.Duration {
	if q.running < q.options.Slots {
		return 0
	}
	start := a.start + a.backlog.Seconds()/a.weight
	ahead := a.backlog + q.costs.mean()
	for _, b := range q.members.waiting {
		if b != a && b.start < start {
			share := time.Duration((start - b.start) * b.weight * float64(time.Second))
			ahead += min(b.backlog, share)
		}
	}
	return ahead / time.Duration(max(1, q.options.Slots))
}

// retryAfter is the time until the present backlog is served.
func (q *Queue) retryAfter() time.Duration {
	var backlog time.Duration
	for _, a := range q.members.waiting {
		backlog += a.backlog
	}
	return max(minRetryAfter, backlog/time.Duration(max(1, q.options.Slots)))
}
