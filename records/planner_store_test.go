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

const epochKey = "duty/planner/epoch"

var wall = time.Unix(1_000_000, 0)

func openStore(t *testing.T) (*qt.C, *standin.Store, *platform.KVStore) {
	srv := standin.NewStore()
	t.Cleanup(srv.Close)
	srv.Put(epochKey, []byte("1"))
	return qt.New(t), srv, platform.NewKVStore(srv.Addr())
}

func newPlannerStore(c *qt.C, kv *platform.KVStore) *records.PlannerStore {
	guard, _, err := kv.Get(context.Background(), epochKey)
	c.Assert(err, qt.IsNil)
	return records.NewPlannerStore(kv, store.Condition{Key: epochKey, Revision: guard.Mod}, 1)
}

func newJob(id workload.JobID) *workload.Job {
	return &workload.Job{
		ID: id, Queue: "q", Account: "a", Service: "s", Submitted: wall.Add(-10 * time.Second),
		Steps: []workload.Step{{Count: 1, Need: workload.Resources{Accelerators: 1}}},
	}
}

// submit stores jobs.
func submit(c *qt.C, jobStore *records.JobStore, ids ...workload.JobID) {
	for _, id := range ids {
		outcome, _ := jobStore.Submit(context.Background(), newJob(id))
		c.Assert(outcome, qt.Equals, link.OutcomeStored)
	}
}

func progressWrite(id workload.JobID, version int, state workload.State) engine.Write {
	return engine.Write{Jobs: []engine.JobWrite{{ID: id, Version: version, Progress: &engine.JobProgress{Version: version, State: state}}}}
}

func TestRecordsRoundTrip(t *testing.T) {
	c, _, kv := openStore(t)
	ctx := context.Background()
	jobs := records.NewJobStore(kv)
	submit(c, jobs, "j1", "j2")
	c.Assert(jobs.Cancel(ctx, "q", "j2"), qt.Equals, link.OutcomeStored)
	c.Assert(jobs.Cancel(ctx, "q", "none"), qt.Equals, link.OutcomeJobNotFound)
	planner := newPlannerStore(c, kv)
	_, err := planner.Load(ctx, wall)
	c.Assert(err, qt.IsNil)
	w := progressWrite("j1", 3, workload.Running)
	w.Workers = []engine.WorkerInfo{{ID: "w1", Agent: "a1"}}
	c.Assert(planner.Write(ctx, w), qt.IsNil)

	state, err := newPlannerStore(c, kv).Load(ctx, wall)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Jobs, qt.HasLen, 2)
	c.Check(state.Jobs[0].Progress.Version, qt.Equals, 3)
	c.Check(state.Jobs[0].Age, qt.Equals, 10*time.Second)
	c.Check(state.Jobs[0].Cancelled, qt.IsFalse)
	c.Check(state.Jobs[1].Cancelled, qt.IsTrue)
	c.Check(state.Workers, qt.HasLen, 1)
	found, ok, err := jobs.Lookup(ctx, "j2")
	c.Assert(err, qt.IsNil)
	c.Check(ok, qt.IsTrue)
	c.Check(found.State, qt.Equals, workload.Cancelled)
}

// A write of a planner that was paused and replaced must fail, or its successor would not know
// of a start.
func TestDeposedPlannerCannotWrite(t *testing.T) {
	c, srv, kv := openStore(t)
	ctx := context.Background()
	deposed := newPlannerStore(c, kv)
	_, err := deposed.Load(ctx, wall)
	c.Assert(err, qt.IsNil)
	srv.Put(epochKey, []byte("2"))
	c.Check(deposed.Write(ctx, progressWrite("j1", 1, workload.Running)), qt.ErrorIs, records.ErrDeposed)
	c.Check(srv.Keys("workloads/"), qt.HasLen, 0)
}

// A write whose reply was lost is repeated unchanged and turns out to have taken effect. The
// next write continues from there.
func TestWriteWithLostReplyResolvedByRetry(t *testing.T) {
	c, srv, kv := openStore(t)
	ctx := context.Background()
	planner := newPlannerStore(c, kv)
	w := progressWrite("j1", 1, workload.Queued)
	srv.SetFaults(standin.StoreFaults{LoseWriteReplies: true})
	c.Assert(planner.Write(ctx, w), qt.ErrorIs, store.ErrOutcomeUnknown)
	srv.SetFaults(standin.StoreFaults{})
	c.Assert(planner.Write(ctx, w), qt.IsNil)
	c.Assert(planner.Write(ctx, progressWrite("j1", 2, workload.Running)), qt.IsNil)
	c.Check(planner.Write(ctx, engine.Write{Workers: []engine.WorkerInfo{{ID: "w"}}}), qt.IsNil)
}

