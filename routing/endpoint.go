package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of the newest answer in the latency average.
	latencyWeight = 1.0 / 16
	// unknownLatency is taken for the latency before the first answer.
	unknownLatency = 100 * time.Millisecond
)

// condition says whether an endpoint may be chosen.
type condition int

const (
	open condition = iota
	halfOpen
	closed
)

// endpoint is what one entry knows about one target. The atomics are what a
// pick reads; the rest is changed by outcomes, under mu.
type endpoint struct {
	id          TargetID
	zone        string
	incarnation uint64

	inflight     atomic.Int64
	window       atomic.Int64 // whole attempts
	latency      atomic.Int64 // moving average, nanoseconds; 0 while unknown
	slots        atomic.Int64
	others       atomic.Int64 // reported requests that are not this entry's
	reported     atomic.Int64 // when
	draining     atomic.Bool
	removed      atomic.Bool
	ejectedUntil atomic.Int64 // 0 while open
	trial        atomic.Bool  // the half-open attempt is in flight

	mu      sync.Mutex
	win     window
	breaker breaker
	counted part // in the router's sums
}

func newEndpoint(t Target, initial int) *endpoint {
	if initial == 0 {
		initial = t.Slots
	}
	e := &endpoint{id: t.ID, zone: t.Zone, incarnation: t.Incarnation}
	e.win = newWindow(initial, t.MaxInflight)
	e.window.Store(int64(e.win.size))
	e.slots.Store(int64(max(1, t.Slots)))
	e.draining.Store(t.Draining)
	return e
}

func (e *endpoint) condition(now int64) condition {
	if e.draining.Load() || e.removed.Load() {
		return closed
	}
	until := e.ejectedUntil.Load()
	if until == 0 {
		return open
	}
	if now >= until && !e.trial.Load() {
		return halfOpen
	}
	return closed
}

// load estimates the requests at the target: this entry's own, which are
// known, and those of others as last reported. A report fades with age;
// otherwise a target that was once busy would never be asked again.
func (e *endpoint) load(now, stale int64) int64 {
	own := e.inflight.Load()
	age := now - e.reported.Load()
	if age >= stale || age < 0 {
		return own
	}
	return own + e.others.Load()*(stale-age)/stale
}

// cost is the expected completion time of one more attempt, up to a common
// factor: latency times the requests it would share the slots with.
func (e *endpoint) cost(now, stale int64) float64 {
	load := float64(e.load(now, stale) + 1)
	return float64(e.latency.Load()+1) * load / float64(e.slots.Load())
}

// idle reports whether a slot is expected to be free.
func (e *endpoint) idle(now, stale int64) bool {
	return e.load(now, stale) < e.slots.Load()
}

// acquire takes one place in the window.
func (e *endpoint) acquire() bool {
	for {
		have := e.inflight.Load()
		if have >= e.window.Load() {
			return false
		}
		if e.inflight.CompareAndSwap(have, have+1) {
			return true
		}
	}
}

func (e *endpoint) release() {
	if e.inflight.Add(-1) < 0 {
		panic("routing: a ticket was handed back twice")
	}
}

func (e *endpoint) observe(now int64, l Load) {
	if l.Slots > 0 {
		e.slots.Store(int64(l.Slots))
	}
	own := e.inflight.Load()
	e.others.Store(max(0, int64(l.Running+l.Queued)-own))
	e.reported.Store(now)
	if l.Draining {
		e.draining.Store(true)
	}
}

func (e *endpoint) measure(latency time.Duration) {
	old := e.latency.Load()
	if old == 0 {
		e.latency.Store(int64(latency))
		return
	}
	e.latency.Store(old + int64(latencyWeight*float64(int64(latency)-old)))
}

// usualLatency is the measured latency, or a guess while nothing is known.
func (e *endpoint) usualLatency() time.Duration {
	if known := e.latency.Load(); known > 0 {
		return time.Duration(known)
	}
	return unknownLatency
}

// part returns what the endpoint adds to the router's sums.
func (e *endpoint) part() part {
	if e.draining.Load() || e.removed.Load() || e.ejectedUntil.Load() != 0 {
		return part{}
	}
	return part{window: e.window.Load(), failures: int64(e.breaker.failures * ppm), open: 1}
}
