package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/records"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// load reads the records, until it succeeds or the duty is lost.
func (t *term) load() (records.PlannerState, bool) {
	ctx := t.tomb.Context(context.Background())
	for t.tomb.Alive() && !t.frozen.Load() {
		state, err := t.tryLoad(ctx)
		if err == nil {
			return state, true
		}
		t.log.WithError(err).Warn("records not read")
		t.pause(writeRetry)
	}
	return records.PlannerState{}, false
}

func (t *term) tryLoad(ctx context.Context) (records.PlannerState, error) {
	key := lease.EpochKey(dutyName)
	kv, ok, err := t.g.relayed.Get(ctx, key)
	if err != nil {
		return records.PlannerState{}, err
	}
	if epoch, err := lease.ParseEpoch(kv.Value); !ok || err != nil || epoch != t.epoch {
		return records.PlannerState{}, records.ErrDeposed
	}
	t.ledger = records.NewPlannerStore(t.g.relayed, store.Condition{Key: key, Revision: kv.Mod})
	return t.ledger.Load(ctx, time.Now())
}

// mostUnreadable bounds the lines of the log about records that can't be read.
const mostUnreadable = 10

func (t *term) tellUnreadable(all []records.UnreadableRecord) {
	for i, u := range all {
		if i == mostUnreadable {
			t.log.WithField("more", len(all)-i).Error("further records can't be read")
			return
		}
		t.log.WithField("key", u.Key).WithError(u.Err).Error("record can't be read; it is passed over")
	}
}

func (t *term) restore(state records.PlannerState) {
	now := lease.BootTime()
	t.tellUnreadable(state.Unreadable)
	if view, ok := t.g.inForce.Snapshot(); ok {
		t.engine.HandleEvent(now, engine.CatalogChanged{Catalog: view.Catalog})
	}
	if cordons, ok := t.g.inForce.Cordons(); ok {
		t.engine.HandleEvent(now, engine.CordonsChanged{Cordons: cordons})
	}
	t.engine.HandleEvent(now, engine.Tick{WallTime: time.Now()})
	for _, w := range state.Workers {
		t.engine.HandleEvent(now, engine.WorkerRestored{Info: w})
	}
	for _, j := range state.Jobs {
		t.engine.HandleEvent(now, j)
	}
}

// endedRetry is the pause between attempts to read the outcomes of ended jobs. Callers who
// ask for one meanwhile are answered from the store.
const endedRetry = time.Second

// loadEnded reads the outcomes of jobs that ended under predecessors, while this term plans.
func (t *term) loadEnded() error {
	ctx := t.tomb.Context(context.Background())
	for t.tomb.Alive() && !t.frozen.Load() {
		ended, unreadable, err := t.ledger.LoadOutcomes(ctx, time.Now())
		if err != nil {
			t.log.WithError(err).Info("outcomes of ended jobs not read")
			t.pause(endedRetry)
			continue
		}
		t.tellUnreadable(unreadable)
		for _, e := range ended {
			t.post(e)
		}
		t.knowsEnded.Store(true)
		t.log.WithField("jobs", len(ended)).Info("outcomes of ended jobs read")
		return nil
	}
	return nil
}

// relistPause is the least time between two listings of the intake, while its watch can't
// be kept: notices tell of nearly all jobs sooner.
const relistPause = time.Second

// follow watches the intake. After a gap in the history, and again and again while the
// store does not serve this gateway, it is listed.
func (t *term) follow(at store.Revision) error {
	ctx := t.tomb.Context(context.Background())
	var listed time.Duration
	for t.tomb.Alive() {
		err := t.ledger.WatchSubmissions(ctx, at, time.Now, t.post)
		if ctx.Err() != nil {
			return nil
		}
		t.pause(relistPause - (lease.BootTime() - listed))
		t.log.WithError(err).Info("watch of the intake lost; listing again")
		submitted, err := records.ListSubmissions(ctx, listingRelay{t.g.relayed}, time.Now())
		if err != nil {
			t.pause(writeRetry)
			continue
		}
		listed = lease.BootTime()
		at = max(at, submitted.Revision)
		t.postIntake(submitted)
	}
	return nil
}

// postIntake gives the engine all submissions and cancellations; it knows most of them.
func (t *term) postIntake(submitted records.Submissions) {
	for _, j := range submitted.Jobs {
		t.post(j.JobSubmitted)
		if j.Cancelled {
			t.post(engine.CancelRequested{Job: j.Job.ID, Revision: j.CancelRevision})
		}
	}
}
