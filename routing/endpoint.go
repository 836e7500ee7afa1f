package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of the newest answer in the latency average.
	latencyWeight = 1.0 / 16
	// assumedLatency is taken for the latency before the first answer.
	assumedLatency = 100 * time.Millisecond
)

// availability says whether an endpoint may be chosen.
type availability int

const (
	available availability = iota
	trialDue
	unavailable
)

// endpoint is what one entry knows about one target. The atomics are what a
// pick reads; the rest is changed by outcomes, under mu.
type endpoint struct {
	id          TargetID
	zone        string
	incarnation uint64

	inflight       atomic.Int64
	windowSize     atomic.Int64 // whole attempts
	latency        atomic.Int64 // moving average, nanoseconds; 0 while unknown
	slots          atomic.Int64
	othersLoad     atomic.Int64 // reported requests that are not this entry's
	loadReportedAt atomic.Int64 // when
	draining       atomic.Bool
	removed        atomic.Bool
	ejectedUntil   atomic.Int64 // 0 while open
	trialInFlight  atomic.Bool  // the half-open attempt is in flight

	mu          sync.Mutex
	window      concurrencyWindow
	breaker     breaker
	contributed contribution // in the router's sums
}

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

// estimatedLoad estimates the requests at the target: this entry's own, which are
// known, and those of others as last reported. A report fades with age;
// otherwise a target that was once busy would never be asked again.
func (e *endpoint) estimatedLoad(now, staleAfter int64) int64 {
	own := e.inflight.Load()
	age := now - e.loadReportedAt.Load()
	if age >= staleAfter || age < 0 {
		return own
	}
	return own + e.othersLoad.Load()*(staleAfter-age)/staleAfter
}

// cost is the expected completion time of one more attempt, up to a common
// factor: latency times the requests it would share the slots with.
func (e *endpoint) cost(now, staleAfter int64) float64 {
	load := float64(e.estimatedLoad(now, staleAfter) + 1)
	return float64(e.latency.Load()+1) * load / float64(e.slots.Load())
}

// hasFreeSlot reports whether a slot is expected to be free.
func (e *endpoint) hasFreeSlot(now, staleAfter int64) bool {
	return e.estimatedLoad(now, staleAfter) < e.slots.Load()
}

// acquire takes one place in the window.
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
		panic("routing: a ticket was handed back twice")
	}
}

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

// expectedLatency is the measured latency, or a guess while nothing is known.
func (e *endpoint) expectedLatency() time.Duration {
	if latency := e.latency.Load(); latency > 0 {
		return time.Duration(latency)
	}
	return assumedLatency
}

// contribution returns what the endpoint adds to the router's sums.
func (e *endpoint) contribution() contribution {
	if e.draining.Load() || e.removed.Load() || e.ejectedUntil.Load() != 0 {
		return contribution{}
	}
	return contribution{window: e.windowSize.Load(), failureRate: int64(e.breaker.failureRate * ppm), available: 1}
}
