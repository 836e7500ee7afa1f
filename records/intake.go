package records

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// resolveRetryDelay is the pause between attempts to learn what became of a write.
const resolveRetryDelay = 30 * time.Millisecond

// JobStore writes what callers ask for. It is safe for concurrent use.
type JobStore struct {
	store store.Atomic
}

// NewJobStore returns an Intake.
func NewJobStore(kv store.Atomic) *JobStore { return &JobStore{store: kv} }

// probeTimeout bounds the question that goes before a write.
const probeTimeout = 600 * time.Millisecond

// Submit makes a job durable and returns the revision at which it is, 0 for one that has
// ended since. A repeated call for the same id finds the first. It goes on until ctx ends to
// learn what became of a write whose reply was lost.
func (i *JobStore) Submit(ctx context.Context, j *workload.Job) (link.Outcome, store.Revision) {
	value, err := json.Marshal(j)
	if err != nil {
		return link.OutcomeNotDone, 0
	}
	first, known, err := i.readBeforeWrite(ctx, jobKey(j.ID))
	if err != nil {
		return link.OutcomeNotDone, 0
	}
	if known {
		return checkResubmission(j, first), first.Created
	}
	open := store.Condition{Key: endedKey(j.ID)}
	outcome, revision, current := i.create(ctx, open, store.Swap{Key: jobKey(j.ID), Value: value})
	if first, ended := findExisting(current, endedKey(j.ID)); ended {
		return checkResubmission(j, first), 0
	}
	if first, known := findExisting(current, jobKey(j.ID)); known {
		return checkResubmission(j, first), first.Created
	}
	return outcome, revision
}

// findExisting returns a key that exists among those of a commit that did not hold.
func findExisting(current []store.KeyValue, key string) (store.KeyValue, bool) {
	for _, kv := range current {
		if kv.Key == key && kv.Mod != 0 {
			return kv, true
		}
	}
	return store.KeyValue{}, false
}

// readBeforeWrite reads the key before it is written. Where the store is out, a write that was
// sent leaves its outcome unknown, and the caller can neither be told that it was
// accepted nor that it was not; a question that gets no answer has changed nothing, so
// the caller can be refused in truth, at once.
func (i *JobStore) readBeforeWrite(ctx context.Context, key string) (store.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return i.store.Get(ctx, key)
}

// checkResubmission judges a submission whose id is on record already, as a job or as its outcome,
// which have the fields that matter in common.
func checkResubmission(j *workload.Job, kv store.KeyValue) link.Outcome {
	var first struct {
		Queue   string `json:"queue"`
		Account string `json:"account"`
	}
	if err := json.Unmarshal(kv.Value, &first); err != nil {
		return link.OutcomeMismatch
	}
	if first.Queue != j.Queue || first.Account != j.Account {
		return link.OutcomeMismatch
	}
	return link.OutcomeStored
}

// create makes a key that must not exist, while a condition on another holds. current are
// both where that is not so.
func (i *JobStore) create(ctx context.Context, while store.Condition, s store.Swap) (outcome link.Outcome, at store.Revision, current []store.KeyValue) {
	lost := false
	for {
		out, err := i.store.CommitIf(ctx, []store.Condition{while}, []store.Swap{s})
		switch {
		case err == nil && out.Committed:
			return link.OutcomeStored, out.Revision, nil
		case err == nil && createPrecluded(out.Current, while, s):
			return link.OutcomeNotDone, 0, out.Current
		case err == nil:
			// Not committed although both keys are as they should be: that changed meanwhile.
		case eris.Is(err, store.ErrOutcomeUnknown):
			lost = true
		case !lost:
			return link.OutcomeNotDone, 0, nil
		}
		select {
		case <-time.After(resolveRetryDelay):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return link.OutcomeUnknown, 0, nil
		}
	}
}

// createPrecluded says whether a creation did not hold as the keys are: there is one, or the other
// is not as it has to be.
func createPrecluded(current []store.KeyValue, while store.Condition, s store.Swap) bool {
	for _, kv := range current {
		if kv.Key == s.Key && kv.Mod != 0 || kv.Key == while.Key && kv.Mod != while.Revision {
			return true
		}
	}
	return false
}

