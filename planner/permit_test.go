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

// largeJob is so many of the accelerators of allWorkers that no two such jobs run at
// once, and none beside the job that must not run twice.
const largeJob = 48

// The store is out for longer than any timeout, and a running gang ends. A job
// accepted before, which may run twice, starts at once on the accelerators that
// came free, although some that must not run twice wait ahead of it; those
// wait for the store. Each runs once and ends once.
func TestPermittedJobStartsDuringOutage(t *testing.T) {
	b := newBench(t)
	for i := range b.document.Document.Accounts {
		b.document.Document.Accounts[i].Guaranteed = nil // nothing is evicted for one
	}
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first runs", report, func() bool { return agents.largeJobRuns("runs") })
	others := []string{"settlement", "1", "2", "3", "4", "5", "6", "7"}
	for _, id := range others {
		b.acceptLongWaiting(id, 24, false)
	}
	b.acceptLongWaiting("waits", largeJob, true)
	b.eventually("one has a permit", report, func() bool { return b.hasPermit("waits") })

	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	agents.finish()
	b.eventually("the next runs", report, func() bool { return agents.largeJobRuns("waits") })
	for _, id := range others {
		b.c.Assert(agents.startsOf(id), qt.Equals, 0)
	}
	agents.finish()
	b.server.SetFaults(standin.Faults{})
	b.eventually("both ends are on record", report, func() bool {
		return b.state("runs") == jobs.Done && b.state("waits") == jobs.Done
	})
	b.eventually("the other one runs", report, func() bool { return agents.allMembersRun("settlement", 3) })
	b.c.Assert(agents.startsOf("runs"), qt.Equals, largeJob/8)
	b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
}

// The store is out, a job starts on its permit, and the planner's entry dies. No
// record says where the job runs, or that it is done. The successor must find it
// with the agents: to start it again would run it beside itself.
func TestSuccessorFindsJobStartedOnPermit(t *testing.T) {
	for _, done := range []bool{false, true} {
		b := newBench(t)
		agents := newFakeAgents(allWorkers...)
		first := b.planner(1, agents)
		report := func() { agents.report(first) }
		b.startInOutage(first, agents)
		if done {
			agents.finish()
			b.eventually("its planner knows the end", report, func() bool {
				s, ok := first.Status(context.Background(), "waits")
				return ok && s.Phase == Running && len(s.Members) == 0
			})
		}
		first.Stop()
		b.server.SetFaults(standin.Faults{})

		second := b.planner(2, agents)
		report = func() { agents.report(second) }
		if !done {
			b.eventually("its placement is on record", report, func() bool {
				return b.state("waits") == jobs.Starting && !b.hasPermit("waits")
			})
			agents.finish()
		}
		b.eventually("its end is on record", report, func() bool { return b.state("waits") == jobs.Done })
		b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
	}
}

// The planner is cut off from the store. A caller cancels a waiting job through
// another entry; the planner, which can't know, starts it. The caller must not be
// told that it did not run. When the cut is over the job is stopped and ends as
// cancelled, once.
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
	b.eventually("it is cancelled", report, func() bool { return b.state("waits") == jobs.Cancelled })
	b.c.Assert(agents.runningMembers("waits"), qt.Equals, 0)
	final, err := b.jobs.Get(context.Background(), "dispatch", "waits")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(final.Attempt, qt.Not(qt.Equals), uint64(0)) // 0 claims that it did not run
}

// A caller cancels a waiting job that has a permit. Its planner knows that it has
// not started it and says so: the caller may safely submit it elsewhere.
func TestCancelWithUnusedPermitReportsNotRun(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	b.startWithPermitWaiting(p, agents)
	_, err := b.jobs.Cancel(context.Background(), "dispatch", "waits", time.Now())
	b.c.Assert(err, qt.IsNil)
	b.eventually("it is cancelled", func() { agents.report(p) }, func() bool { return b.state("waits") == jobs.Cancelled })
	final, err := b.jobs.Get(context.Background(), "dispatch", "waits")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(final.Attempt, qt.Equals, uint64(0))
	b.c.Assert(final.Members, qt.HasLen, 0)
}

// The planner's entry is stopped as planned, or loses its lease and hears of a
// successor from the agents. The successor must not wait for the loss timeout
// before it starts jobs whose permits were never used: an urgent one would be late
// at each rolling update and after each outage.
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
			// As long as an agent takes its orders, the first may start the job.
			b.eventually("all agents refuse the first", func() { agents.report(second) }, func() bool { return agents.allFenced(2) })
		}
		agents.finish()
		report := func() {
			agents.report(second)
			agents.report(first)
		}
		b.eventually("it runs", report, func() bool { return agents.largeJobRuns("waits") })
		b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
		b.c.Assert(agents.epochsOf("waits"), qt.DeepEquals, map[uint64]bool{2: true})
	}
}

