package workerspeed

import (
	"math"
	"time"
)

// worker is the evidence on one worker in information form: precision is the sum of the
// observations' weights, and evidence that of their weighted residuals.
type worker struct {
	pool      *pool
	precision float64
	weighted  float64
	// independent is the part of precision that counts for the test of heterogeneity: the members
	// of a gang share one run and so its error.
	independent float64
	evidence    float64
	runs        int
	turned      bool
	updatedAt   time.Duration
}

// decay reduces the weight of the evidence by the time since the last call.
func (w *worker) decay(now time.Duration) {
	if elapsed := now - w.updatedAt; elapsed > 0 && w.precision > 0 {
		factor := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
		w.precision *= factor
		w.weighted *= factor
		w.independent *= factor
		w.evidence *= factor
	}
	w.updatedAt = max(w.updatedAt, now)
}

// add adds a residual with a weight. share is the part of the run that is independent evidence.
func (w *worker) add(residual, weight, share float64) {
	w.precision += weight
	w.weighted += weight * residual
	w.independent += weight * share
	w.evidence++
}

// replace sets the evidence to a single observation.
func (w *worker) replace(effect, weight float64) {
	w.precision, w.weighted, w.independent = weight, weight*min(max(effect, -maxEffect), maxEffect), weight
	w.evidence = 1
	w.turned = true
}

// raw returns the mean residual without shrinkage.
func (w *worker) raw() float64 { return w.weighted / w.precision }

// effect returns the estimated logarithm of the worker's slowdown, shrunk towards the mean of its
// pool.
func (w *worker) effect() float64 {
	return (w.weighted + w.pool.mean/w.pool.variance) * w.variance()
}

// variance returns the variance of effect.
func (w *worker) variance() float64 { return 1 / (w.precision + 1/w.pool.variance) }
