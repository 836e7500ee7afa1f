package routing

import (
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the delays of retrySchedule.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// refusalFor returns the reason why chooseEndpoint found no endpoint, and when to
// try again: when a window is expected to be free, or at the next trial.
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

// RetryAfter returns the delay after which a client should retry a request that
// an agent refused and that the entry does not retry. Each call counts one more
// request that is expected to be retried.
func (r *Router) RetryAfter(account string) time.Duration {
	return r.accounts.get(account).retrySchedule.next()
}
