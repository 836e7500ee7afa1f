package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// A job that has ended and of which nothing runs any more is of no use to a planner, but
// callers may ask for its state for a while. So its records, which are kilobytes, are
// replaced by its outcome, which is some hundred bytes: whoever takes over the duty reads
// the work that is left before it plans, and the outcomes afterwards.
//
// Its name stays taken by the outcome, so that a submission that is repeated late finds it
// and does not run again.
const (
	// archiveRecords and forgottenRecords are how many records it takes at most to replace a
	// job's records by its outcome, and to remove that.
	archiveRecords = 4
	removalRecords = 2
)

// JobOutcome is the durable form of a job of which nothing runs any more.
type JobOutcome struct {
	// Epoch makes each write of a record unlike every other.
	Epoch   uint64         `json:"epoch"`
	Queue   string         `json:"queue"`
	Account string         `json:"account,omitempty"`
	State   workload.State `json:"state"`
	Reason  string         `json:"reason,omitempty"`
	EndedAt time.Time      `json:"ended"` // wall time
}

// EndedJob is a job whose records are replaced by its outcome, with the revisions at which
// the caller's own records were created; CancelOrder is 0 where there is no cancellation.
type EndedJob struct {
	ID             workload.JobID
	Revision       int64
	CancelRevision int64
	Outcome        JobOutcome
}

// ExpiredJob is a job whose outcome is removed.
type ExpiredJob struct {
	ID workload.JobID
	// OutcomeRevision is the revision of the outcome where a predecessor wrote it, else 0.
	OutcomeRevision int64
	// CancelRevision is the revision of a cancellation that came after the job's end, else 0.
	CancelRevision int64
}

// EndedJobRestored is a job that had ended under a predecessor.
type EndedJobRestored struct {
	ID              workload.JobID
	Outcome         JobOutcome
	OutcomeRevision int64         // the revision of the outcome
	Age             time.Duration // how long ago it ended, as far as is known
}

func (EndedJobRestored) isEvent() {}

// hasNoPlacements says whether nothing of the job holds room on any worker.
func (j *job) hasNoPlacements() bool {
	for _, u := range j.units {
		if len(u.places) > 0 {
			return false
		}
	}
	return true
}

// canArchive says whether the records of a job that has ended may be replaced by its outcome:
// all of it is on record, nothing runs, and the revision of a cancellation is known, so that
// its record goes too.
func (j *job) canArchive() bool {
	return j.storedVersion == j.version && j.revision != 0 && (!j.canceled || j.cancelRevision != 0) && j.hasNoPlacements()
}

func (j *job) endedJob(epoch uint64, now time.Duration, wall time.Time) EndedJob {
	return EndedJob{ID: j.spec.ID, Revision: j.revision, CancelRevision: j.cancelRevision, Outcome: JobOutcome{
		Epoch: epoch, Queue: j.spec.Queue, Account: j.spec.Account,
		State: j.state, Reason: j.reason, EndedAt: wall.Add(j.endedAt - now),
	}}
}

func (j *job) expiredJob() ExpiredJob {
	out := ExpiredJob{ID: j.spec.ID, OutcomeRevision: j.outcomeRevision}
	if j.cancelRevision != j.archivedCancelRevision {
		out.CancelRevision = j.cancelRevision
	}
	return out
}

// archive lets go of all but the outcome of a job, whose records are replaced.
func (j *job) archive(cancelRevision int64) {
	j.archived = true
	j.archivedCancelRevision = cancelRevision
	j.units = nil
	j.ticketsByStep = nil
	j.spec.Spec, j.spec.Steps = "", nil
}

// ageEndedJob moves on a job that has ended: its records are replaced by its outcome, which
// is removed when callers have no claim to it any more.
func (e *Engine) ageEndedJob(now time.Duration, j *job) {
	switch {
	case !j.archived && !e.archiving[j.spec.ID] && j.canArchive():
		e.archiving[j.spec.ID] = true
	case j.archived && now-j.endedAt >= e.params.Retention+retentionSlack:
		e.expired[j.spec.ID] = true
	}
}

// restoreEndedJob takes a job that had ended from a predecessor's records.
func (e *Engine) restoreEndedJob(now time.Duration, ev EndedJobRestored) {
	if e.jobs[ev.ID] != nil {
		return
	}
	j := e.addJob(now, JobSubmitted{Job: workload.Job{ID: ev.ID, Queue: ev.Outcome.Queue, Account: ev.Outcome.Account}, Age: ev.Age})
	j.state, j.reason = ev.Outcome.State, ev.Outcome.Reason
	j.canceled = j.state == workload.Cancelled
	j.endedAt = now - ev.Age
	j.outcomeRevision = ev.OutcomeRevision
	j.cancelRevision = e.earlyCancels[ev.ID]
	delete(e.earlyCancels, ev.ID)
	j.archive(0)
}