// Cancel makes a cancellation durable, where the job exists and is of the queue. One of a
// job that has ended changes nothing.
func (i *JobStore) Cancel(ctx context.Context, queue string, id workload.JobID) link.Outcome {
	for {
		kv, ok, err := i.store.Get(ctx, jobKey(id))
		if err != nil {
			return link.OutcomeNotDone
		}
		if !ok {
			return i.cancelArchived(ctx, queue, id)
		}
		var j workload.Job
		if err := json.Unmarshal(kv.Value, &j); err != nil || j.Queue != queue {
			return link.OutcomeAbsent
		}
		while := store.Condition{Key: jobKey(id), Revision: kv.Mod}
		outcome, _, current := i.create(ctx, while, store.Swap{Key: cancelKey(id), Value: []byte("1")})
		if _, before := findExisting(current, cancelKey(id)); before {
			return link.OutcomeStored
		}
		if current == nil {
			return outcome
		}
		// The job's records were replaced by its outcome since they were read.
	}
}

// cancelArchived answers a cancellation of a job that has no record as a job.
func (i *JobStore) cancelArchived(ctx context.Context, queue string, id workload.JobID) link.Outcome {
	o, ok, err := i.readOutcome(ctx, id)
	switch {
	case err != nil:
		return link.OutcomeNotDone
	case !ok || o.Queue != queue:
		return link.OutcomeAbsent
	}
	return link.OutcomeStored
}

// readOutcome reads what a job came to, and false where none is on record.
func (i *JobStore) readOutcome(ctx context.Context, id workload.JobID) (engine.JobOutcome, bool, error) {
	kv, ok, err := i.store.Get(ctx, endedKey(id))
	if err != nil || !ok {
		return engine.JobOutcome{}, false, err
	}
	var o engine.JobOutcome
	if err := json.Unmarshal(kv.Value, &o); err != nil {
		return engine.JobOutcome{}, false, eris.Wrapf(err, "outcome of job %s", id)
	}
	return o, true, nil
}

// Lookup reads the state of a job from its records. The error is the store's.
//
// The outcome is read after the others: records that are replaced by it while they are read
// would else look like those of a job that has not begun.
func (i *JobStore) Lookup(ctx context.Context, id workload.JobID) (engine.JobStatus, bool, error) {
	out, open, err := i.lookupActive(ctx, id)
	if err != nil || open && out.State != workload.Queued {
		return out, open, err
	}
	o, ended, err := i.readOutcome(ctx, id)
	if err != nil {
		return engine.JobStatus{}, false, err
	}
	if ended {
		return engine.JobStatus{State: o.State, Queue: o.Queue, Account: o.Account, Reason: o.Reason}, true, nil
	}
	return out, open, nil
}

// lookupActive reads the state of a job whose records have not been replaced by its outcome.
func (i *JobStore) lookupActive(ctx context.Context, id workload.JobID) (engine.JobStatus, bool, error) {
	kv, ok, err := i.store.Get(ctx, jobKey(id))
	if err != nil || !ok {
		return engine.JobStatus{}, false, err
	}
	var j workload.Job
	if err := json.Unmarshal(kv.Value, &j); err != nil {
		return engine.JobStatus{}, false, eris.Wrapf(err, "record of job %s", id)
	}
	out := engine.JobStatus{State: workload.Queued, Queue: j.Queue, Account: j.Account}
	run, ok, err := i.store.Get(ctx, runKey(id))
	if err != nil {
		return engine.JobStatus{}, false, err
	}
	if ok {
		var p engine.JobProgress
		if err := json.Unmarshal(run.Value, &p); err != nil {
			return engine.JobStatus{}, false, eris.Wrapf(err, "progress of job %s", id)
		}
		out.State, out.Reason = p.State, p.Reason
	}
	if out.State.Final() {
		return out, true, nil
	}
	_, cancelled, err := i.store.Get(ctx, cancelKey(id))
	if err != nil {
		return engine.JobStatus{}, false, err
	}
	if cancelled {
		out.State = workload.Cancelled
	}
	return out, true, nil
}
