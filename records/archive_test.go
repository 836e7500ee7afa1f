package records_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/platform"
	"github.com/eelgrasshub/eelgrasshub/platform/standin"
	"github.com/eelgrasshub/eelgrasshub/records"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// archivedJob records a job that was cancelled and archived, and returns the planner store that
// did so.
func archivedJob(c *qt.C, kv *platform.KVStore, id workload.JobID) *records.PlannerStore {
	ctx := context.Background()
	jobs := records.NewJobStore(kv)
	_, revision := jobs.Submit(ctx, newJob(id))
	c.Assert(jobs.Cancel(ctx, "q", id), qt.Equals, link.OutcomeStored)
	planner := newPlannerStore(c, kv)
	state, err := planner.Load(ctx, wall)
	c.Assert(err, qt.IsNil)
	c.Assert(planner.Write(ctx, progressWrite(id, 1, workload.Cancelled)), qt.IsNil)
	c.Assert(planner.Write(ctx, engine.Write{EndedJobs: []engine.EndedJob{{
		ID: id, Revision: int64(revision), CancelRevision: state.Jobs[0].CancelRevision,
		Outcome: engine.JobOutcome{Epoch: 1, Queue: "q", Account: "a", State: workload.Cancelled, EndedAt: wall.Add(-time.Minute)},
	}}}), qt.IsNil)
	return planner
}

func TestArchivedJobKeepsOutcomeUntilExpired(t *testing.T) {
	c, srv, kv := openStore(t)
	planner := archivedJob(c, kv, "j1")
	c.Check(srv.Keys("workloads/"), qt.DeepEquals, []string{"workloads/ended/j1"})
	expired := engine.Write{ExpiredJobs: []engine.ExpiredJob{{ID: "j1"}}}
	c.Assert(planner.Write(context.Background(), expired), qt.IsNil)
	c.Check(srv.Keys("workloads/"), qt.HasLen, 0)
}

// A successor loads the remaining work without the outcomes, and can remove an outcome that a
// predecessor wrote.
func TestOutcomesLoadedSeparately(t *testing.T) {
	c, srv, kv := openStore(t)
	ctx := context.Background()
	archivedJob(c, kv, "j1")
	submit(c, records.NewJobStore(kv), "j2")
	srv.Put("workloads/ended/bytes", []byte{0xff})
	planner := newPlannerStore(c, kv)
	state, err := planner.Load(ctx, wall)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Jobs, qt.HasLen, 1)
	c.Check(state.Jobs[0].Job.ID, qt.Equals, workload.JobID("j2"))
	ended, unreadable, err := planner.LoadOutcomes(ctx, wall)
	c.Assert(err, qt.IsNil)
	c.Assert(ended, qt.HasLen, 1)
	c.Check(unreadable, qt.HasLen, 1)
	c.Check(ended[0].Outcome.State, qt.Equals, workload.Cancelled)
	c.Check(ended[0].Age, qt.Equals, time.Minute)
	expired := engine.Write{ExpiredJobs: []engine.ExpiredJob{{ID: "j1", OutcomeRevision: ended[0].OutcomeRevision}}}
	c.Assert(planner.Write(ctx, expired), qt.IsNil)
	c.Check(srv.Keys("workloads/ended/"), qt.DeepEquals, []string{"workloads/ended/bytes"})
}

// A duplicate submission that arrives after the job has ended finds the outcome and does not
// run the job again. A job of another account with that ID is rejected.
func TestResubmissionFindsOutcome(t *testing.T) {
	c, srv, kv := openStore(t)
	ctx := context.Background()
	archivedJob(c, kv, "j1")
	jobs := records.NewJobStore(kv)
	outcome, at := jobs.Submit(ctx, newJob("j1"))
	c.Check(outcome, qt.Equals, link.OutcomeStored)
	c.Check(at, qt.Equals, store.Revision(0))
	other := newJob("j1")
	other.Account = "another"
	outcome, _ = jobs.Submit(ctx, other)
	c.Check(outcome, qt.Equals, link.OutcomeIDConflict)
	c.Check(srv.Keys("workloads/in/"), qt.HasLen, 0)
}

// A delayed write of a submission must not recreate the job after a retry was stored, ran and
// was archived.
func TestDelayedSubmissionDoesNotRecreateArchivedJob(t *testing.T) {
	c, srv, kv := openStore(t)
	const late = 500 * time.Millisecond
	srv.SetFaults(standin.StoreFaults{DelayWrites: late})
	ctx, cancel := context.WithTimeout(context.Background(), late/2)
	outcome, _ := records.NewJobStore(kv).Submit(ctx, newJob("j1"))
	cancel()
	c.Assert(outcome, qt.Equals, link.OutcomeUnknown)
	srv.SetFaults(standin.StoreFaults{})
	archivedJob(c, kv, "j1")
	time.Sleep(2 * late)
	c.Check(srv.Keys("workloads/"), qt.DeepEquals, []string{"workloads/ended/j1"})
}

func TestArchivedJobVisibleToCallers(t *testing.T) {
	c, srv, kv := openStore(t)
	ctx := context.Background()
	archivedJob(c, kv, "j1")
	jobs := records.NewJobStore(kv)
	found, ok, err := jobs.Lookup(ctx, "j1")
	c.Assert(err, qt.IsNil)
	c.Check(ok, qt.IsTrue)
	c.Check(found, qt.Equals, engine.JobStatus{State: workload.Cancelled, Queue: "q", Account: "a"})
	_, ok, err = jobs.Lookup(ctx, "none")
	c.Assert(err, qt.IsNil)
	c.Check(ok, qt.IsFalse)
	c.Check(jobs.Cancel(ctx, "q", "j1"), qt.Equals, link.OutcomeStored)
	c.Check(jobs.Cancel(ctx, "other", "j1"), qt.Equals, link.OutcomeJobNotFound)
	c.Check(srv.Keys("workloads/in/"), qt.HasLen, 0)
}
