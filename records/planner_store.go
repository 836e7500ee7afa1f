package records

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// ErrDeposed means that another planner has acquired the planner lease. Nothing was written.
var ErrDeposed = eris.New("another planner has acquired the planner lease")

// ErrConflict means that a record has changed since this planner last wrote or read it.
var ErrConflict = eris.New("record changed by another writer")

// PlannerStore reads and writes the planner's records during one term. One goroutine owns it,
// except that LoadOutcomes and WatchSubmissions may run concurrently with Write.
type PlannerStore struct {
	store store.TransactionalStore
	guard store.Condition
	// revisions of the keys that the planner writes.
	revisions map[string]store.Revision
	// leasesSince is the first epoch whose lease records are valid.
	leasesSince uint64
}

// PlannerState is the state that a planner loads before it plans: all work that has not ended.
type PlannerState struct {
	Submissions
	Workers []engine.WorkerInfo
}

// NewPlannerStore returns a PlannerStore whose writes are conditional on guard. since is the first epoch of the
// unbroken series of planners whose version heeds lease records, up to this one; 0 if there is none.
func NewPlannerStore(kv store.TransactionalStore, guard store.Condition, since uint64) *PlannerStore {
	return &PlannerStore{store: kv, guard: guard, revisions: map[string]store.Revision{}, leasesSince: since}
}

// Load reads the state that a planner needs before it plans. Workers and progress are written
// by the planner only, so they no longer change once this term has acquired the lease.
//
// Unreadable records are skipped, so that a single one cannot stop all planning. A job whose
// own record or progress is unreadable is left out, since starting it could run it twice. A
// worker whose record is unreadable is restored by its key alone, since it may have runs.
func (ps *PlannerStore) Load(ctx context.Context, wall time.Time) (PlannerState, error) {
	workers, err := ps.store.List(ctx, workerPrefix)
	if err != nil {
		return PlannerState{}, err
	}
	runs, err := ps.store.List(ctx, runPrefix)
	if err != nil {
		return PlannerState{}, err
	}
	submitted, err := ListSubmissions(ctx, ps.store, wall)
	if err != nil {
		return PlannerState{}, err
	}
	out := PlannerState{Submissions: submitted}
	ps.addWorkers(&out, workers.Keys)
	ps.addProgress(&out, runs.Keys)
	// A truncated listing may have an earlier revision than the start of this term. A watch
	// from there would return submissions of jobs that a predecessor has archived since.
	out.Revision = max(out.Revision, ps.guard.Revision)
	return out, nil
}

func (ps *PlannerStore) addWorkers(out *PlannerState, keys []store.KeyValue) {
	for _, kv := range keys {
		ps.revisions[kv.Key] = kv.Mod
		id := engine.WorkerID(strings.TrimPrefix(kv.Key, workerPrefix))
		var w engine.WorkerInfo
		err := json.Unmarshal(kv.Value, &w)
		if err == nil && w.ID != id {
			err = eris.Errorf("record names worker %.40q", w.ID)
		}
		if err != nil {
			out.addUnreadable(kv.Key, err)
			w = engine.WorkerInfo{ID: id}
		}
		if w.Lease != nil && (ps.leasesSince == 0 || w.Lease.Epoch < ps.leasesSince) {
			w.Lease = nil // a planner of an earlier version may have granted the lease since
		}
		out.Workers = append(out.Workers, w)
	}
}

// addProgress adds the recorded progress to the submitted jobs, and removes jobs whose progress
// is unreadable.
func (ps *PlannerStore) addProgress(out *PlannerState, keys []store.KeyValue) {
	progress := map[workload.JobID]*engine.JobProgress{}
	unreadable := map[workload.JobID]bool{}
	for _, kv := range keys {
		ps.revisions[kv.Key] = kv.Mod
		id := jobIDOf(kv.Key, runPrefix)
		p := &engine.JobProgress{}
		if err := json.Unmarshal(kv.Value, p); err != nil {
			out.addUnreadable(kv.Key, err)
			unreadable[id] = true
			continue
		}
		progress[id] = p
	}
	out.Jobs = slices.DeleteFunc(out.Jobs, func(j engine.JobRestored) bool { return unreadable[j.Job.ID] })
	for i := range out.Jobs {
		out.Jobs[i].Progress = progress[out.Jobs[i].Job.ID]
	}
}

// LoadOutcomes reads the outcomes of ended jobs. Planning does not depend on them. It may run
// concurrently with Write.
func (ps *PlannerStore) LoadOutcomes(ctx context.Context, wall time.Time) ([]engine.EndedJobRestored, []UnreadableRecord, error) {
	snap, err := ps.store.List(ctx, outcomePrefix)
	if err != nil {
		return nil, nil, err
	}
	var out []engine.EndedJobRestored
	var unreadable []UnreadableRecord
	for _, kv := range snap.Keys {
		var outcome engine.JobOutcome
		if err := json.Unmarshal(kv.Value, &outcome); err != nil {
			unreadable = append(unreadable, UnreadableRecord{Key: kv.Key, Err: err})
			continue
		}
		out = append(out, engine.EndedJobRestored{
			ID: jobIDOf(kv.Key, outcomePrefix), Outcome: outcome, OutcomeRevision: int64(kv.Mod), Age: ageOf(outcome.EndedAt, wall),
		})
	}
	return out, unreadable, nil
}

