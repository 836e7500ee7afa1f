package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/runtimes"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// tracker learns how long runs and stops take.
type tracker struct {
	runs *runtimes.Model
	// stop is how long stopped tasks lately took to end.
	stop time.Duration
	// moves are the queues of which a run has shown progress.
	moves map[string]bool
}

const (
	// learnShare is the weight of the newest stop.
	learnShare = 0.15
	// leastRemaining keeps a task that should have ended from counting as free.
	leastRemaining = 150 * time.Millisecond
)

func newTracker(stop time.Duration) tracker {
	return tracker{runs: runtimes.New(), stop: stop, moves: map[string]bool{}}
}

// stopped takes how long a stopped task took to end.
func (t *tracker) stopped(took time.Duration) {
	t.stop = time.Duration((1-learnShare)*float64(t.stop) + learnShare*float64(took))
}

// learn takes the length of a run that began at the start and ended well; of a gang's, that
// of the member which is first to say so.
//
// The failure it guards against: after a takeover the ends of runs that a predecessor
// started would be learned with wrong lengths, of hours where the end came before the run
// was seen, and all forecasts of their queue would be off for dozens of runs.
func (e *Engine) learn(now time.Duration, p *placement) {
	if p.adopted {
		return // how long it ran before this planner is not known
	}
	u := p.unit
	if u.state == unitDone || u.spec().BestEffortCPU || u.spec().LongRunning || !e.params.Policy.LearnedRunTimes {
		return // what fills takes what others leave
	}
	if u.saved != "" && u.spec().Checkpoints && u.run > 1 {
		return
	}
	e.tracker.runs.Observe(u.job.spec.Queue, u.spec().Estimate, now-p.began)
}

// estimate returns how long a run of u is expected to take.
func (e *Engine) estimate(u *unit) time.Duration { return e.expect(u.job, u.spec()) }

func (e *Engine) expect(j *job, s *workload.Step) time.Duration {
	if s.BestEffortCPU {
		return s.Estimate
	}
	return e.tracker.runs.Estimate(j.spec.Queue, s.Estimate)
}

// chain returns how long the longest chain of work of a job is expected to take.
func (e *Engine) chain(j *job) time.Duration {
	longest := time.Duration(0)
	for _, chain := range e.chainsOf(j) {
		longest = max(longest, chain)
	}
	return longest
}

// chainsOf returns how long the longest chain of work from each step on is expected to take.
// The caller does not change the slice.
func (e *Engine) chainsOf(j *job) []time.Duration {
	if version := e.tracker.runs.Version(); j.criticalPaths == nil || j.criticalPathsVersion != version {
		j.criticalPaths = j.spec.CriticalPaths(func(s *workload.Step) time.Duration { return e.expect(j, s) })
		j.criticalPathsVersion = version
	}
	return j.criticalPaths
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
