package routing

import (
	"sync/atomic"
	"time"
)

// Router chooses targets for one service at one entry. See the package comment
// for which methods may be called concurrently.
type Router struct {
	options  Options
	table    atomic.Pointer[table]
	accounts accounts
	retries  budget
	policy   atomic.Pointer[RetryPolicy]

	sequence atomic.Uint64 // state of the random numbers
	inflight atomic.Int64  // attempts in flight
	trials   atomic.Int64  // of them, trials
	sums     sums
}

// New returns a Router without targets.
func New(o Options) *Router {
	r := &Router{options: o.withDefaults()}
	r.accounts.salt = mix(o.Seed + 1)
	r.sequence.Store(mix(o.Seed))
	r.policy.Store(&RetryPolicy{
		Share:        r.options.RetryShare,
		AccountShare: r.options.AccountRetryShare,
		Burst:        r.options.RetryBurst,
	})
	r.retries.fill(r.options.RetryBurst)
	for i := range r.accounts.buckets {
		r.accounts.buckets[i].retries.fill(r.options.RetryBurst)
	}
	r.table.Store(newTable(o.Zone, nil))
	return r
}

// SetTargets replaces the set of targets. A target known before with the same
// incarnation keeps its measurements. One goroutine calls it. A target that is
// draining or absent gets nothing new from the next Pick on; tickets out for it
// stay valid for Done.
func (r *Router) SetTargets(_ time.Time, ts []Target) {
	old := r.table.Load()
	all := make([]*endpoint, 0, len(ts))
	kept := make(map[*endpoint]bool, len(ts))
	for _, t := range ts {
		e := old.byID[t.ID]
		if e == nil || e.incarnation != t.Incarnation {
			e = newEndpoint(t, r.options.InitialWindow)
		}
		r.update(e, t)
		kept[e] = true
		all = append(all, e)
	}
	r.table.Store(newTable(r.options.Zone, all))
	for _, e := range old.all {
		if !kept[e] {
			r.remove(e)
		}
	}
}

func (r *Router) update(e *endpoint, t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots.Store(int64(max(1, t.Slots)))
	e.win.limit = max(minWindow, float64(t.MaxInflight))
	e.win.size = min(e.win.size, e.win.limit)
	// The agent's own word that it drains stands until its next incarnation:
	// membership may be older than the reply that carried it.
	if t.Draining {
		e.draining.Store(true)
	}
	r.publish(e)
}

func (r *Router) remove(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removed.Store(true)
	r.publish(e)
}

// publish makes the window visible to picks, and the endpoint's part to the
// sums. The caller holds e.mu.
func (r *Router) publish(e *endpoint) {
	e.window.Store(int64(e.win.size))
	part := e.part()
	r.sums.replace(e.counted, part)
	e.counted = part
}

// AllowRetry asks the retry budget for one more attempt after an attempt of the
// client account ended without an answer. It is the only place that permits
// one. A refusal is final: the caller gets its answer now.
func (r *Router) AllowRetry(_ time.Time, name string) bool {
	a := r.accounts.of(name)
	if !a.retries.spend() {
		return false
	}
	if r.retries.spend() {
		return true
	}
	a.retries.refund()
	return false
}

// refund pays for the attempt that follows a refusal by a draining target. A
// planned stop would otherwise use up the budget, and then fail requests that
// others could serve. It can't multiply load: the target gets nothing more.
func (r *Router) refund(a *account) {
	a.retries.refund()
	r.retries.refund()
}

func (r *Router) earn(a *account) {
	p := r.policy.Load()
	a.retries.earn(p.AccountShare, p.Burst)
	r.retries.earn(p.Share, p.Burst)
}

// meanFailures is the mean failure rate of the open endpoints.
func (r *Router) meanFailures() float64 {
	return float64(r.sums.failures.Load()) / ppm / float64(max(1, r.sums.open.Load()))
}

// Stats returns a snapshot; its parts may be of slightly different times.
func (r *Router) Stats() Stats {
	t := r.table.Load()
	s := Stats{Inflight: int(r.inflight.Load()), Window: int(r.sums.window.Load())}
	for _, e := range t.all {
		s.Targets = append(s.Targets, TargetStats{
			ID:       e.id,
			Inflight: int(e.inflight.Load()),
			Window:   int(e.window.Load()),
			Latency:  time.Duration(e.latency.Load()),
			Load:     int(e.inflight.Load() + e.others.Load()),
			Draining: e.draining.Load(),
			Ejected:  e.ejectedUntil.Load() != 0,
		})
	}
	return s
}