// A planner's term ends between the moment in which the store takes a permit and the
// one in which the planner hears of it. Nothing was started on that permit, but the
// planner does not know that it is out: unless it looks, its successor waits for the
// loss timeout before it starts the job.
func TestUnconfirmedPermitIsReturned(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first runs", report, func() bool { return agents.largeJobRuns("runs") })
	b.acceptLongWaiting("waits", largeJob, true)
	before, err := b.jobs.Get(context.Background(), "dispatch", "waits")
	b.c.Assert(err, qt.IsNil)
	b.eventually("the next has a permit", report, func() bool { return b.hasPermit("waits") })

	p.post(func() {
		j := p.jobs["waits"]
		j.stored = before
		j.permit = permitState{writing: true}
		p.superseded = true
	})
	<-p.Done()
	b.c.Assert(b.state("waits"), qt.Equals, jobs.Queued)
}

// The planner's entry dies with a permit out that it has not used. The successor
// can't know that, and starts the job once its agents refuse the predecessor and
// what could run elsewhere is lost or isolated. Jobs without permits start at once.
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
	b.eventually("all agents refuse the first", report, func() bool { return agents.allFenced(2) })
	for _, id := range []string{"later", "last"} {
		b.accept(id, 16, true)
		b.eventually(id+" runs", report, func() bool { return agents.allMembersRun(id, 2) })
		agents.finish()
	}
	b.c.Assert(agents.startsOf("waits"), qt.Equals, 0)

	shortTimeouts := *b.document.Document
	shortTimeouts.Gang.IsolationTimeout.Duration = 500 * time.Millisecond
	shortTimeouts.Gang.LossTimeout.Duration = 4 * time.Second
	second.SetDocument(&document.Held{Document: &shortTimeouts, Version: b.document.Version})
	b.eventually("it runs", report, func() bool { return agents.largeJobRuns("waits") })
	b.c.Assert(agents.startsOf("waits"), qt.Equals, largeJob/8)
}

// The planner records where a job runs that it started on a permit. The store goes
// out in that moment, and nobody knows whether the write took effect. Then the
// attempt is lost. Another one on the permit would run unseen: a successor that
// reads the placement resolves the first attempt and starts the job beside it.
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

func (p *Planner) isPermitVoid(id string) bool {
	void := make(chan bool, 1)
	p.post(func() { void <- p.jobs[id].permit.void })
	return <-void
}

// startInOutage leaves the job "waits" running on its permit in an outage.
func (b *bench) startInOutage(p *Planner, agents *fakeAgents) {
	b.startWithPermitWaiting(p, agents)
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	report := func() { agents.report(p) }
	agents.finish()
	b.eventually("the job runs", report, func() bool { return agents.largeJobRuns("waits") })
}

// startWithPermitWaiting leaves the job "runs" running and "waits" behind it with a permit.
func (b *bench) startWithPermitWaiting(p *Planner, agents *fakeAgents) {
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first runs", report, func() bool { return agents.largeJobRuns("runs") })
	b.acceptLongWaiting("waits", largeJob, true)
	b.eventually("the next has a permit", report, func() bool { return b.hasPermit("waits") })
}

func (b *bench) hasPermit(id string) bool {
	r, err := b.jobs.Get(context.Background(), "dispatch", id)
	return err == nil && r.IsPermit()
}

func (f *fakeAgents) largeJobRuns(job string) bool { return f.allMembersRun(job, largeJob/8) }

func (f *fakeAgents) allMembersRun(job string, members int) bool {
	return f.runningMembers(job) == members
}

// epochsOf is the epochs of the planners whose starts of the job the agents hold.
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

// runningMembers is how many members of the job run.
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

// disconnectableStore loses all calls while it is cut.
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

// disconnectablePlanner is a planner that can be cut off from the store.
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

// A successor places jobs on workers whose accelerators a job of its predecessor
// has, which it has not found yet. They refuse, as they should, and must not be
// quarantined for it.
func TestWorkersOfUnresolvedJobAreNotAtFault(t *testing.T) {
	b := newBench(t)
	p := b.planner(2, newFakeAgents())
	b.eventually("records read", func() {}, func() bool { return p.areRecordsLoaded() })
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

// A gang's start reached one of its two members, and the attempt was given up. The
// job waits again until its class's deadline passes, or turns out to fit nowhere.
// Its caller must not be told "rejected", which says that it did not run.
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
