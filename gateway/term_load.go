package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/records"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// load reads the records, retrying until it succeeds or the lease is lost.
func (t *term) load() (records.PlannerState, bool) {
	ctx := t.tomb.Context(context.Background())
	for t.tomb.Alive() && !t.frozen.Load() {
		state, err := t.tryLoad(ctx)
		if err == nil {
			return state, true
		}
		t.log.WithError(err).Warn("failed to load records; retrying")
		t.pause(writeRetryDelay)
	}
	return records.PlannerState{}, false
}

func (t *term) tryLoad(ctx context.Context) (records.PlannerState, error) {
	key := lease.EpochKey(plannerLeaseName)
	kv, ok, err := t.g.relayedStore.Get(ctx, key)
	if err != nil {
		return records.PlannerState{}, err
	}
	epoch, since, err := lease.ParseEpochSeries(kv.Value)
	if !ok || err != nil || epoch != t.epoch {
		return records.PlannerState{}, records.ErrDeposed
	}
	t.store = records.NewPlannerStore(t.g.relayedStore, store.Condition{Key: key, Revision: kv.Mod}, since)
	return t.store.Load(ctx, time.Now())
}

// maxUnreadableLogged bounds the log lines about unreadable records.
const maxUnreadableLogged = 10

func (t *term) logUnreadable(unreadable []records.UnreadableRecord) {
	for i, u := range unreadable {
		if i == maxUnreadableLogged {
			t.log.WithField("more", len(unreadable)-i).Error("more unreadable records skipped")
			return
		}
		t.log.WithField("key", u.Key).WithError(u.Err).Error("unreadable record skipped")
	}
}

func (t *term) restore(state records.PlannerState) {
	now := lease.BootTime()
	t.logUnreadable(state.Unreadable)
	if view, ok := t.g.currentConfig.Snapshot(); ok {
		t.engine.Step(now, engine.CatalogChanged{Catalog: view.Catalog})
	}
	if cordons, ok := t.g.currentConfig.Cordons(); ok {
		t.engine.Step(now, engine.CordonsChanged{Cordons: cordons})
	}
	t.engine.Step(now, engine.Tick{WallTime: time.Now()})
	for _, w := range state.Workers {
		t.engine.Step(now, engine.WorkerRestored{Info: w})
	}
	for _, j := range state.Jobs {
		t.engine.Step(now, j)
	}
}

// outcomesRetryDelay is the pause between attempts to load the outcomes of ended jobs. Lookups
// of those jobs are answered from the store meanwhile.
const outcomesRetryDelay = time.Second

// loadOutcomes reads the outcomes of jobs that ended under predecessors. Planning does not wait
// for it.
func (t *term) loadOutcomes() error {
	ctx := t.tomb.Context(context.Background())
	for t.tomb.Alive() && !t.frozen.Load() {
		ended, unreadable, err := t.store.LoadOutcomes(ctx, time.Now())
		if err != nil {
			t.log.WithError(err).Info("failed to load outcomes of ended jobs; retrying")
			t.pause(outcomesRetryDelay)
			continue
		}
		t.logUnreadable(unreadable)
		for _, e := range ended {
			t.postEvent(e)
		}
		t.outcomesLoaded.Store(true)
		t.log.WithField("jobs", len(ended)).Info("outcomes of ended jobs loaded")
		return nil
	}
	return nil
}

// relistInterval is the minimum time between two listings of the submissions while they cannot
// be watched. Notices deliver nearly all jobs sooner.
const relistInterval = time.Second

// watchSubmissions watches submissions and cancellations. If the watch fails, it lists them and
// watches again.
func (t *term) watchSubmissions(revision store.Revision) error {
	ctx := t.tomb.Context(context.Background())
	var listedAt time.Duration
	for t.tomb.Alive() {
		err := t.store.WatchSubmissions(ctx, revision, time.Now, t.postEvent)
		if ctx.Err() != nil {
			return nil
		}
		t.pause(relistInterval - (lease.BootTime() - listedAt))
		t.log.WithError(err).Info("watch of submissions failed; listing them again")
		submitted, err := records.ListSubmissions(ctx, listRelay{t.g.relayedStore}, time.Now())
		if err != nil {
			t.pause(writeRetryDelay)
			continue
		}
		listedAt = lease.BootTime()
		revision = max(revision, submitted.Revision)
		t.postSubmissions(submitted)
	}
	return nil
}

// postSubmissions passes listed submissions and cancellations to the engine, which ignores
// known ones.
func (t *term) postSubmissions(submitted records.Submissions) {
	for _, j := range submitted.Jobs {
		t.postEvent(j.JobSubmitted)
		if j.Cancelled {
			t.postEvent(engine.CancelRequested{Job: j.Job.ID, Revision: j.CancelRevision})
		}
	}
}
