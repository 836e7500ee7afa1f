package workerspeed

import (
	"math"
	"time"
)

const (
	// poolVariance is the variance between workers that is assumed: a standard deviation of 30%. It
	// is not estimated, since a low estimate from a few similar workers keeps the effects of all
	// later ones near 0.
	poolVariance = 0.09
	// differEvidence is how much larger the probability of the observations has to become under
	// different workers than under equal ones, as a logarithm, for the workers to count as different,
	// and sameEvidence the value below which they count as equal again. Among equal workers the ratio
	// exceeds x with a probability of at most 1/x (Ville's inequality); the margin covers errors of the
	// assumed noise.
	differEvidence = 24.0
	sameEvidence   = 2.0
	// minEvidence and maxEvidence bound the evidence, so that it follows a change of the workers.
	minEvidence = -4.0
	maxEvidence = 60.0
	// maxStepEvidence bounds the influence of one run.
	maxStepEvidence = 3.0
	// refreshInterval is how often the effects are centred and idle workers dropped. That passes over all
	// workers, so a large pool waits for 1/refreshShare observations per worker, but not longer than
	// maxRefreshInterval.
	refreshInterval    = 250 * time.Millisecond
	maxRefreshInterval = 5 * time.Second
	refreshAlways      = 32 // workers up to which a pool does not wait for refreshInterval
	refreshShare       = 4
	// idleLimit is the time after which a worker without observations is dropped. Its evidence has
	// decayed to nothing.
	idleLimit = time.Hour
)

// pool holds workers that are compared with each other.
type pool struct {
	name    string
	workers []*worker
	// evidence is the logarithm of the ratio of the probabilities of the observations under
	// different and under equal workers.
	evidence    float64
	differ      bool
	apart       int // number of workers that are apart
	refreshedAt time.Duration
	// sinceRefresh counts observations since the last refresh.
	sinceRefresh int
}

func newPool(name string) *pool {
	return &pool{name: name, refreshedAt: -refreshInterval}
}

// compareRestored adds evidence on a worker from an earlier Model to the pool's evidence that its workers
// differ.
func (p *pool) compareRestored(e Evidence) {
	variance := 1 / e.Precision
	p.addEvidence(clip(math.Log(density(e.Effect, poolVariance+variance)/density(e.Effect, variance)), maxStepEvidence))
}

// addEvidence adds the logarithm of the ratio of the densities of a run time under different and
// under equal workers.
func (p *pool) addEvidence(logRatio float64) {
	p.evidence = addBounded(p.evidence, logRatio)
	switch {
	case p.evidence >= differEvidence:
		p.differ = true
	case p.evidence <= sameEvidence:
		p.differ = false
	}
}

// addBounded adds to evidence within its bounds.
func addBounded(evidence, logRatio float64) float64 {
	return min(max(evidence+logRatio, minEvidence), maxEvidence)
}

// observed counts an observation, and centres the effects and drops idle workers if that is due.
func (p *pool) observed(m *Model) {
	m.version++
	p.sinceRefresh++
	elapsed := m.now - p.refreshedAt
	if elapsed < refreshInterval && len(p.workers) > refreshAlways || p.sinceRefresh < len(p.workers)/refreshShare && elapsed < maxRefreshInterval {
		return
	}
	p.refreshedAt, p.sinceRefresh = m.now, 0
	p.refresh(m.now)
	for i := len(p.workers) - 1; i >= 0; i-- {
		if w := p.workers[i]; m.now-w.seenAt > idleLimit {
			m.Forget(w.name)
		}
	}
}

// refresh makes the mean effect of the workers 0, so that effects and bases don't drift together in
// opposite directions.
func (p *pool) refresh(now time.Duration) {
	weights, sum := 0.0, 0.0
	for _, w := range p.workers {
		w.decay(now)
		if w.precision > 0 {
			weight := 1 - w.variance()/poolVariance // the share of the prior that the evidence replaces
			weights += weight
			sum += weight * w.effect()
		}
	}
	if weights <= 0 {
		return
	}
	mean := sum / weights
	for _, w := range p.workers {
		w.weighted -= mean * w.precision
	}
}

func (p *pool) addWorker(name string) *worker {
	w := &worker{pool: p, name: name, index: len(p.workers)}
	p.workers = append(p.workers, w)
	return w
}

func (p *pool) remove(w *worker) {
	last := len(p.workers) - 1
	p.workers[w.index] = p.workers[last]
	p.workers[w.index].index = w.index
	p.workers[last] = nil
	p.workers = p.workers[:last]
}
