package planner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// largeJob is the size of jobs so large that no two of them run at once on
// allWorkers, and none together with the job that is not repeatable.
const largeJob = 48

// While the store is unavailable, a job with a permit must start when a gang
// ends, ahead of jobs without permits, and each job must run and end once.
func TestPermittedJobStartsDuringOutage(t *testing.T) {
	b := newBench(t)
	for i := range b.document.Document.Accounts {
		b.document.Document.Accounts[i].Guaranteed = nil // no job is evicted for a guarantee
	}
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first job runs", report, func() bool { return agents.largeJobRuns("runs") })
	others := []string{"settlement", "1", "2", "3", "4", "5", "6", "7"}
	for _, id := range others {
		b.acceptLongWaiting(id, 24, false)
	}
	b.acceptLongWaiting("waits", largeJob, true)
	b.eventually("the waiting job has a permit", report, func() bool { return b.hasPermit("waits") })

	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	agents.finish()
	b.eventually("the waiting job runs", report, func() bool { return agents.largeJobRuns("waits") })
	for _, id := range others {
		b.c.Assert(agents.startsOf(id), qt.Equals, 0)
	}
	agents.finish()
	b.server.SetFaults(standin.Faults{})
	b.eventually("both ends are recorded", report, func() bool {
		return b.state("runs") == jobs.Done && b.state("waits") == jobs.Done
	})
	b.eventually("the job without a permit runs", report, func() bool { return agents.allMembersRun("settlement", 3) })
	b.c.Assert(agents.startsOf("runs"), qt.Equals, largeJob/8)
	b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
}

// The successor of a planner that started a job on a permit during an outage
// must find the job at the agents and not start it again.
func TestSuccessorFindsJobStartedOnPermit(t *testing.T) {
	for _, done := range []bool{false, true} {
		b := newBench(t)
		agents := newFakeAgents(allWorkers...)
		first := b.planner(1, agents)
		report := func() { agents.report(first) }
		b.startInOutage(first, agents)
		if done {
			agents.finish()
			b.eventually("its planner knows that it has ended", report, func() bool {
				s, ok := first.Status(context.Background(), "waits")
				return ok && s.Phase == Running && len(s.Members) == 0
			})
		}
		first.Stop()
		b.server.SetFaults(standin.Faults{})

		second := b.planner(2, agents)
		report = func() { agents.report(second) }
		if !done {
			b.eventually("its placement is recorded", report, func() bool {
				return b.state("waits") == jobs.Starting && !b.hasPermit("waits")
			})
			agents.finish()
		}
		b.eventually("its end is recorded", report, func() bool { return b.state("waits") == jobs.Done })
		b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
	}
}

// A job that was started on a permit after its cancellation must be stopped and
// end as cancelled, and not be reported as not run.
func TestCancelWhilePlannerIsDisconnected(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p, disconnected := b.disconnectablePlanner(1, agents)
	report := func() { agents.report(p) }
	b.startWithPermitWaiting(p, agents)
	disconnected.Store(true)
	got, err := b.jobs.Cancel(context.Background(), "dispatch", "waits", time.Now())
	b.c.Assert(err, qt.IsNil)
	b.c.Check(got.State, qt.Equals, jobs.Starting)
	agents.finish()
	b.eventually("the job runs", report, func() bool { return agents.largeJobRuns("waits") })

	disconnected.Store(false)
	b.eventually("the job is cancelled", report, func() bool { return b.state("waits") == jobs.Cancelled })
	b.c.Assert(agents.runningMembers("waits"), qt.Equals, 0)
	final, err := b.jobs.Get(context.Background(), "dispatch", "waits")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(final.Attempt, qt.Not(qt.Equals), uint64(0)) // 0 would claim that it did not run
}

// A cancelled job whose permit was not used must be reported as not run, so
// that the caller may submit it elsewhere.
func TestCancelWithUnusedPermitReportsNotRun(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	b.startWithPermitWaiting(p, agents)
	_, err := b.jobs.Cancel(context.Background(), "dispatch", "waits", time.Now())
	b.c.Assert(err, qt.IsNil)
	b.eventually("the job is cancelled", func() { agents.report(p) }, func() bool { return b.state("waits") == jobs.Cancelled })
	final, err := b.jobs.Get(context.Background(), "dispatch", "waits")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(final.Attempt, qt.Equals, uint64(0))
	b.c.Assert(final.Members, qt.HasLen, 0)
}

