package records

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// ErrDeposed: another planner has taken the duty; nothing was written.
var ErrDeposed = eris.New("another planner has taken the duty")

// ErrConflict: a record is not as this planner left it.
var ErrConflict = eris.New("record changed by another")

// Ledger is a planner's hold on the records for one term. One goroutine owns it.
type Ledger struct {
	store store.Atomic
	guard store.Condition
	// revisions of the keys that the planner writes.
	revisions map[string]store.Revision
}

// State is everything on record.
type State struct {
	Jobs    []engine.Restored
	Workers []engine.WorkerInfo
	// At is where a watch of the intake goes on.
	At store.Revision
	// Unreadable are records that another writer left and that are passed over.
	Unreadable []Unreadable
}

// Unreadable is a record that can't be decoded.
type Unreadable struct {
	Key string
	Why error
}

// OpenLedger returns a Ledger that writes while the key of guard is as it says.
func OpenLedger(kv store.Atomic, guard store.Condition) *Ledger {
	return &Ledger{store: kv, guard: guard, revisions: map[string]store.Revision{}}
}

// Load reads all records. wall is the time of day, by which the age of jobs is told.
//
// The failure it guards against: one record that can't be read would keep every planner
// from planning. The others hold: a job whose own record or progress can't be read stays
// out, since starting it could run it twice; a worker whose record can't be read is known
// by its key alone, so that what it may hold is waited for.
func (l *Ledger) Load(ctx context.Context, wall time.Time) (State, error) {
	snap, err := l.store.List(ctx, rootPrefix)
	if err != nil {
		return State{}, err
	}
	out := State{At: snap.At}
	progress := map[workload.JobID]*engine.Progress{}
	cancelled := map[workload.JobID]int64{}
	withheld := map[workload.JobID]bool{}
	for _, kv := range snap.Keys {
		switch {
		case strings.HasPrefix(kv.Key, cancelPrefix):
			cancelled[idOf(kv.Key, cancelPrefix)] = int64(kv.Mod)
		case strings.HasPrefix(kv.Key, runPrefix):
			l.revisions[kv.Key] = kv.Mod
			p := &engine.Progress{}
			if err := json.Unmarshal(kv.Value, p); err != nil {
				out.passOver(kv.Key, err)
				withheld[idOf(kv.Key, runPrefix)] = true
				continue
			}
			progress[idOf(kv.Key, runPrefix)] = p
		case strings.HasPrefix(kv.Key, workerPrefix):
			l.revisions[kv.Key] = kv.Mod
			var w engine.WorkerInfo
			id := engine.WorkerID(strings.TrimPrefix(kv.Key, workerPrefix))
			err := json.Unmarshal(kv.Value, &w)
			if err == nil && w.ID != id {
				err = eris.Errorf("is of worker %.40q", w.ID)
			}
			if err != nil {
				out.passOver(kv.Key, err)
				w = engine.WorkerInfo{ID: id}
			}
			out.Workers = append(out.Workers, w)
		}
	}
	for _, kv := range snap.Keys {
		if !strings.HasPrefix(kv.Key, jobPrefix) {
			continue
		}
		submitted, err := decodeJob(kv, wall)
		if err != nil {
			out.passOver(kv.Key, err)
			continue
		}
		id := submitted.Job.ID
		if withheld[id] {
			continue
		}
		order, wasCancelled := cancelled[id]
		out.Jobs = append(out.Jobs, engine.Restored{Submitted: submitted, Progress: progress[id], Cancelled: wasCancelled, CancelOrder: order})
	}
	return out, nil
}

func (s *State) passOver(key string, why error) {
	s.Unreadable = append(s.Unreadable, Unreadable{Key: key, Why: why})
}

// mostAge bounds the age told of a job: the time of day may jump.
const mostAge = 2 * time.Minute

