package engine

import (
	"cmp"
	"slices"
	"time"
)

// Checkpoints of running work are put on record from time to time. Without that a planner
// whose predecessor went down together with the workers, as when a site loses power, knows
// none of them, and all work since the start of each run is done again.
const (
	// checkpointWriteInterval is the least time between two such writes. Tasks save their progress each
	// second or two.
	checkpointWriteInterval = time.Second
	// maxCheckpointJobs is how many jobs one such write covers: as many as share one call to the
	// store, so that the cost does not grow with the fleet. Those with the most work that is
	// not on record go first.
	maxCheckpointJobs = 15
)

// writeCheckpoints marks the jobs whose newest checkpoints go on record now.
func (e *Engine) writeCheckpoints(now time.Duration) {
	if !e.params.Policy.KeptCheckpoints || now-e.checkpointsWrittenAt < checkpointWriteInterval {
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

// unrecordedWork returns the work, in core-seconds, that checkpoints hold and the record does not.
func (j *job) unrecordedWork() float64 {
	sum := 0.0
	for _, u := range j.units {
		if p := u.newestCheckpoint(); p != nil {
			recordedTo := max(u.keptTo, p.began)
			sum += u.total().CoreEquivalent() * (p.savedAt - recordedTo).Seconds()
		}
	}
	return sum
}

// newestCheckpoint returns the running member with the newestCheckpoint checkpoint that is not on record, nil
// where there is none. The checkpoint of any member is valid for the whole gang.
func (u *unit) newestCheckpoint() *placement {
	if u.state != unitActive || u.ending() {
		return nil
	}
	var best *placement
	for _, p := range u.places {
		if p.saved == "" || p.saved == u.saved || p.state != placeRunning {
			continue
		}
		if best == nil || p.savedAt > best.savedAt {
			best = p
		}
	}
	if best == nil || best.savedAt <= u.keptTo {
		return nil
	}
	return best
}

// recordCheckpoint makes the newest checkpoint the one from which the next run goes on.
func (u *unit) recordCheckpoint() {
	if p := u.newestCheckpoint(); p != nil {
		u.saved = p.saved
		u.keptTo = p.savedAt
	}
}