// The successor of a stopped or superseded planner must not wait for the loss
// timeout before it starts jobs whose permits were never used.
func TestUnusedPermitsAreReturned(t *testing.T) {
	for _, planned := range []bool{true, false} {
		b := newBench(t)
		b.document.Document.Gang.LossTimeout.Duration = time.Hour
		agents := newFakeAgents(allWorkers...)
		first := b.planner(1, agents)
		b.startWithPermitWaiting(first, agents)
		if planned {
			first.Stop()
			b.c.Assert(b.state("waits"), qt.Equals, jobs.Queued)
		}

		second := b.planner(2, agents)
		if !planned {
			// Until the agents are fenced the first planner may start the job.
			b.eventually("all agents refuse the first planner", func() { agents.report(second) }, func() bool { return agents.allFenced(2) })
		}
		agents.finish()
		report := func() {
			agents.report(second)
			agents.report(first)
		}
		b.eventually("the job runs", report, func() bool { return agents.largeJobRuns("waits") })
		b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
		b.c.Assert(agents.epochsOf("waits"), qt.DeepEquals, map[uint64]bool{2: true})
	}
}

// A permit whose write is unconfirmed when the term ends must be returned too,
// or the successor delays the job for the loss timeout.
func TestUnconfirmedPermitIsReturned(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first job runs", report, func() bool { return agents.largeJobRuns("runs") })
	b.acceptLongWaiting("waits", largeJob, true)
	before, err := b.jobs.Get(context.Background(), "dispatch", "waits")
	b.c.Assert(err, qt.IsNil)
	b.eventually("the waiting job has a permit", report, func() bool { return b.hasPermit("waits") })

	p.post(func() {
		j := p.jobs["waits"]
		j.stored = before
		j.permit = permitState{writing: true}
		p.superseded = true
	})
	<-p.Done()
	b.c.Assert(b.state("waits"), qt.Equals, jobs.Queued)
}

// A successor must delay a job with a permit that was not returned until
// predecessors can't run it any more, but no other jobs.
func TestSuccessorDelaysJobWithUnusedPermit(t *testing.T) {
	b := newBench(t)
	b.document.Document.Gang.LossTimeout.Duration = time.Hour
	agents := newFakeAgents(allWorkers...)
	first, disconnected := b.disconnectablePlanner(1, agents)
	b.startWithPermitWaiting(first, agents)
	disconnected.Store(true)
	first.Stop()
	b.c.Assert(b.hasPermit("waits"), qt.IsTrue)
	agents.finish()

	second := b.planner(2, agents)
	report := func() { agents.report(second) }
	b.eventually("all agents refuse the first planner", report, func() bool { return agents.allFenced(2) })
	for _, id := range []string{"later", "last"} {
		b.accept(id, 16, true)
		b.eventually(id+" runs", report, func() bool { return agents.allMembersRun(id, 2) })
		agents.finish()
	}
	b.c.Assert(agents.startsOf("waits"), qt.Equals, 0)

	shortTimeouts := *b.document.Document
	shortTimeouts.Gang.IsolationTimeout.Duration = 500 * time.Millisecond
	shortTimeouts.Gang.LossTimeout.Duration = 4 * time.Second
	second.SetDocument(&document.ActiveVersion{Document: &shortTimeouts, Version: b.document.Version})
	b.eventually("the job runs", report, func() bool { return agents.largeJobRuns("waits") })
	b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
}

// After the outcome of writing a placement is unknown, the job must not start
// on its permit again: a successor could start it a second time.
func TestRecordedPlacementVoidsPermit(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.startWithPermitWaiting(p, agents)
	others := []string{"third", "fourth"}
	for _, id := range others {
		b.acceptLongWaiting(id, largeJob, true)
		b.eventually(id+" has a permit", report, func() bool { return b.hasPermit(id) })
	}
	agents.finish()
	b.eventually("the second runs", report, func() bool { return agents.largeJobRuns("waits") })
	b.eventually("the end of the first is on record", report, func() bool { return !p.isLive("runs") })
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	p.post(func() { p.jobs["waits"].stored.Started = time.Now().Add(-placementDelay) })
	b.eventually("its placement is being written", report, func() bool { return p.isPermitVoid("waits") })

	agents.endAll(gang.TaskLost)
	for _, id := range others {
		b.eventually(id+" runs", report, func() bool { return agents.largeJobRuns(id) })
		agents.finish()
	}
	b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
	b.server.SetFaults(standin.Faults{})
	b.eventually("the second runs again", report, func() bool { return agents.largeJobRuns("waits") })
}

