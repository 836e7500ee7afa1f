package workerspeed

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the time after which evidence counts half, so that a worker whose speed
	// changes between runs is reassessed within minutes.
	evidenceHalfLife = 60 * time.Second
	// changeWindow is the time within which reports in the same direction describe the same
	// change: each run on the worker shows it, some of them later than others.
	changeWindow = 30 * time.Second
	// changeVariance is the variance of the error of a reported change that is confirmed.
	changeVariance = 0.0625
	// changeStreak is the number of consecutive runs that show a change of speed if each is off by
	// changeSigmas standard deviations. A few runs in a hundred are long by their own nature.
	changeStreak = 5
	changeSigmas = 2.0
)

// worker is the evidence on one worker: the parameters by which the distribution of its effect
// differs from that of its pool.
type worker struct {
	pool  *pool
	name  string
	index int // in pool.workers
	// precision and weighted are the inverse of the variance of the evidence, and its mean times
	// that.
	precision, weighted float64
	runs                int
	// evidence is that of pool.evidence from single tasks on this worker. apart is set if the worker
	// differs from the others by more than chance.
	evidence float64
	apart    bool
	// turned is set if apart follows from a change of speed.
	turned bool
	// streak counts consecutive outliers above (positive) or below (negative) the expectation, and
	// least is the smallest of their residuals.
	streak    int
	least     float64
	updatedAt time.Duration
	seenAt    time.Duration // time of the last observation
	// changedAt, changedFrom and lastChange are the time of the last reported change of speed, the
	// effect before it and its logarithm; changeReports is the number of reports of it.
	changedAt     time.Duration
	changedFrom   float64
	lastChange    float64
	changeReports int
}

// decay reduces the weight of the evidence by the time since the last call.
func (w *worker) decay(now time.Duration) {
	elapsed := now - w.updatedAt
	if elapsed <= 0 {
		return
	}
	w.updatedAt = now
	if w.precision != 0 {
		factor := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
		w.precision *= factor
		w.weighted *= factor
	}
}

// effect returns the estimated logarithm of the worker's factor.
func (w *worker) effect() float64 { return w.weighted * w.variance() }

// variance returns the variance of effect.
func (w *worker) variance() float64 { return 1 / (w.precision + 1/poolVariance) }

// update replaces the distribution of the effect, which was before, by that after a run.
func (w *worker) update(before, after normal) {
	w.set(after.mean, max(0, w.precision+1/after.variance-1/before.variance))
}

// set sets the effect, and the precision of its evidence.
func (w *worker) set(effect, precision float64) {
	w.precision = precision
	w.weighted = clip(effect, maxEffect) * (precision + 1/poolVariance)
}

// replace drops the evidence on the speed before a change, and sets that on the speed after it.
func (w *worker) replace(effect, precision float64) {
	w.set(effect, precision)
	w.streak = 0
}

// change replaces the evidence by a reported change of speed, or confirms the last one.
func (w *worker) change(now time.Duration, change float64) {
	if change*w.lastChange > 0 && now-w.changedAt <= changeWindow {
		w.changeReports++
	} else {
		w.changedAt, w.changedFrom, w.lastChange, w.changeReports = now, w.effect(), change, 1
	}
	if w.changeReports == 1 {
		// A hint, which is shrunk like any evidence.
		w.precision = 1 / (change * change)
		w.weighted = (w.changedFrom + change) * w.precision
		return
	}
	w.replace(w.changedFrom+w.lastChange, float64(w.changeReports)/changeVariance)
	w.turned = true
	w.setApart(math.Abs(w.effect()) >= changeLog)
}

// addEvidence adds the evidence of a single task on whether the worker differs from the others.
func (w *worker) addEvidence(logRatio float64) {
	w.evidence = addBounded(w.evidence, logRatio)
	switch {
	case w.evidence >= differEvidence+math.Log(float64(len(w.pool.workers))) && math.Abs(w.effect()) >= minFactorLog:
		w.setApart(true)
	case w.evidence <= sameEvidence && math.Abs(w.effect()) < changeLog:
		w.setApart(false)
	}
}

// setApart changes apart and its count in the pool.
func (w *worker) setApart(apart bool) {
	if apart == w.apart {
		return
	}
	w.apart = apart
	if apart {
		w.pool.apart++
		return
	}
	w.pool.apart--
	w.turned = false
}

// noteOutlier counts consecutive runs in one direction of what was expected, where either the run or
// the expectation is that of a worker of less than half or more than twice the average speed. After
// changeStreak of them the worker has changed its speed: the least of the residuals replaces the
// earlier evidence, since some may be those of long tasks. It reports whether that is so.
func (w *worker) noteOutlier(residual, deviation, variance float64) bool {
	direction := 0
	limit := changeSigmas * math.Sqrt(variance)
	switch far := max(math.Abs(residual), math.Abs(w.effect())) >= changeLog; {
	case far && deviation > limit:
		direction = 1
	case far && deviation < -limit:
		direction = -1
	}
	switch {
	case direction == 0:
		w.streak = 0
		return false
	case direction*w.streak <= 0:
		w.streak, w.least = direction, residual
	default:
		w.streak += direction
		if math.Abs(residual) < math.Abs(w.least) {
			w.least = residual
		}
	}
	if w.streak*direction < changeStreak {
		return false
	}
	w.replace(w.least, 1/changeVariance)
	w.turned = true
	w.setApart(math.Abs(w.least) >= changeLog)
	return true
}
