package routing

import (
	"slices"
	"time"
)

const (
	// accountShareFactor bounds a client account of mean weight to this multiple of
	// the free places in all windows. Alone it can fill 2/3 of them; the rest
	// stays free for others, whatever it offers.
	accountShareFactor = 2
	// targetsPerTrial bounds the trials in flight to one, and one more for each so
	// many targets: when many targets come due at once, only few requests are
	// risked.
	targetsPerTrial = 32
)

// Pick chooses a target for one attempt and takes a place in its window. When
// the Refusal is OK, the Ticket goes back to Done exactly once. Otherwise
// nothing was taken and the request has not run.
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

// withinAccountShare keeps one client account's overload from filling the windows, so
// that requests of the others still reach the agents, where the fair queue
// serves them by weight.
func (r *Router) withinAccountShare(a *accountState, weight float64) bool {
	if weight == 0 {
		weight = 1
	}
	free := float64(r.totals.window.Load() - r.inflight.Load())
	return float64(a.inflight.Load()) < max(1, accountShareFactor*weight*free)
}

// chooseEndpoint takes a place at the cheapest of a few random endpoints: of the own
// availability zone while one of them has a free slot, else of all. When none
// of the sample has a place, the first endpoint with one is taken.
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

// sample returns the cheapest open endpoint of a few random ones, or one that
// is due for its trial, with the trial already taken.
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

// scan looks at every endpoint from a random one on. Trials come second here
// and are open to every request: nothing else is left.
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

// acquireTrial takes the single trial of a half-open endpoint.
func (r *Router) acquireTrial(set *endpointSet, e *endpoint) bool {
	if r.trialsInFlight.Add(1) > int64(1+len(set.all)/targetsPerTrial) || !e.trialInFlight.CompareAndSwap(false, true) {
		r.trialsInFlight.Add(-1)
		return false
	}
	e.inflight.Add(1)
	return true
}

func (r *Router) randomIntN(n int) int {
	return int(mix(r.rngState.Add(0x9e3779b97f4a7c15)) % uint64(n))
}
