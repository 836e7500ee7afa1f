package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of the newest answer in the average latency.
	latencyWeight = 1.0 / 16
	// assumedLatency is the expected latency before the first answer.
	assumedLatency = 100 * time.Millisecond
)

// availability is whether an endpoint may be chosen.
type availability int

const (
	available availability = iota
	trialDue
	unavailable
)

// endpoint is what one entry knows about one target. Pick reads only the
// atomics. The fields after mu are guarded by it.
type endpoint struct {
	id          TargetID
	zone        string
	incarnation uint64

	inflight       atomic.Int64
	windowSize     atomic.Int64 // window.size, rounded down
	latency        atomic.Int64 // moving average in nanoseconds; 0 while unknown
	slots          atomic.Int64 // requests that the target runs at the same time
	othersLoad     atomic.Int64 // requests of other entries at the target, as last reported
	loadReportedAt atomic.Int64 // Unix nanoseconds
	draining       atomic.Bool
	removed        atomic.Bool
	ejectedUntil   atomic.Int64 // Unix nanoseconds; 0 while not ejected
	trialInFlight  atomic.Bool

	mu          sync.Mutex
	window      concurrencyWindow
	breaker     breaker
	contributed contribution // what Router.totals includes of this endpoint
}

// newEndpoint returns an endpoint without measurements. Its initial window is the
// target's number of slots if initialWindow is 0.
func newEndpoint(t Target, initialWindow int) *endpoint {
	if initialWindow == 0 {
		initialWindow = t.Slots
	}
	e := &endpoint{id: t.ID, zone: t.Zone, incarnation: t.Incarnation}
	e.window = newConcurrencyWindow(initialWindow, t.MaxInflight)
	e.windowSize.Store(int64(e.window.size))
	e.slots.Store(int64(max(1, t.Slots)))
	e.draining.Store(t.Draining)
	return e
}

// availability returns whether the endpoint may be chosen now, or only for a trial
// after its ejection.
func (e *endpoint) availability(now int64) availability {
	if e.draining.Load() || e.removed.Load() {
		return unavailable
	}
	until := e.ejectedUntil.Load()
	if until == 0 {
		return available
	}
	if now >= until && !e.trialInFlight.Load() {
		return trialDue
	}
	return unavailable
}

// estimatedLoad estimates the number of requests at the target: this entry's
// own, and those of other entries as last reported. The weight of a report
// decreases to zero with its age, since a target that is not chosen sends no new
// one.
func (e *endpoint) estimatedLoad(now, staleAfter int64) int64 {
	own := e.inflight.Load()
	age := now - e.loadReportedAt.Load()
	if age >= staleAfter || age < 0 {
		return own
	}
	return own + e.othersLoad.Load()*(staleAfter-age)/staleAfter
}

// cost is proportional to the expected completion time of one more attempt: the
// latency times the requests per slot.
func (e *endpoint) cost(now, staleAfter int64) float64 {
	load := float64(e.estimatedLoad(now, staleAfter) + 1)
	return float64(e.latency.Load()+1) * load / float64(e.slots.Load())
}

// hasFreeSlot reports whether the target is expected to have a free slot.
func (e *endpoint) hasFreeSlot(now, staleAfter int64) bool {
	return e.estimatedLoad(now, staleAfter) < e.slots.Load()
}

// acquire counts one more attempt in flight. It returns false if the window is
// full.
func (e *endpoint) acquire() bool {
	for {
		inflight := e.inflight.Load()
		if inflight >= e.windowSize.Load() {
			return false
		}
		if e.inflight.CompareAndSwap(inflight, inflight+1) {
			return true
		}
	}
}

func (e *endpoint) release() {
	if e.inflight.Add(-1) < 0 {
		panic("routing: ticket passed to Done twice")
	}
}

// recordLoad stores the load that the agent reported with a reply.
func (e *endpoint) recordLoad(now int64, l Load) {
	if l.Slots > 0 {
		e.slots.Store(int64(l.Slots))
	}
	own := e.inflight.Load()
	e.othersLoad.Store(max(0, int64(l.Running+l.Queued)-own))
	e.loadReportedAt.Store(now)
	if l.Draining {
		e.draining.Store(true)
	}
}

func (e *endpoint) recordLatency(latency time.Duration) {
	average := e.latency.Load()
	if average == 0 {
		e.latency.Store(int64(latency))
		return
	}
	e.latency.Store(average + int64(latencyWeight*float64(int64(latency)-average)))
}

// expectedLatency returns the average latency, or assumedLatency before the first
// answer.
func (e *endpoint) expectedLatency() time.Duration {
	if latency := e.latency.Load(); latency > 0 {
		return time.Duration(latency)
	}
	return assumedLatency
}

// contribution returns what the endpoint adds to the router's totals.
func (e *endpoint) contribution() contribution {
	if e.draining.Load() || e.removed.Load() || e.ejectedUntil.Load() != 0 {
		return contribution{}
	}
	return contribution{window: e.windowSize.Load(), failureRate: int64(e.breaker.failureRate * ppm), available: 1}
}
