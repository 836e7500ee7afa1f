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

// resolveRetryDelay is the pause between attempts to learn the outcome of a write.
const resolveRetryDelay = 30 * time.Millisecond

// JobStore stores submissions and cancellations on behalf of clients, and reads the state of
// jobs. It is safe for concurrent use.
type JobStore struct {
	store store.TransactionalStore
}

// NewJobStore returns a JobStore that uses kv.
func NewJobStore(kv store.TransactionalStore) *JobStore { return &JobStore{store: kv} }

// probeTimeout bounds the read that precedes a write.
const probeTimeout = 600 * time.Millisecond

// Submit stores a job durably and returns the revision of its record, or 0 if it has already
// ended. A repeated call for the same ID finds the first submission. If the reply to a write is
// lost, Submit retries until ctx ends to learn the outcome.
func (js *JobStore) Submit(ctx context.Context, job *workload.Job) (link.WriteOutcome, store.Revision) {
	value, err := json.Marshal(job)
	if err != nil {
		return link.OutcomeNotStored, 0
	}
	existing, known, err := js.readBeforeWrite(ctx, jobKey(job.ID))
	if err != nil {
		return link.OutcomeNotStored, 0
	}
	if known {
		return checkResubmission(job, existing), existing.Created
	}
	notArchived := store.Condition{Key: outcomeKey(job.ID)}
	outcome, revision, current := js.create(ctx, notArchived, store.Swap{Key: jobKey(job.ID), Value: value})
	if existing, ended := findExisting(current, outcomeKey(job.ID)); ended {
		return checkResubmission(job, existing), 0
	}
	if existing, known := findExisting(current, jobKey(job.ID)); known {
		return checkResubmission(job, existing), existing.Created
	}
	return outcome, revision
}

// findExisting returns the key-value pair of key from those returned by a failed commit, if the
// key exists.
func findExisting(current []store.KeyValue, key string) (store.KeyValue, bool) {
	for _, kv := range current {
		if kv.Key == key && kv.Mod != 0 {
			return kv, true
		}
	}
	return store.KeyValue{}, false
}

// readBeforeWrite reads a key before it is written. During a store outage, a write that was
// sent has an unknown outcome, while a failed read has changed nothing, so the client can be
// refused at once.
func (js *JobStore) readBeforeWrite(ctx context.Context, key string) (store.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return js.store.Get(ctx, key)
}

// checkResubmission returns the outcome of a submission whose ID is already recorded, as a job
// or as an outcome. Both encode the queue and the account alike.
func checkResubmission(job *workload.Job, kv store.KeyValue) link.WriteOutcome {
	var recorded struct {
		Queue   string `json:"queue"`
		Account string `json:"account"`
	}
	if err := json.Unmarshal(kv.Value, &recorded); err != nil {
		return link.OutcomeIDConflict
	}
	if recorded.Queue != job.Queue || recorded.Account != job.Account {
		return link.OutcomeIDConflict
	}
	return link.OutcomeStored
}

