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
func (r *Router) refusalFor(set *endpointSet, now int64, info PickInfo, a *accountState) Refusal {
	nextTrialAt := int64(0)
	for _, e := range set.all {
		if slices.Contains(info.Exclude, e.id) {
			continue
		}
		if e.availability(now) == available {
			return Refusal{Reason: AllSaturated, RetryAfter: a.retrySchedule.next()}
		}
		if until := e.ejectedUntil.Load(); until > now && (nextTrialAt == 0 || until < nextTrialAt) {
			nextTrialAt = until
		}
	}
	if nextTrialAt == 0 {
		return Refusal{Reason: NoTargets, RetryAfter: r.options.BaseEjectionTime}
	}
	return Refusal{Reason: NoTargets, RetryAfter: max(minRetryAfter, time.Duration(nextTrialAt-now))}
}

// RetryAfter says when a request of the client account that an agent refused
// for good is to come back. It counts the request among those expected.
func (r *Router) RetryAfter(account string) time.Duration {
	return r.accounts.get(account).retrySchedule.next()
}
