package routing

import (
	"sync/atomic"
	"time"
)

// Router chooses targets for one service at one entry. See the package comment
// for concurrent use.
type Router struct {
	options     Options
	endpoints   atomic.Pointer[endpointSet]
	accounts    accounts
	retryBudget retryBudget
	retryPolicy atomic.Pointer[RetryPolicy]

	rngState       atomic.Uint64 // state of the random number generator
	inflight       atomic.Int64  // attempts at all targets, including trials
	trialsInFlight atomic.Int64
	totals         totals
}

// New returns a Router without targets.
func New(o Options) *Router {
	r := &Router{options: o.withDefaults()}
	r.accounts.salt = mix(o.Seed + 1)
	r.rngState.Store(mix(o.Seed))
	r.retryPolicy.Store(&RetryPolicy{
		Share:        r.options.RetryShare,
		AccountShare: r.options.AccountRetryShare,
		Burst:        r.options.RetryBurst,
	})
	r.retryBudget.reset(r.options.RetryBurst)
	for i := range r.accounts.buckets {
		r.accounts.buckets[i].retryBudget.reset(r.options.RetryBurst)
	}
	r.endpoints.Store(newEndpointSet(o.Zone, nil))
	return r
}

// SetTargets replaces the set of targets. A target that was known with the same
// incarnation keeps its measurements. Draining and removed targets get no new
// attempts from the next Pick on; tickets for them stay valid for Done. SetTargets
// must not be called concurrently with itself.
func (r *Router) SetTargets(_ time.Time, ts []Target) {
	old := r.endpoints.Load()
	all := make([]*endpoint, 0, len(ts))
	retained := make(map[*endpoint]bool, len(ts))
	for _, t := range ts {
		e := old.byID[t.ID]
		if e == nil || e.incarnation != t.Incarnation {
			e = newEndpoint(t, r.options.InitialWindow)
		}
		r.updateEndpoint(e, t)
		retained[e] = true
		all = append(all, e)
	}
	r.endpoints.Store(newEndpointSet(r.options.Zone, all))
	for _, e := range old.all {
		if !retained[e] {
			r.removeEndpoint(e)
		}
	}
}

func (r *Router) updateEndpoint(e *endpoint, t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots.Store(int64(max(1, t.Slots)))
	e.window.maxSize = max(minWindow, float64(t.MaxInflight))
	e.window.size = min(e.window.size, e.window.maxSize)
	// Draining is never cleared here. The agent may have reported it in a reply
	// that is newer than the membership data, and a target that drains stays so
	// until its next incarnation.
	if t.Draining {
		e.draining.Store(true)
	}
	r.publish(e)
}

func (r *Router) removeEndpoint(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removed.Store(true)
	r.publish(e)
}

// publish makes the window size visible to Pick and updates the router's totals.
// The caller holds e.mu.
func (r *Router) publish(e *endpoint) {
	e.windowSize.Store(int64(e.window.size))
	current := e.contribution()
	r.totals.replace(e.contributed, current)
	e.contributed = current
}

// AllowRetry takes one retry from the budgets of the client account and the
// router, and reports whether both allowed it. An entry calls it before every
// attempt after the first; when it returns false, the request is answered without
// another attempt.
func (r *Router) AllowRetry(_ time.Time, account string) bool {
	a := r.accounts.get(account)
	if !a.retryBudget.tryWithdraw() {
		return false
	}
	if r.retryBudget.tryWithdraw() {
		return true
	}
	a.retryBudget.refund()
	return false
}

// refundRetry adds one retry to both budgets, for the attempt that follows a
// refusal by a draining target. Otherwise a planned stop would use up the budget
// and fail requests that other targets could serve. It can't amplify load, as the
// draining target gets no new attempts.
func (r *Router) refundRetry(a *accountState) {
	a.retryBudget.refund()
	r.retryBudget.refund()
}

// depositRetry adds the share of one first attempt to both budgets.
func (r *Router) depositRetry(a *accountState) {
	p := r.retryPolicy.Load()
	a.retryBudget.deposit(p.AccountShare, p.Burst)
	r.retryBudget.deposit(p.Share, p.Burst)
}

// meanFailureRate returns the mean failure rate of the available endpoints.
func (r *Router) meanFailureRate() float64 {
	return float64(r.totals.failureRates.Load()) / ppm / float64(max(1, r.totals.available.Load()))
}

// Stats returns a snapshot. Its values are not read atomically as a whole.
func (r *Router) Stats() Stats {
	set := r.endpoints.Load()
	s := Stats{Inflight: int(r.inflight.Load()), Window: int(r.totals.window.Load())}
	for _, e := range set.all {
		s.Targets = append(s.Targets, TargetStats{
			ID:       e.id,
			Inflight: int(e.inflight.Load()),
			Window:   int(e.windowSize.Load()),
			Latency:  time.Duration(e.latency.Load()),
			Load:     int(e.inflight.Load() + e.othersLoad.Load()),
			Draining: e.draining.Load(),
			Ejected:  e.ejectedUntil.Load() != 0,
		})
	}
	return s
}