// A planner must not overwrite a record that another writer has changed.
func TestForeignWriteConflicts(t *testing.T) {
	c, srv, kv := openStore(t)
	planner := newPlannerStore(c, kv)
	c.Assert(planner.Write(context.Background(), progressWrite("j1", 1, workload.Queued)), qt.IsNil)
	srv.Put("workloads/run/j1", []byte("{}"))
	c.Check(planner.Write(context.Background(), progressWrite("j1", 2, workload.Running)), qt.ErrorIs, records.ErrConflict)
}

// During a store outage the read before the write fails, so nothing was written and the refusal
// is certain.
func TestSubmissionDuringOutageIsNotDone(t *testing.T) {
	c, srv, kv := openStore(t)
	jobs := records.NewJobStore(kv)
	for _, faults := range []standin.StoreFaults{{Busy: true}, {Unresponsive: true}} {
		srv.SetFaults(faults)
		outcome, _ := jobs.Submit(context.Background(), newJob("j1"))
		c.Check(outcome, qt.Equals, link.OutcomeNotStored)
	}
	c.Check(srv.Writes(), qt.Equals, 0)
}

// A submission whose reply was lost is stored once. While its outcome is not known it is
// neither refused nor accepted.
func TestSubmissionWithLostReply(t *testing.T) {
	c, srv, kv := openStore(t)
	jobs := records.NewJobStore(kv)
	srv.SetFaults(standin.StoreFaults{LoseWriteReplies: true})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	outcome, _ := jobs.Submit(ctx, newJob("j1"))
	c.Check(outcome, qt.Equals, link.OutcomeUnknown)
	srv.SetFaults(standin.StoreFaults{})
	outcome, at := jobs.Submit(context.Background(), newJob("j1"))
	c.Check(outcome, qt.Equals, link.OutcomeStored)
	item, _ := srv.Get("workloads/in/job/j1")
	c.Check(int64(at), qt.Equals, item.Created)
	other := newJob("j1")
	other.Account = "another"
	outcome, _ = jobs.Submit(context.Background(), other)
	c.Check(outcome, qt.Equals, link.OutcomeIDConflict)
}

// Unreadable records must not keep a planner from loading the others. A job with unreadable
// progress is left out, and a worker with an unreadable record kept, since they may have runs.
func TestUnreadableRecordsAreSkipped(t *testing.T) {
	c, srv, kv := openStore(t)
	ctx := context.Background()
	jobs := records.NewJobStore(kv)
	submit(c, jobs, "good", "half")
	srv.Put("workloads/in/job/bytes", []byte{0xff, 0x00})
	srv.Put("workloads/in/job/other", []byte(`{"id":"good"}`))
	srv.Put("workloads/in/job/type", []byte(`{"id":7}`))
	srv.Put("workloads/run/half", []byte(`{"state":[]}`))
	srv.Put("workloads/worker/w1", []byte(`{"id":"w2","agent":"a"}`))
	srv.Put("workloads/worker/w3", []byte(`"text"`))
	srv.Put("workloads/unknown/x", []byte(`{}`))

	state, err := newPlannerStore(c, kv).Load(ctx, wall)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Jobs, qt.HasLen, 1)
	c.Check(state.Jobs[0].Job.ID, qt.Equals, workload.JobID("good"))
	c.Check(state.Workers, qt.DeepEquals, []engine.WorkerInfo{{ID: "w1"}, {ID: "w3"}})
	c.Check(state.Unreadable, qt.HasLen, 6)
	for _, u := range state.Unreadable {
		c.Check(u.Err, qt.Not(qt.IsNil), qt.Commentf("%s", u.Key))
	}
}

// Guards against a task that runs twice because a planner relies on a lease record although a planner of an earlier
// version, which does not heed it, has granted the lease since.
func TestLeaseRecordsBeforeSeriesAreNotRestored(t *testing.T) {
	c, srv, kv := openStore(t)
	srv.Put("workloads/worker/w1", []byte(`{"id":"w1","lease":{"epoch":4,"remaining":1000}}`))
	for since, valid := range map[uint64]bool{0: false, 4: true, 5: false} {
		state, err := records.NewPlannerStore(kv, store.Condition{}, since).Load(context.Background(), wall)
		c.Assert(err, qt.IsNil)
		c.Check(state.Workers[0].Lease != nil, qt.Equals, valid, qt.Commentf("series since %d", since))
	}
}
