package workerspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// initialBetween is the variance between workers that is assumed until it can be estimated.
	initialBetween = 0.04
	// minBetween keeps effects defined where workers are equal.
	minBetween = 0.0025
	// differSigmas and sameSigmas are the standard deviations by which Cochran's Q must exceed its
	// expectation for workers to count as different, and below which they count as equal again.
	// Their distance keeps the result from changing with every run.
	differSigmas = 4.0
	sameSigmas   = 1.0
	// minBetweenToDiffer is the smallest variance between workers that matters to a decision: a
	// standard deviation of 12%.
	minBetweenToDiffer = 0.0144
	// minWorkersToDiffer is the number of observed workers from which they are compared.
	minWorkersToDiffer = 3
	// refreshInterval is how often the statistics of a pool are computed again. They pass over all
	// its workers.
	refreshInterval = 250 * time.Millisecond
)

// pool holds workers that are compared with each other.
type pool struct {
	workers []*worker
	// variance is the variance between workers, mean the mean of their effects. An effect is shrunk
	// towards the mean.
	variance    float64
	mean        float64
	differ      bool
	refreshedAt time.Duration
	// sinceRefresh counts observations since the last refresh.
	sinceRefresh int
}

func newPool() *pool { return &pool{variance: initialBetween, refreshedAt: -refreshInterval} }

// observed refreshes the statistics if they are due. The cost is spread over many observations
// of a large pool.
func (p *pool) observed(now time.Duration, m *Model) {
	m.version++
	p.sinceRefresh++
	if now-p.refreshedAt < refreshInterval || p.sinceRefresh < len(p.workers)/16 {
		return
	}
	p.refresh(now)
}

// refresh estimates the variance between workers, and tests whether they differ.
func (p *pool) refresh(now time.Duration) {
	p.refreshedAt, p.sinceRefresh = now, 0
	n, sum, sumSquares, weighted := 0, 0.0, 0.0, 0.0
	for _, w := range p.workers {
		w.decay(now)
		if w.independent <= 0 {
			continue
		}
		n++
		sum += w.independent
		sumSquares += w.independent * w.independent
		weighted += w.independent * w.raw()
	}
	if n < minWorkersToDiffer {
		return
	}
	centre, q := weighted/sum, 0.0
	for _, w := range p.workers {
		if w.independent > 0 {
			d := w.raw() - centre
			q += w.independent * d * d
		}
	}
	freedom := float64(n - 1)
	between := max(0, (q-freedom)/(sum-sumSquares/sum))
	excess := (q - freedom) / math.Sqrt(2*freedom)
	switch {
	case excess > differSigmas && between >= minBetweenToDiffer:
		p.differ = true
	case excess < sameSigmas:
		p.differ = false
	}
	p.variance = max(between, minBetween)
	p.updateMean()
}

// updateMean computes the mean effect of the workers with evidence, weighted by its precision.
func (p *pool) updateMean() {
	sum, weights := 0.0, 0.0
	for _, w := range p.workers {
		if w.precision > 0 {
			weight := 1 / (1/w.precision + p.variance)
			sum += weight * w.raw()
			weights += weight
		}
	}
	if weights > 0 {
		p.mean = sum / weights
	}
}

func (p *pool) remove(w *worker) {
	p.workers = slices.DeleteFunc(p.workers, func(o *worker) bool { return o == w })
}
