package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Write is a set of changes to store together.
type Write struct {
	Jobs    []JobWrite
	Workers []WorkerInfo
	// RemovedWorkers are workers whose records are removed.
	RemovedWorkers []WorkerID
	// EndedJobs are jobs whose records are replaced by their outcomes, ExpiredJobs those
	// whose outcomes are removed.
	EndedJobs   []EndedJob
	ExpiredJobs []ExpiredJob
}

// JobWrite is the new record of one job.
type JobWrite struct {
	ID       workload.JobID
	Version  int
	Progress *JobProgress
}

// Empty reports whether there is nothing to write.
func (w *Write) Empty() bool {
	return len(w.Jobs)+len(w.Workers)+len(w.RemovedWorkers)+len(w.EndedJobs)+len(w.ExpiredJobs) == 0
}

// PendingChanges returns up to limit changed records that are not stored yet, first those that
// starts or ends wait for. The caller writes them, passes WriteApplied to the engine, and does not
// ask for more changes before that.
func (e *Engine) PendingChanges(now time.Duration, wall time.Time, limit int) Write {
	var w Write
	for _, id := range slices.Sorted(maps.Keys(e.unrecordedWorkers)) {
		if limit == 0 {
			return w
		}
		w.Workers = append(w.Workers, e.unrecordedWorkers[id].record())
		delete(e.changedSpeeds, id)
		limit--
	}
	reserved := min(limit, minLeaseRecords)
	limit -= reserved - e.addLeaseRecords(now, &w, reserved)
	for _, j := range e.changedJobs() {
		if limit == 0 {
			return w
		}
		w.Jobs = append(w.Jobs, JobWrite{ID: j.spec.ID, Version: j.version, Progress: j.progress(e.epoch, now, wall)})
		limit--
	}
	limit = e.addLeaseRecords(now, &w, limit)
	limit = e.addSpeeds(&w, limit)
	return e.addRemovals(w, limit, now, wall)
}

// changedJobs returns the jobs with unstored changes in order of acceptance.
func (e *Engine) changedJobs() []*job {
	var changed []*job
	for id := range e.dirtyJobs {
		if j := e.jobs[id]; j != nil && j.storedVersion < j.version {
			changed = append(changed, j)
		}
	}
	slices.SortFunc(changed, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	return changed
}

// addRemovals adds the records to remove or replace to w.
func (e *Engine) addRemovals(w Write, limit int, now time.Duration, wall time.Time) Write {
	for _, id := range slices.Sorted(maps.Keys(e.goneWorkers)) {
		if limit <= 0 {
			return w
		}
		w.RemovedWorkers = append(w.RemovedWorkers, id)
		limit--
	}
	for _, id := range slices.Sorted(maps.Keys(e.archiving)) {
		if limit < archiveRecords {
			return w
		}
		w.EndedJobs = append(w.EndedJobs, e.jobs[id].endedJob(e.epoch, now, wall))
		limit -= archiveRecords
	}
	for _, id := range slices.Sorted(maps.Keys(e.expired)) {
		if limit < removalRecords {
			return w
		}
		w.ExpiredJobs = append(w.ExpiredJobs, e.jobs[id].expiredJob())
		limit -= removalRecords
	}
	return w
}

// handleWriteApplied processes a completed write and sends the starts that waited for it.
func (e *Engine) handleWriteApplied(now time.Duration, w Write) {
	for _, info := range w.Workers {
		if known := e.workers[info.ID]; known != nil {
			e.noteRecordWritten(now, known, info)
		} else {
			e.goneWorkers[info.ID] = true // gone while its record was being written
			delete(e.unrecordedWorkers, info.ID)
		}
	}
	for _, written := range w.Jobs {
		j := e.jobs[written.ID]
		if j == nil {
			continue
		}
		j.storedVersion = written.Version
		if j.storedVersion == j.version {
			delete(e.dirtyJobs, written.ID)
		}
		e.releaseStarts(now, j, written.Progress)
	}
	for _, id := range w.RemovedWorkers {
		delete(e.goneWorkers, id)
	}
	for _, ended := range w.EndedJobs {
		delete(e.archiving, ended.ID)
		e.jobs[ended.ID].archive(ended.CancelRevision)
	}
	for _, expired := range w.ExpiredJobs {
		delete(e.expired, expired.ID)
		e.removeJob(expired.ID)
	}
}

func (e *Engine) removeJob(id workload.JobID) {
	j := e.jobs[id]
	delete(e.jobs, id)
	e.orderedJobs = slices.DeleteFunc(e.orderedJobs, func(o *job) bool { return o == j })
}

// releaseStarts sends the start orders of a job's units whose current run is in the written
// record.
func (e *Engine) releaseStarts(now time.Duration, j *job, written *JobProgress) {
	for i := range written.Units {
		u := j.findUnit(written.Units[i].Occurrence, written.Units[i].Step, written.Units[i].Index)
		if u == nil || u.runNumber != written.Units[i].RunNumber {
			continue
		}
		e.orderUnitStarts(now, u)
	}
}

// orderUnitStarts sends the starts of a run to all its workers, or to none if one of them can
// no longer take it.
func (e *Engine) orderUnitStarts(now time.Duration, u *unit) {
	var ready []*placement
	for _, p := range u.placements {
		if p.state != placementUnrecorded {
			continue
		}
		_, allowed := u.ticketFor(now, p.worker.info.ID)
		if u.ending() || !p.worker.usable(now) || !p.worker.stillFits(p) || !allowed {
			e.abandonRun(now, u)
			return
		}
		ready = append(ready, p)
	}
	for _, p := range ready {
		e.orderStart(now, p)
	}
}

func (e *Engine) orderStart(now time.Duration, p *placement) {
	p.state = placementOrdered
	p.startedAt = now
	p.resumed = p.unit.checkpoint != ""
	p.unit.times.storeWait = now - p.unit.placedAt
	p.progressedAt = now
	o := e.ordersFor(p.worker)
	if len(o.Starts) == 0 {
		o.DecidedAfter = max(1, withoutClockDrift(now-p.worker.grantedAt))
	}
	p.orderedTo = o.Grant.Process
	p.lastCallBy = e.lastCallTime(now, p)
	ticket, _ := p.unit.ticketFor(now, p.worker.info.ID)
	o.Starts = append(o.Starts, StartOrder{Run: p.runID(), Spec: p.unit.job.spec.Spec, Checkpoint: p.unit.checkpoint, Ticket: ticket})
	e.logDecision(p, "start", "")
	e.initPaces(now, p)
}

// abandonRun gives up a run because not all members can start.
func (e *Engine) abandonRun(now time.Duration, u *unit) {
	if u.outcome == outcomeNone {
		u.outcome = outcomeRetry
		e.markChanged(u.job)
	}
	e.stopUnit(now, u, CauseGangIncomplete)
}

func (j *job) findUnit(occurrence, step, index int) *unit {
	for _, u := range j.units {
		if u.occurrence == occurrence && u.step == step && u.index == index {
			return u
		}
	}
	return nil
}