func decodeJob(kv store.KeyValue, wall time.Time) (engine.Submitted, error) {
	var j workload.Job
	if err := json.Unmarshal(kv.Value, &j); err != nil {
		return engine.Submitted{}, eris.Wrapf(err, "record %s", kv.Key)
	}
	if j.ID != idOf(kv.Key, jobPrefix) || len(j.Steps) == 0 {
		return engine.Submitted{}, eris.Errorf("record %s: not a job of that id with steps", kv.Key)
	}
	age := min(max(wall.Sub(j.Submitted), 0), mostAge)
	return engine.Submitted{Job: j, Order: int64(kv.Created), Age: age}, nil
}

// Follow gives every submission and cancellation recorded after revision at to deliver,
// until ctx ends. store.ErrCompacted: some may have been missed.
func (l *Ledger) Follow(ctx context.Context, at store.Revision, wall func() time.Time, deliver func(engine.Event)) error {
	return l.store.Watch(ctx, inPrefix, at+1, func(b store.WatchBatch) {
		for _, e := range b.Events {
			if e.Deleted {
				continue
			}
			if strings.HasPrefix(e.Key, cancelPrefix) {
				deliver(engine.CancelRequested{Job: idOf(e.Key, cancelPrefix), Order: int64(e.Mod)})
				continue
			}
			if submitted, err := decodeJob(e.KeyValue, wall()); err == nil {
				submitted.Age = 0
				deliver(submitted)
			}
		}
	})
}

// Write makes one attempt to write all changes or none. It is repeated as it is until
// it returns nil, ErrDeposed or ErrConflict: after a lost reply only that tells what
// became of it.
func (l *Ledger) Write(ctx context.Context, w engine.Write) error {
	swaps, err := l.swaps(w)
	if err != nil {
		return err
	}
	out, err := l.store.CommitIf(ctx, []store.Condition{l.guard}, swaps)
	if err != nil {
		return err
	}
	if out.Committed {
		l.note(swaps, out.Revision)
		return nil
	}
	return l.judge(swaps, out.Current)
}

func (l *Ledger) swaps(w engine.Write) ([]store.Swap, error) {
	var out []store.Swap
	add := func(key string, record any) error {
		value, err := json.Marshal(record)
		if err != nil {
			return eris.Wrapf(err, "encode record %s", key)
		}
		out = append(out, store.Swap{Key: key, Expect: l.revisions[key], Value: value})
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
	for _, id := range w.Gone {
		out = append(out, store.Swap{Key: workerKey(id), Expect: l.revisions[workerKey(id)], Delete: true})
	}
	for _, j := range w.Ended {
		out = append(out, l.removal(j)...)
	}
	return out, nil
}

// removal removes all records of a job that ended long ago.
func (l *Ledger) removal(j engine.EndedJob) []store.Swap {
	out := []store.Swap{
		{Key: runKey(j.ID), Expect: l.revisions[runKey(j.ID)], Delete: true},
		{Key: jobKey(j.ID), Expect: store.Revision(j.Order), Delete: true},
	}
	if j.CancelOrder != 0 {
		out = append(out, store.Swap{Key: cancelKey(j.ID), Expect: store.Revision(j.CancelOrder), Delete: true})
	}
	return out
}

func (l *Ledger) note(swaps []store.Swap, at store.Revision) {
	for _, s := range swaps {
		if s.Delete {
			delete(l.revisions, s.Key)
			continue
		}
		l.revisions[s.Key] = at
	}
}

// judge tells why a write did not hold. Keys that have our own values were written by
// an earlier attempt whose reply was lost.
func (l *Ledger) judge(swaps []store.Swap, current []store.KeyValue) error {
	now := map[string]store.KeyValue{}
	for _, kv := range current {
		now[kv.Key] = kv
	}
	if kv, ok := now[l.guard.Key]; ok && kv.Mod != l.guard.Revision {
		return ErrDeposed
	}
	for _, s := range swaps {
		kv := now[s.Key]
		if s.Delete && kv.Mod == 0 || !s.Delete && bytes.Equal(kv.Value, s.Value) {
			continue
		}
		return eris.Wrapf(ErrConflict, "%s at revision %d, expected %d", s.Key, kv.Mod, s.Expect)
	}
	for _, s := range swaps {
		l.note([]store.Swap{s}, now[s.Key].Mod)
	}
	return nil
}