// isLive reports whether the planner has a job whose end is not on record.
func (p *Planner) isLive(id string) bool {
	live, _ := callOnLoop(context.Background(), p, func() bool { return p.jobs[id] != nil })
	return live
}

func (p *Planner) isPermitVoid(id string) bool {
	void := make(chan bool, 1)
	p.post(func() { void <- p.jobs[id].permit.void })
	return <-void
}

// startInOutage leaves the job "waits" running on its permit while the store
// is unavailable.
func (b *bench) startInOutage(p *Planner, agents *fakeAgents) {
	b.startWithPermitWaiting(p, agents)
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	report := func() { agents.report(p) }
	agents.finish()
	b.eventually("the job runs", report, func() bool { return agents.largeJobRuns("waits") })
}

// startWithPermitWaiting leaves the job "runs" running, and "waits" queued
// behind it with a permit.
func (b *bench) startWithPermitWaiting(p *Planner, agents *fakeAgents) {
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first job runs", report, func() bool { return agents.largeJobRuns("runs") })
	b.acceptLongWaiting("waits", largeJob, true)
	b.eventually("the waiting job has a permit", report, func() bool { return b.hasPermit("waits") })
}

func (b *bench) hasPermit(id string) bool {
	r, err := b.jobs.Get(context.Background(), "dispatch", id)
	return err == nil && r.IsPermit()
}

func (f *fakeAgents) largeJobRuns(job string) bool { return f.allMembersRun(job, largeJob/8) }

func (f *fakeAgents) allMembersRun(job string, members int) bool {
	return f.runningMembers(job) == members
}

// epochsOf returns the epochs of the job's attempts that the agents report.
func (f *fakeAgents) epochsOf(job string) map[uint64]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	epochs := make(map[uint64]bool)
	for _, m := range f.members {
		for _, t := range m.Tasks() {
			if t.ID.Job == job {
				epochs[t.ID.Epoch] = true
			}
		}
	}
	return epochs
}

// runningMembers returns how many members of the job run.
func (f *fakeAgents) runningMembers(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		for _, t := range m.Tasks() {
			if t.ID.Job == job && t.State.String() == "running" {
				n++
			}
		}
	}
	return n
}

// disconnectableStore fails all calls while it is disconnected.
type disconnectableStore struct {
	store.Store
	disconnected *atomic.Bool
}

