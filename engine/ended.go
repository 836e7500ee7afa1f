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
	// endedRecords and forgottenRecords are how many records it takes at most to replace a
	// job's records by its outcome, and to remove that.
	endedRecords     = 4
	forgottenRecords = 2
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

// idle says whether nothing of the job holds room on any worker.
func (j *job) idle() bool {
	for _, u := range j.units {
		if len(u.places) > 0 {
			return false
		}
	}
	return true
}

// settled says whether the records of a job that has ended may be replaced by its outcome:
// all of it is on record, nothing runs, and the revision of a cancellation is known, so that
// its record goes too.
func (j *job) settled() bool {
	return j.stored == j.version && j.order != 0 && (!j.canceled || j.cancelOrder != 0) && j.idle()
}

func (j *job) ended(epoch uint64, now time.Duration, wall time.Time) EndedJob {
	return EndedJob{ID: j.spec.ID, Revision: j.order, CancelRevision: j.cancelOrder, Outcome: JobOutcome{
		Epoch: epoch, Queue: j.spec.Queue, Account: j.spec.Account,
		State: j.state, Reason: j.reason, EndedAt: wall.Add(j.endedAt - now),
	}}
}

func (j *job) forgotten() ExpiredJob {
	out := ExpiredJob{ID: j.spec.ID, OutcomeRevision: j.record}
	if j.cancelOrder != j.cancelClosed {
		out.CancelRevision = j.cancelOrder
	}
	return out
}

// close lets go of all but the outcome of a job, whose records are replaced.
func (j *job) close(cancelOrder int64) {
	j.closed = true
	j.cancelClosed = cancelOrder
	j.units = nil
	j.tickets = nil
	j.spec.Spec, j.spec.Steps = "", nil
}

// tickEnded moves on a job that has ended: its records are replaced by its outcome, which
// is removed when callers have no claim to it any more.
func (e *Engine) tickEnded(now time.Duration, j *job) {
	switch {
	case !j.closed && !e.closing[j.spec.ID] && j.settled():
		e.closing[j.spec.ID] = true
	case j.closed && now-j.endedAt >= e.params.Retention+retentionSlack:
		e.expired[j.spec.ID] = true
	}
}

// restoreEnded takes a job that had ended from a predecessor's records.
func (e *Engine) restoreEnded(now time.Duration, ev EndedJobRestored) {
	if e.jobs[ev.ID] != nil {
		return
	}
	j := e.adopt(now, JobSubmitted{Job: workload.Job{ID: ev.ID, Queue: ev.Outcome.Queue, Account: ev.Outcome.Account}, Age: ev.Age})
	j.state, j.reason = ev.Outcome.State, ev.Outcome.Reason
	j.canceled = j.state == workload.Cancelled
	j.endedAt = now - ev.Age
	j.record = ev.OutcomeRevision
	j.cancelOrder = e.cancels[ev.ID]
	delete(e.cancels, ev.ID)
	j.close(0)
}
