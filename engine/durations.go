package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/runtimes"
	"github.com/eelgrasshub/eelgrasshub/workerspeed"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// durationTracker learns how long runs and stops take.
type durationTracker struct {
	runTimes *runtimes.Model
	// speeds holds how fast workers are; run times are those on an average worker.
	speeds *workerspeed.Model
	// stopTime is a moving average of the time that stopped tasks took to end.
	stopTime time.Duration
	// progressQueues holds the queues of which a run has reported progress.
	progressQueues map[string]bool
}

const (
	// stopTimeWeight is the weight of the newest stop in the average.
	stopTimeWeight = 0.15
	// minRemaining is the shortest expected remaining time, so that an overdue run does not
	// count as free.
	minRemaining = 150 * time.Millisecond
)

func newDurationTracker(stop time.Duration) durationTracker {
	return durationTracker{runTimes: runtimes.New(), speeds: workerspeed.New(), stopTime: stop, progressQueues: map[string]bool{}}
}

// observeStop records how long a stopped task took to end.
func (t *durationTracker) observeStop(elapsed time.Duration) {
	t.stopTime = time.Duration((1-stopTimeWeight)*float64(t.stopTime) + stopTimeWeight*float64(elapsed))
}

// learnRunTime records the length of a completed run, for a gang that of the first member to
// end. It skips runs whose length does not represent their queue.
func (e *Engine) learnRunTime(now time.Duration, p *placement) {
	if p.adopted {
		return // its start time is unknown, and a wrong length would distort many estimates of its queue
	}
	u := p.unit
	if u.state == unitDone || u.spec().BestEffortCPU || u.spec().LongRunning || !e.params.Policy.LearnedRunTimes {
		return // the run time of best-effort tasks depends on their neighbours
	}
	if u.checkpoint != "" && u.spec().Checkpoints && u.runNumber > 1 {
		return
	}
	e.tracker.runTimes.Observe(u.job.spec.Queue, u.spec().Estimate, scale(now-p.startedAt, 1/e.slowdown(now, u)))
}

// estimate returns how long a run of u is expected to take.
func (e *Engine) estimate(u *unit) time.Duration { return e.expectedRunTime(u.job, u.spec()) }

// expectedRunTime returns how long a run of a step is expected to take.
func (e *Engine) expectedRunTime(j *job, s *workload.Step) time.Duration {
	if s.BestEffortCPU {
		return s.Estimate
	}
	return e.tracker.runTimes.Estimate(j.spec.Queue, s.Estimate)
}

// criticalPath returns the expected length of a job's critical path.
func (e *Engine) criticalPath(j *job) time.Duration {
	longest := time.Duration(0)
	for _, path := range e.criticalPaths(j) {
		longest = max(longest, path)
	}
	return longest
}

// criticalPaths returns the expected length of the critical path from each step on. The caller
// must not modify the slice.
func (e *Engine) criticalPaths(j *job) []time.Duration {
	if version := e.tracker.runTimes.Version(); j.criticalPaths == nil || j.criticalPathsVersion != version {
		j.criticalPaths = j.spec.CriticalPaths(func(s *workload.Step) time.Duration { return e.expectedRunTime(j, s) })
		j.criticalPathsVersion = version
	}
	return j.criticalPaths
}

// remaining returns how long a run is expected to continue; never for a long-running one that nobody
// stops.
func (e *Engine) remaining(now time.Duration, p *placement) time.Duration {
	if p.state == placementAbsent {
		return max(p.lastCallBy+MaxCallDelay+maxPollAge-now, minRemaining)
	}
	if p.stopping {
		return max(e.params.StopTime-(now-p.stopSentAt), minRemaining)
	}
	if p.unit.spec().LongRunning {
		return never
	}
	if remaining, ok := p.rate.remaining(now); ok {
		return max(remaining, minRemaining)
	}
	estimate := e.estimateAsPlaced(now, p.unit)
	if p.state != placementRunning {
		return estimate
	}
	undone := float64(100-min(p.rate.lastPercent, 100)) / 100
	return max(time.Duration(float64(estimate)*undone)-(now-p.progressedAt), minRemaining)
}
