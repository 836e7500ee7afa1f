package engine

import (
	"cmp"
	"slices"
	"time"
)

// The newest checkpoints of running tasks are stored periodically. Otherwise, if a planner and
// the workers are lost together, as in a power failure, the next planner knows no checkpoint
// and all work since the start of each run has to be repeated.
const (
	// checkpointWriteInterval is the minimum time between two such writes.
	checkpointWriteInterval = time.Second
	// maxCheckpointJobs limits the jobs in one write so that its cost does not grow with the
	// number of workers. Jobs with the most unrecorded work go first. This many fit into one
	// call to the store.
	maxCheckpointJobs = 15
)

// writeCheckpoints marks the jobs whose newest checkpoints are to be stored now.
func (e *Engine) writeCheckpoints(now time.Duration) {
	if !e.params.Policy.StoreCheckpoints || now-e.checkpointsWrittenAt < checkpointWriteInterval {
		return
	}
	e.checkpointsWrittenAt = now
	type gain struct {
		job  *job
		work float64 // core-seconds
	}
	var candidates []gain
	for _, j := range e.orderedJobs {
		if j.state.Final() {
			continue
		}
		if work := j.unrecordedWork(); work > 0 {
			candidates = append(candidates, gain{j, work})
		}
	}
	slices.SortStableFunc(candidates, func(a, b gain) int { return cmp.Compare(b.work, a.work) })
	for _, g := range candidates[:min(len(candidates), maxCheckpointJobs)] {
		for _, u := range g.job.units {
			u.recordCheckpoint()
		}
		e.markChanged(g.job)
	}
}

// unrecordedWork returns the work that checkpoints hold beyond the stored ones, in core-seconds.
func (j *job) unrecordedWork() float64 {
	sum := 0.0
	for _, u := range j.units {
		if p := u.newestCheckpoint(); p != nil {
			recordedTo := max(u.checkpointAt, p.startedAt)
			sum += u.totalDemand().CoreEquivalent() * (p.checkpointAt - recordedTo).Seconds()
		}
	}
	return sum
}

// newestCheckpoint returns the running member with the newest checkpoint that is not stored, or
// nil. A checkpoint of any member is valid for the whole gang.
func (u *unit) newestCheckpoint() *placement {
	if u.state != unitActive || u.ending() {
		return nil
	}
	var best *placement
	for _, p := range u.placements {
		if p.checkpoint == "" || p.checkpoint == u.checkpoint || p.state != placementRunning {
			continue
		}
		if best == nil || p.checkpointAt > best.checkpointAt {
			best = p
		}
	}
	if best == nil || best.checkpointAt <= u.checkpointAt {
		return nil
	}
	return best
}

// recordCheckpoint makes the newest checkpoint the one that the next run resumes from.
func (u *unit) recordCheckpoint() {
	if p := u.newestCheckpoint(); p != nil {
		u.checkpoint = p.checkpoint
		u.checkpointAt = p.checkpointAt
	}
}
