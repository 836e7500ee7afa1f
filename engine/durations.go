package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/runtimes"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// durationTracker learns how long runs and stops take.
type durationTracker struct {
	runTimes *runtimes.Model
	// stopTime is how long stopped tasks lately took to end.
	stopTime time.Duration
	// progressQueues are the queues of which a run has shown progress.
	progressQueues map[string]bool
}

const (
	// stopTimeWeight is the weight of the newest stop.
	stopTimeWeight = 0.15
	// minRemaining keeps a task that should have ended from counting as free.
	minRemaining = 150 * time.Millisecond
)

func newDurationTracker(stop time.Duration) durationTracker {
	return durationTracker{runTimes: runtimes.New(), stopTime: stop, progressQueues: map[string]bool{}}
}

// observeStop takes how long a observeStop task took to end.
func (t *durationTracker) observeStop(elapsed time.Duration) {
	t.stopTime = time.Duration((1-stopTimeWeight)*float64(t.stopTime) + stopTimeWeight*float64(elapsed))
}

// learnRunTime takes the length of a run that began at the start and ended well; of a gang's, that
// of the member which is first to say so.
//
// The failure it guards against: after a takeover the ends of runs that a predecessor
// started would be learned with wrong lengths, of hours where the end came before the run
// was seen, and all forecasts of their queue would be off for dozens of runs.
func (e *Engine) learnRunTime(now time.Duration, p *placement) {
	if p.adopted {
		return // how long it ran before this planner is not known
	}
	u := p.unit
	if u.state == unitDone || u.spec().BestEffortCPU || u.spec().LongRunning || !e.params.Policy.LearnedRunTimes {
		return // what fills takes what others leave
	}
	if u.checkpoint != "" && u.spec().Checkpoints && u.runNumber > 1 {
		return
	}
	e.tracker.runTimes.Observe(u.job.spec.Queue, u.spec().Estimate, now-p.startedAt)
}

// estimate returns how long a run of u is expected to take.
func (e *Engine) estimate(u *unit) time.Duration { return e.expectedRunTime(u.job, u.spec()) }

func (e *Engine) expectedRunTime(j *job, s *workload.Step) time.Duration {
	if s.BestEffortCPU {
		return s.Estimate
	}
	return e.tracker.runTimes.Estimate(j.spec.Queue, s.Estimate)
}

// criticalPath returns how long the longest criticalPath of work of a job is expected to take.
func (e *Engine) criticalPath(j *job) time.Duration {
	longest := time.Duration(0)
	for _, path := range e.criticalPaths(j) {
		longest = max(longest, path)
	}
	return longest
}

// criticalPaths returns how long the longest chain of work from each step on is expected to take.
// The caller does not change the slice.
func (e *Engine) criticalPaths(j *job) []time.Duration {
	if version := e.tracker.runTimes.Version(); j.criticalPaths == nil || j.criticalPathsVersion != version {
		j.criticalPaths = j.spec.CriticalPaths(func(s *workload.Step) time.Duration { return e.expectedRunTime(j, s) })
		j.criticalPathsVersion = version
	}
	return j.criticalPaths
}

// remaining returns how long a run is expected to go on.
func (e *Engine) remaining(now time.Duration, p *placement) time.Duration {
	if p.stopping {
		return max(e.params.StopTime-(now-p.stopSentAt), minRemaining)
	}
	if left, ok := p.rate.remaining(now); ok {
		return max(left, minRemaining)
	}
	estimate := e.estimate(p.unit)
	if p.state != placementRunning {
		return estimate
	}
	undone := float64(100-min(p.rate.lastPercent, 100)) / 100
	return max(time.Duration(float64(estimate)*undone)-(now-p.progressedAt), minRemaining)
}
