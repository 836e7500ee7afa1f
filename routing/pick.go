package routing

import (
	"slices"
	"time"
)

const (
	// accountShareFactor bounds the attempts in flight of a client account of mean
	// weight to this multiple of the free capacity of all windows. A single account
	// can thus use at most 2/3 of the capacity, and the rest stays free for others.
	accountShareFactor = 2
	// targetsPerTrial bounds the concurrent trials to one, plus one for each that
	// many targets. When many targets become due at once, as after the failure of
	// an availability zone, only few requests are put at risk.
	targetsPerTrial = 32
)

// Pick chooses a target for one attempt and reserves capacity in its window. If
// the Refusal is OK, the caller must pass the Ticket to Done exactly once.
// Otherwise nothing is reserved and the request has not run.
func (r *Router) Pick(now time.Time, info PickInfo) (Ticket, Refusal) {
	if !info.Deadline.IsZero() && !now.Before(info.Deadline) {
		return Ticket{}, Refusal{Reason: DeadlineExceeded}
	}
	a := r.accounts.get(info.Account)
	if info.Attempt == 0 {
		r.depositRetry(a)
	}
	if !r.withinAccountShare(a, info.Weight) {
		return Ticket{}, Refusal{Reason: AccountOverShare, RetryAfter: a.retrySchedule.next()}
	}
	nowNanos := now.UnixNano()
	set := r.endpoints.Load()
	e, trial := r.chooseEndpoint(set, nowNanos, info)
	if e == nil {
		return Ticket{}, r.refusalFor(set, nowNanos, info, a)
	}
	a.inflight.Add(1)
	r.inflight.Add(1)
	a.retrySchedule.recordAccepted()
	return Ticket{Target: e.id, Incarnation: e.incarnation, Trial: trial, endpoint: e, account: a, sentAt: nowNanos}, Refusal{}
}

// withinAccountShare reports whether a client account may have one more attempt in
// flight. The limit keeps an account that overloads the service from filling the
// windows, so that requests of other accounts still reach the agents' fair queues.
func (r *Router) withinAccountShare(a *accountState, weight float64) bool {
	if weight == 0 {
		weight = 1
	}
	free := float64(r.totals.window.Load() - r.inflight.Load())
	return float64(a.inflight.Load()) < max(1, accountShareFactor*weight*free)
}

// chooseEndpoint reserves capacity at the cheapest of a few random endpoints and
// reports whether the attempt is a trial. It prefers the entry's own availability
// zone while the endpoint sampled there has a free slot. If the sample has no
// capacity, it takes any endpoint that has.
func (r *Router) chooseEndpoint(set *endpointSet, now int64, info PickInfo) (*endpoint, bool) {
	staleAfter := int64(r.options.StaleAfter)
	if e, trial := r.sample(set, set.sameZone, now, info); e != nil && (trial || e.hasFreeSlot(now, staleAfter)) {
		if trial || e.acquire() {
			return e, trial
		}
	}
	if e, trial := r.sample(set, set.all, now, info); e != nil && (trial || e.acquire()) {
		return e, trial
	}
	return r.scan(set, now, info)
}

// sample returns the cheapest available endpoint of a few random candidates,
// without reserving capacity, or one that is due for a trial, with the trial
// already acquired.
func (r *Router) sample(set *endpointSet, candidates []*endpoint, now int64, info PickInfo) (*endpoint, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	var best *endpoint
	var lowestCost float64
	for range r.options.Choices {
		e := candidates[r.randomIntN(len(candidates))]
		if e == best || slices.Contains(info.Exclude, e.id) {
			continue
		}
		switch e.availability(now) {
		case trialDue:
			if !info.AtMostOnce && info.Attempt == 0 && r.acquireTrial(set, e) {
				return e, true
			}
		case available:
			if e.inflight.Load() >= e.windowSize.Load() {
				continue
			}
			if cost := e.cost(now, int64(r.options.StaleAfter)); best == nil || cost < lowestCost {
				best, lowestCost = e, cost
			}
		}
	}
	return best, false
}

// scan checks every endpoint, starting at a random one, and takes the first that
// is available and has capacity. Only if there is none it takes a trial, whatever
// the request.
func (r *Router) scan(set *endpointSet, now int64, info PickInfo) (*endpoint, bool) {
	if len(set.all) == 0 {
		return nil, false
	}
	start := r.randomIntN(len(set.all))
	var due *endpoint
	for i := range set.all {
		e := set.all[(start+i)%len(set.all)]
		if slices.Contains(info.Exclude, e.id) {
			continue
		}
		switch e.availability(now) {
		case trialDue:
			due = e
		case available:
			if e.acquire() {
				return e, false
			}
		}
	}
	if due != nil && r.acquireTrial(set, due) {
		return due, true
	}
	return nil, false
}

// acquireTrial starts the trial of an endpoint that is due for one. It returns
// false if the endpoint's trial or too many others are in flight.
func (r *Router) acquireTrial(set *endpointSet, e *endpoint) bool {
	if r.trialsInFlight.Add(1) > int64(1+len(set.all)/targetsPerTrial) || !e.trialInFlight.CompareAndSwap(false, true) {
		r.trialsInFlight.Add(-1)
		return false
	}
	e.inflight.Add(1)
	return true
}

// randomIntN returns a number in [0, n) from a SplitMix64 generator, which needs
// no lock.
func (r *Router) randomIntN(n int) int {
	return int(mix(r.rngState.Add(0x9e3779b97f4a7c15)) % uint64(n))
}