// WatchSubmissions passes every submission and cancellation recorded after the given revision
// to deliver, until ctx ends. On store.ErrCompacted, some may have been missed.
func (ps *PlannerStore) WatchSubmissions(ctx context.Context, after store.Revision, wall func() time.Time, deliver func(engine.Event)) error {
	return ps.store.Watch(ctx, submissionPrefix, after+1, func(b store.WatchBatch) {
		for _, e := range b.Events {
			if e.Deleted {
				continue
			}
			if strings.HasPrefix(e.Key, cancelPrefix) {
				deliver(engine.CancelRequested{Job: jobIDOf(e.Key, cancelPrefix), Revision: int64(e.Mod)})
				continue
			}
			if submitted, err := decodeJob(e.KeyValue, wall()); err == nil {
				submitted.Age = 0
				deliver(submitted)
			}
		}
	})
}

// Write makes one attempt to write all changes atomically. The caller repeats it with the same
// changes until it returns nil, ErrDeposed or ErrConflict; after a lost reply only that reveals
// the outcome.
func (ps *PlannerStore) Write(ctx context.Context, w engine.Write) error {
	swaps, err := ps.swaps(w)
	if err != nil {
		return err
	}
	out, err := ps.store.CommitIf(ctx, []store.Condition{ps.guard}, swaps)
	if err != nil {
		return err
	}
	if out.Committed {
		ps.recordRevisions(swaps, out.Revision)
		return nil
	}
	return ps.explainRejection(swaps, out.Current)
}

func (ps *PlannerStore) swaps(w engine.Write) ([]store.Swap, error) {
	var out []store.Swap
	add := func(key string, record any) error {
		value, err := json.Marshal(record)
		if err != nil {
			return eris.Wrapf(err, "encode record %s", key)
		}
		out = append(out, store.Swap{Key: key, Expect: ps.revisions[key], Value: value})
		return nil
	}
	for _, j := range w.Jobs {
		if err := add(runKey(j.ID), j.Progress); err != nil {
			return nil, err
		}
	}
	for _, info := range w.Workers {
		if err := add(workerKey(info.ID), info); err != nil {
			return nil, err
		}
	}
	for _, id := range w.RemovedWorkers {
		out = append(out, store.Swap{Key: workerKey(id), Expect: ps.revisions[workerKey(id)], Delete: true})
	}
	for _, j := range w.EndedJobs {
		swaps, err := ps.archiveSwaps(j)
		if err != nil {
			return nil, err
		}
		out = append(out, swaps...)
	}
	for _, j := range w.ExpiredJobs {
		out = append(out, ps.outcomeRemoval(j)...)
	}
	return out, nil
}

// archiveSwaps replaces all records of an ended job by its outcome.
func (ps *PlannerStore) archiveSwaps(j engine.EndedJob) ([]store.Swap, error) {
	value, err := json.Marshal(j.Outcome)
	if err != nil {
		return nil, eris.Wrapf(err, "encode outcome of job %s", j.ID)
	}
	out := []store.Swap{
		{Key: outcomeKey(j.ID), Value: value},
		{Key: runKey(j.ID), Expect: ps.revisions[runKey(j.ID)], Delete: true},
		{Key: jobKey(j.ID), Expect: store.Revision(j.Revision), Delete: true},
	}
	return append(out, cancelRemoval(j.ID, j.CancelRevision)...), nil
}

// outcomeRemoval removes the outcome of a job.
func (ps *PlannerStore) outcomeRemoval(j engine.ExpiredJob) []store.Swap {
	expect := store.Revision(j.OutcomeRevision)
	if expect == 0 {
		expect = ps.revisions[outcomeKey(j.ID)]
	}
	out := []store.Swap{{Key: outcomeKey(j.ID), Expect: expect, Delete: true}}
	return append(out, cancelRemoval(j.ID, j.CancelRevision)...)
}

// cancelRemoval removes the cancellation created at cancelRevision; 0 means that there is none.
func cancelRemoval(id workload.JobID, cancelRevision int64) []store.Swap {
	if cancelRevision == 0 {
		return nil
	}
	return []store.Swap{{Key: cancelKey(id), Expect: store.Revision(cancelRevision), Delete: true}}
}

func (ps *PlannerStore) recordRevisions(swaps []store.Swap, revision store.Revision) {
	for _, s := range swaps {
		if s.Delete {
			delete(ps.revisions, s.Key)
			continue
		}
		ps.revisions[s.Key] = revision
	}
}

// explainRejection returns why a write was rejected. It returns nil if all keys already have
// the written values, from an earlier attempt whose reply was lost.
func (ps *PlannerStore) explainRejection(swaps []store.Swap, current []store.KeyValue) error {
	byKey := map[string]store.KeyValue{}
	for _, kv := range current {
		byKey[kv.Key] = kv
	}
	if kv, ok := byKey[ps.guard.Key]; ok && kv.Mod != ps.guard.Revision {
		return ErrDeposed
	}
	for _, s := range swaps {
		kv := byKey[s.Key]
		if s.Delete && kv.Mod == 0 || !s.Delete && bytes.Equal(kv.Value, s.Value) {
			continue
		}
		return eris.Wrapf(ErrConflict, "%s at revision %d, expected %d", s.Key, kv.Mod, s.Expect)
	}
	for _, s := range swaps {
		ps.recordRevisions([]store.Swap{s}, byKey[s.Key].Mod)
	}
	return nil
}
