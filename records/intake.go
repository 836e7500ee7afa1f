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

// settlePause is the pause between attempts to learn what became of a write.
const settlePause = 30 * time.Millisecond

// Intake writes what callers ask for. It is safe for concurrent use.
type Intake struct {
	store store.Atomic
}

// NewIntake returns an Intake.
func NewIntake(kv store.Atomic) *Intake { return &Intake{store: kv} }

// probeTimeout bounds the question that goes before a write.
const probeTimeout = 600 * time.Millisecond

// Accept makes a job durable and returns the revision at which it is. A repeated call
// for the same id finds the first. It goes on until ctx ends to learn what became of a
// write whose reply was lost.
func (i *Intake) Accept(ctx context.Context, j *workload.Job) (link.Outcome, store.Revision) {
	value, err := json.Marshal(j)
	if err != nil {
		return link.OutcomeNotDone, 0
	}
	first, known, err := i.probe(ctx, jobKey(j.ID))
	if err != nil {
		return link.OutcomeNotDone, 0
	}
	if known {
		return i.repeated(j, first)
	}
	outcome, revision, current := i.create(ctx, store.Swap{Key: jobKey(j.ID), Value: value})
	if current != nil {
		return i.repeated(j, *current)
	}
	return outcome, revision
}

// probe reads the key before it is written. Where the store is out, a write that was
// sent leaves its outcome unknown, and the caller can neither be told that it was
// accepted nor that it was not; a question that gets no answer has changed nothing, so
// the caller can be refused in truth, at once.
func (i *Intake) probe(ctx context.Context, key string) (store.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return i.store.Get(ctx, key)
}

// repeated judges a submission whose id is on record already.
func (i *Intake) repeated(j *workload.Job, kv store.KeyValue) (link.Outcome, store.Revision) {
	var first workload.Job
	if err := json.Unmarshal(kv.Value, &first); err != nil {
		return link.OutcomeMismatch, 0
	}
	if first.Queue != j.Queue || first.Account != j.Account {
		return link.OutcomeMismatch, 0
	}
	return link.OutcomeStored, kv.Created
}

// create makes a key that must not exist. current is the key where it does.
func (i *Intake) create(ctx context.Context, s store.Swap) (outcome link.Outcome, at store.Revision, current *store.KeyValue) {
	lost := false
	for {
		out, err := i.store.CommitIf(ctx, nil, []store.Swap{s})
		switch {
		case err == nil && out.Committed:
			return link.OutcomeStored, out.Revision, nil
		case err == nil && len(out.Current) > 0 && out.Current[0].Mod != 0:
			return link.OutcomeStored, out.Current[0].Created, &out.Current[0]
		case err == nil:
			// Not committed although the key does not exist: it went meanwhile.
		case eris.Is(err, store.ErrOutcomeUnknown):
			lost = true
		case !lost:
			return link.OutcomeNotDone, 0, nil
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return link.OutcomeUnknown, 0, nil
		}
	}
}

// Cancel makes a cancellation durable, where the job exists and is of the queue.
func (i *Intake) Cancel(ctx context.Context, queue string, id workload.JobID) link.Outcome {
	kv, ok, err := i.store.Get(ctx, jobKey(id))
	if err != nil {
		return link.OutcomeNotDone
	}
	if !ok {
		return link.OutcomeAbsent
	}
	var j workload.Job
	if err := json.Unmarshal(kv.Value, &j); err != nil || j.Queue != queue {
		return link.OutcomeAbsent
	}
	outcome, _, _ := i.create(ctx, store.Swap{Key: cancelKey(id), Value: []byte("1")})
	return outcome
}

// Lookup reads the state of a job from its records. The error is the store's.
func (i *Intake) Lookup(ctx context.Context, id workload.JobID) (engine.Lookup, bool, error) {
	kv, ok, err := i.store.Get(ctx, jobKey(id))
	if err != nil || !ok {
		return engine.Lookup{}, false, err
	}
	var j workload.Job
	if err := json.Unmarshal(kv.Value, &j); err != nil {
		return engine.Lookup{}, false, eris.Wrapf(err, "record of job %s", id)
	}
	out := engine.Lookup{State: workload.Queued, Queue: j.Queue, Account: j.Account}
	run, ok, err := i.store.Get(ctx, runKey(id))
	if err != nil {
		return engine.Lookup{}, false, err
	}
	if ok {
		var p engine.Progress
		if err := json.Unmarshal(run.Value, &p); err != nil {
			return engine.Lookup{}, false, eris.Wrapf(err, "progress of job %s", id)
		}
		out.State, out.Reason = p.State, p.Reason
	}
	if !out.State.Final() {
		_, cancelled, err := i.store.Get(ctx, cancelKey(id))
		if err != nil {
			return engine.Lookup{}, false, err
		}
		if cancelled {
			out.State = workload.Cancelled
		}
	}
	return out, true, nil
}
