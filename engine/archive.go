package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Once a job has ended and none of its runs remain, its records are replaced by its outcome,
// which is much smaller. Callers can still ask for its state for a while, and a repeated
// submission finds the outcome and does not run the job again. A successor reads the records of
// open jobs before it plans, and the outcomes afterwards.
const (
	// archiveRecords and removalRecords are the maximum number of store records that change
	// when a job is archived, and when its outcome is removed.
	archiveRecords = 4
	removalRecords = 2
)

// JobOutcome is the stored form of an archived job.
type JobOutcome struct {
	// Epoch makes each write of the record distinct.
	Epoch   uint64         `json:"epoch"`
	Queue   string         `json:"queue"`
	Account string         `json:"account,omitempty"`
	State   workload.State `json:"state"`
	Reason  string         `json:"reason,omitempty"`
	EndedAt time.Time      `json:"ended"` // wall-clock time
}

// EndedJob is a job to be archived, with the revisions at which the caller's records were
// created. CancelRevision is 0 if there is no cancellation.
type EndedJob struct {
	ID             workload.JobID
	Revision       int64
	CancelRevision int64
	Outcome        JobOutcome
}

// ExpiredJob is a job whose outcome is to be removed.
type ExpiredJob struct {
	ID workload.JobID
	// OutcomeRevision is the outcome's revision if a previous planner wrote it, else 0.
	OutcomeRevision int64
	// CancelRevision is the revision of a cancellation that arrived after archiving, else 0.
	CancelRevision int64
}

// EndedJobRestored adds a job that a previous planner archived.
type EndedJobRestored struct {
	ID              workload.JobID
	Outcome         JobOutcome
	OutcomeRevision int64         // the store revision of the outcome
	Age             time.Duration // time since the job ended, as far as known
}

func (EndedJobRestored) isEvent() {}

// hasNoPlacements reports whether none of the job's tasks holds capacity on a worker.
func (j *job) hasNoPlacements() bool {
	for _, u := range j.units {
		if len(u.placements) > 0 {
			return false
		}
	}
	return true
}

// canArchive reports whether the records of an ended job may be replaced by its outcome: all
// changes are stored, nothing runs, and the revisions of the records to remove are known.
func (j *job) canArchive() bool {
	return j.storedVersion == j.version && j.revision != 0 && (!j.cancelled || j.cancelRevision != 0) && j.hasNoPlacements()
}

// endedJob returns the write that archives the job. now and wall are the same instant.
func (j *job) endedJob(epoch uint64, now time.Duration, wall time.Time) EndedJob {
	return EndedJob{ID: j.spec.ID, Revision: j.revision, CancelRevision: j.cancelRevision, Outcome: JobOutcome{
		Epoch: epoch, Queue: j.spec.Queue, Account: j.spec.Account,
		State: j.state, Reason: j.reason, EndedAt: wall.Add(j.endedAt - now),
	}}
}

// expiredJob returns the write that removes the job's outcome.
func (j *job) expiredJob() ExpiredJob {
	out := ExpiredJob{ID: j.spec.ID, OutcomeRevision: j.outcomeRevision}
	if j.cancelRevision != j.archivedCancelRevision {
		out.CancelRevision = j.cancelRevision
	}
	return out
}

// archive releases all state of an archived job except its outcome.
func (j *job) archive(cancelRevision int64) {
	j.archived = true
	j.archivedCancelRevision = cancelRevision
	j.units = nil
	j.ticketsByStep = nil
	j.spec.Spec, j.spec.Steps = "", nil
}

// ageEndedJob schedules an ended job for archiving, and an archived one for removal after the
// retention time.
func (e *Engine) ageEndedJob(now time.Duration, j *job) {
	switch {
	case !j.archived && !e.archiving[j.spec.ID] && j.canArchive():
		e.archiving[j.spec.ID] = true
	case j.archived && now-j.endedAt >= e.params.Retention+retentionSlack:
		e.expired[j.spec.ID] = true
	}
}

// restoreEndedJob adds a job that a previous planner archived.
func (e *Engine) restoreEndedJob(now time.Duration, ev EndedJobRestored) {
	if e.jobs[ev.ID] != nil {
		return
	}
	j := e.addJob(now, JobSubmitted{Job: workload.Job{ID: ev.ID, Queue: ev.Outcome.Queue, Account: ev.Outcome.Account}, Age: ev.Age})
	j.state, j.reason = ev.Outcome.State, ev.Outcome.Reason
	j.cancelled = j.state == workload.Cancelled
	j.endedAt = now - ev.Age
	j.outcomeRevision = ev.OutcomeRevision
	j.cancelRevision = e.earlyCancels[ev.ID]
	delete(e.earlyCancels, ev.ID)
	j.archive(0)
}
