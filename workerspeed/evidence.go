package workerspeed

import (
	"math"
	"time"
)

// maxPrecision bounds plausible evidence.
const maxPrecision = 1e5

// Evidence is what a Model knows of a worker, in a form that can be kept elsewhere and restored.
type Evidence struct {
	// Effect is the logarithm of the worker's factor, Precision the inverse of its variance.
	Effect, Precision float64
}

// Evidence returns what has been observed of a worker, in bounds that Restore accepts. It returns false if
// that is nothing.
func (m *Model) Evidence(now time.Duration, name string) (Evidence, bool) {
	w := m.workers[name]
	if w == nil || w.precision <= 0 {
		return Evidence{}, false
	}
	w.decay(m.advance(now))
	return Evidence{Effect: clip(w.weighted/w.precision, maxEffect), Precision: min(w.precision, maxPrecision)}, true
}

// Restore records evidence from an earlier Model. It has no effect if the worker has been observed
// already; invalid evidence is counted and otherwise ignored.
func (m *Model) Restore(now time.Duration, poolName, name string, e Evidence) {
	if w := m.takeOver(now, poolName, name, e); w != nil {
		w.pool.compareRestored(e)
	}
}

// Inherit records evidence from an earlier incarnation of a worker in this Model, like Restore. Whether
// the workers of the pool differ has been judged by it already.
func (m *Model) Inherit(now time.Duration, poolName, name string, e Evidence) {
	m.takeOver(now, poolName, name, e)
}

// takeOver gives a worker evidence and returns the worker, or nil if it has been observed already or the
// evidence is invalid.
func (m *Model) takeOver(now time.Duration, poolName, name string, e Evidence) *worker {
	if !(math.Abs(e.Effect) <= maxEffect) || !(e.Precision > 0 && e.Precision <= maxPrecision) || !m.findMembers(now, poolName, []string{name}) {
		m.ignored++
		return nil
	}
	w := m.members[0].worker
	if w.precision > 0 {
		return nil
	}
	w.precision, w.weighted = e.Precision, e.Precision*e.Effect
	m.version++ // the pool is not centred before all of its workers are restored
	return w
}