// create creates a key under a condition on another key. If the key exists or the condition
// does not hold, it returns the current state of both.
func (js *JobStore) create(ctx context.Context, condition store.Condition, swap store.Swap) (outcome link.WriteOutcome, revision store.Revision, current []store.KeyValue) {
	mayBeApplied := false
	for {
		out, err := js.store.CommitIf(ctx, []store.Condition{condition}, []store.Swap{swap})
		switch {
		case err == nil && out.Committed:
			return link.OutcomeStored, out.Revision, nil
		case err == nil && createPrecluded(out.Current, condition, swap):
			return link.OutcomeNotStored, 0, out.Current
		case err == nil:
			// Not committed although both keys are as expected: they changed in between. Retry.
		case eris.Is(err, store.ErrOutcomeUnknown):
			mayBeApplied = true
		case !mayBeApplied:
			return link.OutcomeNotStored, 0, nil
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

// createPrecluded reports whether create cannot succeed any more: the key exists, or the
// condition does not hold.
func createPrecluded(current []store.KeyValue, condition store.Condition, swap store.Swap) bool {
	for _, kv := range current {
		if kv.Key == swap.Key && kv.Mod != 0 || kv.Key == condition.Key && kv.Mod != condition.Revision {
			return true
		}
	}
	return false
}

// Cancel stores a cancellation durably if the job exists and belongs to the queue. Cancelling a
// job that has ended has no effect.
func (js *JobStore) Cancel(ctx context.Context, queue string, id workload.JobID) link.WriteOutcome {
	for {
		kv, ok, err := js.store.Get(ctx, jobKey(id))
		if err != nil {
			return link.OutcomeNotStored
		}
		if !ok {
			return js.cancelArchived(ctx, queue, id)
		}
		var j workload.Job
		if err := json.Unmarshal(kv.Value, &j); err != nil || j.Queue != queue {
			return link.OutcomeJobNotFound
		}
		jobUnchanged := store.Condition{Key: jobKey(id), Revision: kv.Mod}
		outcome, _, current := js.create(ctx, jobUnchanged, store.Swap{Key: cancelKey(id), Value: []byte("1")})
		if _, alreadyCancelled := findExisting(current, cancelKey(id)); alreadyCancelled {
			return link.OutcomeStored
		}
		if current == nil {
			return outcome
		}
		// The outcome replaced the job's records after they were read. Retry.
	}
}

// cancelArchived returns the outcome of cancelling a job that has no job record.
func (js *JobStore) cancelArchived(ctx context.Context, queue string, id workload.JobID) link.WriteOutcome {
	outcome, ok, err := js.readOutcome(ctx, id)
	switch {
	case err != nil:
		return link.OutcomeNotStored
	case !ok || outcome.Queue != queue:
		return link.OutcomeJobNotFound
	}
	return link.OutcomeStored
}

// readOutcome reads the outcome of a job. It returns false if there is none.
func (js *JobStore) readOutcome(ctx context.Context, id workload.JobID) (engine.JobOutcome, bool, error) {
	kv, ok, err := js.store.Get(ctx, outcomeKey(id))
	if err != nil || !ok {
		return engine.JobOutcome{}, false, err
	}
	var outcome engine.JobOutcome
	if err := json.Unmarshal(kv.Value, &outcome); err != nil {
		return engine.JobOutcome{}, false, eris.Wrapf(err, "decode outcome of job %s", id)
	}
	return outcome, true, nil
}

// Lookup reads the state of a job from its records. It reads the outcome last, since records
// that are replaced by it meanwhile would otherwise look like those of a job that has not
// started.
func (js *JobStore) Lookup(ctx context.Context, id workload.JobID) (engine.JobStatus, bool, error) {
	found, active, err := js.lookupActive(ctx, id)
	if err != nil || active && found.State != workload.Queued {
		return found, active, err
	}
	outcome, ended, err := js.readOutcome(ctx, id)
	if err != nil {
		return engine.JobStatus{}, false, err
	}
	if ended {
		return engine.JobStatus{State: outcome.State, Queue: outcome.Queue, Account: outcome.Account, Reason: outcome.Reason}, true, nil
	}
	return found, active, nil
}

// lookupActive reads the state of a job whose records have not been replaced by its outcome.
func (js *JobStore) lookupActive(ctx context.Context, id workload.JobID) (engine.JobStatus, bool, error) {
	kv, ok, err := js.store.Get(ctx, jobKey(id))
	if err != nil || !ok {
		return engine.JobStatus{}, false, err
	}
	var j workload.Job
	if err := json.Unmarshal(kv.Value, &j); err != nil {
		return engine.JobStatus{}, false, eris.Wrapf(err, "decode record of job %s", id)
	}
	out := engine.JobStatus{State: workload.Queued, Queue: j.Queue, Account: j.Account}
	run, ok, err := js.store.Get(ctx, runKey(id))
	if err != nil {
		return engine.JobStatus{}, false, err
	}
	if ok {
		var p engine.JobProgress
		if err := json.Unmarshal(run.Value, &p); err != nil {
			return engine.JobStatus{}, false, eris.Wrapf(err, "decode progress of job %s", id)
		}
		out.State, out.Reason = p.State, p.Reason
	}
	if out.State.Final() {
		return out, true, nil
	}
	_, cancelled, err := js.store.Get(ctx, cancelKey(id))
	if err != nil {
		return engine.JobStatus{}, false, err
	}
	if cancelled {
		out.State = workload.Cancelled
	}
	return out, true, nil
}