func (s disconnectableStore) Get(ctx context.Context, key string) (store.KeyValue, bool, error) {
	if s.disconnected.Load() {
		return store.KeyValue{}, false, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s disconnectableStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if s.disconnected.Load() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s disconnectableStore) Commit(ctx context.Context, swaps []store.Swap) ([]store.SwapResult, error) {
	if s.disconnected.Load() {
		return nil, store.ErrUnavailable
	}
	return s.Store.Commit(ctx, swaps)
}

func (s disconnectableStore) Watch(ctx context.Context, prefix string, from store.Revision, deliver func(store.WatchBatch)) error {
	if s.disconnected.Load() {
		return store.ErrUnavailable
	}
	ctx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	return s.Store.Watch(ctx, prefix, from, func(b store.WatchBatch) {
		if s.disconnected.Load() {
			cancelWatch()
			return
		}
		deliver(b)
	})
}

// disconnectablePlanner starts a planner that can be disconnected from the
// store.
func (b *bench) disconnectablePlanner(epoch uint64, agents *fakeAgents) (*Planner, *atomic.Bool) {
	env := *b
	disconnected := new(atomic.Bool)
	kv := disconnectableStore{b.store, disconnected}
	swaps := store.NewBatcher(kv, 0)
	b.c.Cleanup(swaps.Close)
	env.store = kv
	env.jobs = jobs.NewStore("r", kv, swaps)
	return env.planner(epoch, agents), disconnected
}

// A worker must not be quarantined for refusing a job because an unresolved job
// of a predecessor uses its accelerators.
func TestWorkersOfUnresolvedJobAreNotAtFault(t *testing.T) {
	b := newBench(t)
	p := b.planner(2, newFakeAgents())
	b.eventually("the records are loaded", func() {}, func() bool { return p.areRecordsLoaded() })
	done := make(chan struct{})
	p.post(func() {
		defer close(done)
		j := &job{phase: Queued}
		j.stored.ID, j.stored.Service = "j", "dispatch"
		j.stored = j.stored.WithPermit(1)
		p.jobs["j"] = j
		p.markUnresolved(j)
		task := gang.Task{ID: gang.ID{Job: "j", Epoch: 1, Number: 1}, State: gang.StateRunning, Members: 2}
		p.applyReport(AgentReport{Worker: scheduler.Worker{ID: "a", Accelerators: 8}, Incarnation: 1, Tasks: []gang.Task{task}, ReceivedAt: clock.Now()})
		refused := gang.Ended{Outcome: gang.NotStarted, Cause: gang.CauseRefused, CauseAgent: "a"}
		b.c.Check(p.workerAtFault(refused), qt.Equals, scheduler.WorkerID(""))
	})
	<-done
}

// A job that may have run must not end as rejected for its deadline or its
// size, since that state claims that it did not run.
func TestJobThatMayHaveRunIsNotRejected(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	b.accept("j", 16, true)
	b.eventually("the job is known", func() {}, func() bool {
		_, ok := p.Status(context.Background(), "j")
		return ok
	})
	done := make(chan struct{})
	p.post(func() {
		defer close(done)
		j := p.jobs["j"]
		class, _ := p.doc.Document.Class(j.stored.Spec.Class)
		late := time.Now().Add(2 * class.Deadline.Duration)
		b.c.Check(limitExceededBy(j, class, late).state, qt.Equals, jobs.Rejected)
		p.attachCoordinator(j, gang.NewCoordinator(p.attemptConfig(j), gang.Plan{ID: gang.ID{Job: "j", Epoch: 1, Number: 1}}))
		p.handleAttemptEnded(j, gang.Ended{Outcome: gang.Stopped})
		b.c.Check(limitExceededBy(j, class, late).state, qt.Equals, jobs.Failed)
		b.c.Check(finalState(scheduler.RejectTooLarge, j), qt.Equals, jobs.Failed)
	})
	<-done
}

// A permit may be confirmed after an attempt has begun, which then starts on it. No record names the
// attempt, so its ended tasks must stay at the agents until the end is recorded: a successor would
// find nothing and run a job again that was done.
func TestAttemptOnLatePermitRetainsItsEnd(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	agents.unreachableFrom[1] = true // until the permit is confirmed
	p := b.planner(1, agents)
	b.accept("j", 16, true)
	report := func() { agents.report(p) }
	b.eventually("an attempt has begun", report, func() bool {
		begun, _ := callOnLoop(context.Background(), p, func() bool { j := p.jobs["j"]; return j != nil && j.coord != nil })
		return begun
	})
	_, ok := callOnLoop(context.Background(), p, func() bool {
		j := p.jobs["j"]
		got, err := b.jobs.Update(context.Background(), j.stored.WithPermit(1))
		b.c.Assert(err, qt.IsNil)
		p.handlePermitWritten(j, j.stored.Rev, got, nil)
		return true
	})
	b.c.Assert(ok, qt.IsTrue)
	agents.reach(1)
	b.eventually("the gang runs", report, func() bool { return agents.allMembersRun("j", 2) })
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	agents.finish()
	b.eventually("the planner knows that it is done", report, func() bool {
		done, _ := callOnLoop(context.Background(), p, func() bool { j := p.jobs["j"]; return j != nil && j.finalRecord != nil })
		return done
	})
	time.Sleep(100 * time.Millisecond) // an acknowledgement would be on its way
	b.c.Check(agents.epochsOf("j"), qt.DeepEquals, map[uint64]bool{1: true})
}
