package engine

import "time"

// tracker learns how declared run times of a queue relate to real ones: callers' own
// estimates are off by half and more, but in the same way for like jobs.
type tracker struct {
	ratios map[string]float64 // by queue: real time in parts of the declared one
	// stop is how long stopped tasks lately took to end.
	stop time.Duration
}

const (
	// learnShare is the weight of the newest run. Queues see tens of runs a minute.
	learnShare = 0.15
	// ratios are kept within bounds, so that a few odd runs can't spoil decisions.
	leastRatio = 0.3
	mostRatio  = 3.0
	// leastRemaining keeps a task that should have ended from counting as free.
	leastRemaining = 150 * time.Millisecond
)

func newTracker(stop time.Duration) tracker {
	return tracker{ratios: map[string]float64{}, stop: stop}
}

// stopped takes how long a stopped task took to end.
func (t *tracker) stopped(took time.Duration) {
	t.stop = time.Duration((1-learnShare)*float64(t.stop) + learnShare*float64(took))
}

func (t *tracker) ratio(queue string) float64 {
	if r, ok := t.ratios[queue]; ok {
		return r
	}
	return 1
}

func (t *tracker) learn(queue string, ratio float64) {
	ratio = min(max(ratio, leastRatio), mostRatio)
	t.ratios[queue] = (1-learnShare)*t.ratio(queue) + learnShare*ratio
}

// learn takes the length of a run that began at the start and ended well.
//
// The failure it guards against: after a takeover the ends of runs that a predecessor
// started would be learned with wrong lengths, of hours where the end came before the run
// was seen, and all forecasts of their queue would be off for dozens of runs.
func (e *Engine) learn(now time.Duration, p *placement) {
	if p.adopted {
		return // how long it ran before this planner is not known
	}
	declared := p.unit.spec().Estimate
	if p.unit.spec().Fills || !e.params.Policy.LearnedRunTimes {
		return // what fills takes what others leave
	}
	if declared <= 0 || p.unit.saved != "" && p.unit.spec().Checkpoints && p.unit.run > 1 {
		return
	}
	e.tracker.learn(p.unit.job.spec.Queue, float64(now-p.began)/float64(declared))
}

// estimate returns how long a run of u is expected to take.
func (e *Engine) estimate(u *unit) time.Duration {
	return time.Duration(e.tracker.ratio(u.job.spec.Queue) * float64(u.spec().Estimate))
}

// remaining returns how long a run is expected to go on.
func (e *Engine) remaining(now time.Duration, p *placement) time.Duration {
	if p.stopping {
		return max(e.params.StopTime-(now-p.stopSent), leastRemaining)
	}
	if left, ok := p.pulse.remaining(now); ok {
		return max(left, leastRemaining)
	}
	whole := e.estimate(p.unit)
	if p.state != placeRunning {
		return whole
	}
	undone := float64(100-min(p.pulse.percent, 100)) / 100
	return max(time.Duration(float64(whole)*undone)-(now-p.movedAt), leastRemaining)
}
