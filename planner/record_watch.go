package planner

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// followRecords lists the job records and watches them from there, and starts
// over whenever the watch ends.
func (p *Planner) followRecords() error {
	prefix := p.cfg.Jobs.Prefix(p.cfg.Service)
	ctx := p.tomb.Context(context.Background())
	for {
		snap, err := p.cfg.Store.List(ctx, prefix)
		if err == nil {
			p.post(func() { p.handleListing(snap) })
			_ = p.cfg.Store.Watch(ctx, prefix, snap.At+1, p.handleWatchBatch)
		}
		select {
		case <-time.After(storeRetryInterval):
		case <-p.tomb.Dying():
			return nil
		}
	}
}

func (p *Planner) handleWatchBatch(b store.WatchBatch) {
	if len(b.Events) == 0 {
		return
	}
	p.post(func() {
		var newJobs []scheduler.Job
		for _, ev := range b.Events {
			if ev.Deleted {
				continue // the retention of an ended job has passed
			}
			newJobs = p.handleRecord(ev.KeyValue, newJobs)
		}
		p.submitJobs(newJobs)
	})
}

// handleListing handles all records at once: at the start of the term, and
// after a watch could not be resumed.
func (p *Planner) handleListing(snap store.Snapshot) {
	var newJobs []scheduler.Job
	for _, kv := range snap.Keys {
		newJobs = p.handleRecord(kv, newJobs)
	}
	p.submitJobs(newJobs)
	p.recordsLoaded = true
}

func (p *Planner) submitJobs(newJobs []scheduler.Job) {
	if p.recordsLoaded {
		newJobs = p.rejectSurplus(newJobs)
	}
	if len(newJobs) > 0 {
		p.stepScheduler(scheduler.JobsSubmitted{Jobs: newJobs})
	}
}

// handleRecord handles one record. New queued jobs are appended to newJobs, so
// that a burst is passed to the scheduler as one event.
func (p *Planner) handleRecord(kv store.KeyValue, newJobs []scheduler.Job) []scheduler.Job {
	r, err := jobs.Decode(kv)
	if err != nil {
		p.cfg.Log.WithError(err).Error("failed to decode job record: ignoring it")
		return newJobs
	}
	return p.handleStored(r, newJobs)
}

// handleStored is handleRecord for a decoded record.
func (p *Planner) handleStored(r jobs.Stored, newJobs []scheduler.Job) []scheduler.Job {
	if p.jobs[r.ID] != nil {
		p.handleRecordChange(r)
		return newJobs
	}
	// A delayed watch delivers earlier versions of a record whose end this
	// planner has written already. They must not revive the job.
	if last, ok := p.recentlyEnded.Peek(r.ID); ok && r.Rev <= last.Rev {
		return newJobs
	}
	switch {
	case r.State.Ended():
		p.recentlyEnded.Add(r.ID, r)
	case r.State == jobs.Queued:
		p.jobs[r.ID] = &job{stored: r, phase: Queued}
		newJobs = append(newJobs, schedulerJob(r.Record, p.doc.Document))
	default:
		p.takeOverRecord(r)
	}
	return newJobs
}

// takeOverRecord takes over a job that another planner has recorded as
// starting.
func (p *Planner) takeOverRecord(r jobs.Stored) {
	if p.endIfOutranked(r) {
		return
	}
	j := &job{stored: r, started: !r.IsPermit(), failures: r.Failures}
	p.jobs[r.ID] = j
	p.takeOver(j)
	p.cancelIfRequested(j)
}

// resumeAttempt resolves an attempt with its agents: the one that the job's
// record names, or one that a search has found.
func (p *Planner) resumeAttempt(j *job, plan gang.Plan) {
	r := j.stored
	j.phase = Starting
	j.unresolved, j.withheld = false, false
	j.attempt = scheduler.Attempt(r.Attempt)
	p.attachCoordinator(j, gang.ResumeCoordinator(p.attemptConfig(j), plan))
	p.stepScheduler(scheduler.JobRestored{
		Job:       schedulerJob(r.Record, p.doc.Document),
		Attempt:   j.attempt,
		Placement: schedulerPlacement(plan),
		Started:   r.Started,
	})
	p.stepCoordinator(j, gang.Begin{})
}

// startedByOther reports whether the record names an attempt of another
// planner. A predecessor that does not know yet that it was replaced can still
// record a start, because a record's revision protects the job and not the
// leadership. That attempt has to be resolved before the job is started again.
func (p *Planner) startedByOther(j *job) bool {
	return p.recordStartedByOther(j.stored)
}

// mustBeTakenOver reports whether the record names an attempt of another
// planner, or a permit of one, that has not been resolved.
func (p *Planner) mustBeTakenOver(j *job) bool {
	if !p.startedByOther(j) {
		return false
	}
	if j.stored.IsPermit() {
		return !j.notFound
	}
	return j.endedAttempt != recordedPlan(j.stored.Record).ID
}

func (p *Planner) recordStartedByOther(r jobs.Stored) bool {
	return r.State == jobs.Starting && r.Epoch != p.cfg.Epoch
}

// handleRecordChange handles a new version of a known record: usually this
// planner's own write, otherwise a cancellation or a write of another planner.
func (p *Planner) handleRecordChange(r jobs.Stored) {
	j := p.jobs[r.ID]
	if j == nil || r.Rev <= j.stored.Rev {
		return
	}
	if p.endIfOutranked(r) {
		return
	}
	j.updateRecord(r)
	if r.State.Ended() {
		p.handleEndedRecord(j, r)
		return
	}
	if r.State == jobs.Queued && j.unresolved {
		p.handlePermitReturned(j)
		return
	}
	if j.coord == nil && j.finalRecord == nil && p.startedByOther(j) {
		p.takeOver(j)
	}
	p.cancelIfRequested(j)
}

// handleEndedRecord handles a job that was ended elsewhere, such as one that
// was cancelled while it was queued. An attempt in progress finds the record
// changed and is aborted. Until then the job stays known, so that its tasks
// are not taken as orphans.
func (p *Planner) handleEndedRecord(j *job, r jobs.Stored) {
	if j.coord != nil {
		j.finalRecord = &r
		p.withdrawJob(r.ID)
		return
	}
	p.forgetJob(j, r)
}

func (p *Planner) cancelIfRequested(j *job) {
	if j.stored.CancelRequested {
		p.withdrawJob(j.stored.ID)
	}
}
