package routing

import (
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that a refused request is
	// told to wait.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// refusalFor says why choose found nothing.
func (r *Router) refusalFor(t *endpointSet, now int64, q PickInfo, a *accountState) Refusal {
	next := int64(0)
	for _, e := range t.all {
		if slices.Contains(q.Exclude, e.id) {
			continue
		}
		if e.availability(now) == available {
			return Refusal{Reason: AllSaturated, RetryAfter: a.retrySchedule.next()}
		}
		if until := e.ejectedUntil.Load(); until > now && (next == 0 || until < next) {
			next = until
		}
	}
	if next == 0 {
		return Refusal{Reason: NoTargets, RetryAfter: r.options.BaseEjectionTime}
	}
	return Refusal{Reason: NoTargets, RetryAfter: max(minRetryAfter, time.Duration(next-now))}
}

// RetryAfter says when a request of the client account that an agent refused
// for good is to come back. It counts the request among those expected.
func (r *Router) RetryAfter(account string) time.Duration {
	return r.accounts.get(account).retrySchedule.next()
}
