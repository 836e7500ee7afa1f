package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// harness is a small site for scenarios: steps advance the time by hand, and every
// step is followed by Check.
type harness struct {
	*qt.C
	s   *Scheduler
	now time.Time
}

func newHarness(t *testing.T, p Policy, workers ...Worker) *harness {
	b := &harness{C: qt.New(t), now: time.Unix(1e6, 0)}
	b.s = New(Options{Start: b.now})
	p.Generation = 1
	evs := []Event{PolicyChanged{p}}
	for _, w := range workers {
		evs = append(evs, WorkerUp{w})
	}
	b.step(Batch{evs})
	return b
}

func (b *harness) step(ev Event) []Action {
	b.Helper()
	out := b.s.Step(b.now, ev)
	b.Assert(b.s.Check(), qt.IsNil)
	return out
}

func (b *harness) submit(jobs ...Job) []Action { return b.step(JobsSubmitted{jobs}) }

func (b *harness) endAttempt(id JobID, o Outcome, at WorkerID) []Action {
	return b.step(GangEnded{Job: id, Attempt: b.s.jobs[id].run.attempt, Outcome: o, Worker: at})
}

// actionsOf keeps the actions actionsOf one type.
func actionsOf[A Action](actions []Action) []A {
	var out []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func eightAcceleratorWorkers(n int) []Worker {
	var out []Worker
	for i := range n {
		out = append(out, Worker{ID: WorkerID(fmt.Sprint("w", i)), Zone: "z", Rack: fmt.Sprint("r", i/3), Accelerators: 8, Cores: 32, MemoryMB: 64_000})
	}
	return out
}

var ownerAndGuest = Policy{Accounts: []AccountPolicy{{ID: "owner", Guaranteed: []Shape{{8, AdjacentWorker, 1}}}, {ID: "guest"}}}

func TestGuaranteedShapeFitsOnOneWorker(t *testing.T) {
	// A large tenant claims its guaranteed 8 on one worker and is told to wait:
	// 8 are free, but as 4 and 4. Work that can't be evicted had been let onto
	// both workers, because the sum still held.
	b := newHarness(t, ownerAndGuest, eightAcceleratorWorkers(2)...)
	var guests []Job
	for i := range 4 {
		guests = append(guests, Job{ID: JobID(fmt.Sprint("g", i)), Account: "guest", Accelerators: 4, Adjacency: AdjacentWorker})
	}
	b.Assert(actionsOf[StartGang](b.submit(guests...)), qt.HasLen, 2)
	b.Assert(actionsOf[StartGang](b.submit(Job{ID: "o", Account: "owner", Accelerators: 8, Adjacency: AdjacentWorker})), qt.HasLen, 1)
}

func TestCancelledClaimStopsEvictions(t *testing.T) {
	// An owner claims and withdraws at once; borrowers go on being evicted one by
	// one for nobody. Evictions beyond the bound had been queued on the claim.
	p := ownerAndGuest
	p.MaxEvictions = 2
	b := newHarness(t, p, eightAcceleratorWorkers(1)...)
	for i := range 8 {
		b.submit(Job{ID: JobID(fmt.Sprint("g", i)), Account: "guest", Accelerators: 1, Repeatable: true})
	}
	b.Assert(actionsOf[StopGang](b.submit(Job{ID: "o", Account: "owner", Accelerators: 8, Adjacency: AdjacentWorker})), qt.HasLen, 2)
	b.Assert(actionsOf[RejectJob](b.step(JobsCancelled{[]JobID{"o"}})), qt.HasLen, 1)
	for _, j := range b.s.jobs {
		if j.run.state == runStopping {
			b.Assert(actionsOf[StopGang](b.endAttempt(j.ID, Stopped, "")), qt.HasLen, 0)
		}
	}
}

func TestEvictionLosesLeastWork(t *testing.T) {
	// A claim throws away an hour of one borrower although another had just
	// checkpointed. Victims were chosen by when they started.
	b := newHarness(t, ownerAndGuest, eightAcceleratorWorkers(2)...)
	b.submit(Job{ID: "old", Account: "guest", Accelerators: 8, Adjacency: AdjacentWorker, Checkpointable: true})
	b.step(GangStarted{"old", 1})
	b.now = b.now.Add(time.Hour)
	b.submit(Job{ID: "young", Account: "guest", Accelerators: 8, Adjacency: AdjacentWorker, Repeatable: true, Class: "x"})
	b.step(GangStarted{"young", 1})
	b.now = b.now.Add(time.Minute)
	stops := actionsOf[StopGang](b.submit(Job{ID: "o", Account: "owner", Accelerators: 8, Adjacency: AdjacentWorker}))
	b.Assert(stops, qt.DeepEquals, []StopGang{{Job: "old", Attempt: 1, Checkpoint: true, Reason: StopReclaim}})
}

func TestImpossibleJobsAreRejectedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		job  Job
		why  RejectReason
	}{
		{"more than exists", Job{Accelerators: 17}, RejectTooLarge},
		{"more than any worker has", Job{Accelerators: 9, Adjacency: AdjacentWorker}, RejectAdjacency},
		{"more memory than comes with a worker", Job{Accelerators: 1, MemoryMB: 1 << 30}, RejectWorkerSize},
		{"may not be evicted and everything else is guaranteed", Job{Accelerators: 9}, RejectTooLarge},
		{"no capacity asked", Job{}, RejectInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, ownerAndGuest, eightAcceleratorWorkers(2)...)
			c.job.ID, c.job.Account = "j", "guest"
			got := actionsOf[RejectJob](b.submit(c.job))
			b.Assert(got, qt.HasLen, 1)
			b.Assert(got[0].Reason, qt.Equals, c.why, qt.Commentf("%s", got[0].Detail))
		})
	}
}

func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
	// A gang of 16 waits for days on a busy site although it fits: each worker
	// that comes free is taken by one of the small jobs that never stop coming.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}, {ID: "b"}}}, eightAcceleratorWorkers(2)...)
	for i := range 400 {
		b.submit(Job{ID: JobID(fmt.Sprint("s", i)), Account: "a", Accelerators: 1, Class: "s", Submitted: b.now})
		if i == 100 {
			b.submit(Job{ID: "gang", Account: "b", Accelerators: 16, Submitted: b.now})
		}
		if i >= 16 {
			if j := b.s.jobs[JobID(fmt.Sprint("s", i-16))]; j.run != nil {
				b.endAttempt(j.ID, Done, "")
			}
		}
		b.now = b.now.Add(time.Second)
		if b.s.jobs["gang"] != nil && b.s.jobs["gang"].run != nil {
			b.Assert(i < 130, qt.IsTrue, qt.Commentf("started after %d jobs", i))
			return
		}
	}
	b.Fatal("the gang never started")
}

func TestFaultyWorkerIsQuarantinedAndProbed(t *testing.T) {
	// Every job that lands on one worker fails within a second. It is always idle,
	// so it attracts all that comes, and the jobs are blamed.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}, QuarantineFor: time.Minute}, eightAcceleratorWorkers(3)...)
	var out []Action
	for i := 0; len(actionsOf[QuarantineWorker](out)) == 0; i++ {
		b.Assert(i < 20, qt.IsTrue)
		b.submit(Job{ID: JobID(fmt.Sprint("j", i)), Account: "a", Accelerators: 8, Adjacency: AdjacentWorker, Repeatable: true})
		for _, j := range b.s.jobs {
			if j.run != nil && b.s.nodes[j.run.held[0].node].ID == "w0" {
				out = append(out, b.endAttempt(j.ID, Failed, "w0")...)
			} else if j.run != nil && i%2 == 1 {
				b.endAttempt(j.ID, Done, "")
			}
		}
		b.now = b.now.Add(10 * time.Second)
	}
	b.Assert(actionsOf[RejectJob](out), qt.HasLen, 0)
	b.now = b.now.Add(2 * time.Minute)
	probes := 0
	for _, a := range actionsOf[StartGang](b.submit(Job{ID: "p", Account: "a", Accelerators: 1, Repeatable: true}, Job{ID: "q", Account: "a", Accelerators: 1, Repeatable: true})) {
		if a.Placement[0].Worker == "w0" {
			probes++
			b.Assert(actionsOf[WorkerHealthy](b.endAttempt(a.Job, Done, "")), qt.HasLen, 1)
		}
	}
	b.Assert(probes, qt.Equals, 1)
}

func TestFaultyJobDoesNotQuarantineWorkers(t *testing.T) {
	// One job crashes wherever it runs. Worker after worker goes into quarantine
	// until nothing is left, because each failure was charged to the worker.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(4)...)
	b.submit(Job{ID: "bad", Account: "a", Accelerators: 1, Repeatable: true})
	var out []Action
	for i := 0; b.s.jobs["bad"] != nil; i++ {
		b.Assert(i < 10, qt.IsTrue)
		out = append(out, b.endAttempt("bad", Failed, "")...)
		b.now = b.now.Add(time.Minute)
		b.step(Tick{})
	}
	b.Assert(actionsOf[RejectJob](out)[0].Reason, qt.Equals, RejectFaulty)
	b.Assert(actionsOf[QuarantineWorker](out), qt.HasLen, 0)
}

func TestNotRepeatableJobRunsOnce(t *testing.T) {
	// A worker dies under a job that books cargo space. The job is started again
	// elsewhere and the space is booked twice.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(2)...)
	b.submit(Job{ID: "once", Account: "a", Accelerators: 1})
	b.step(GangStarted{"once", 1})
	b.step(WorkerDown{b.s.nodes[b.s.jobs["once"].run.held[0].node].ID})
	out := b.endAttempt("once", Lost, "")
	b.Assert(actionsOf[StartGang](out), qt.HasLen, 0)
	b.Assert(actionsOf[RejectJob](out)[0].Reason, qt.Equals, RejectNotRepeatable)
}

func TestLostWorkerDegradesAndRestoresGuarantee(t *testing.T) {
	// Half the site fails. The operator must hear which account's block no longer
	// fits, and the block must be whole again before new work takes the space.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "owner", Guaranteed: []Shape{{8, AdjacentWorker, 2}}}}}, eightAcceleratorWorkers(2)...)
	out := b.step(WorkerDown{"w1"})
	b.Assert(actionsOf[GuaranteeDegraded](out), qt.DeepEquals, []GuaranteeDegraded{{"owner", Shape{8, AdjacentWorker, 2}, 1}})
	out = b.step(WorkerUp{eightAcceleratorWorkers(2)[1]})
	b.Assert(actionsOf[GuaranteeRestored](out), qt.HasLen, 1)
}

func TestCheckPolicyRefusesShapesThatDoNotFit(t *testing.T) {
	c := qt.New(t)
	p := Policy{Accounts: []AccountPolicy{{ID: "a", Guaranteed: []Shape{{8, AdjacentWorker, 1}}}, {ID: "b", Guaranteed: []Shape{{6, AdjacentWorker, 2}}}}}
	c.Assert(CheckPolicy(p, eightAcceleratorWorkers(3)), qt.IsNil)
	err := CheckPolicy(p, eightAcceleratorWorkers(2)) // 20 of 16, and 6 and 6 never share a worker
	c.Assert(err, qt.DeepEquals, &ShapeError{Account: "b", Shape: Shape{6, AdjacentWorker, 2}, Missing: 1})
}

func TestObjectiveDecidesOrder(t *testing.T) {
	// The same two jobs wait for a worker. One firm wants the first answer soon,
	// the other wants large blocks used whole.
	for o, first := range map[Objective]JobID{CompletionTime: "small", Fragmentation: "large"} {
		b := newHarness(t, Policy{Objective: o, Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(1)...)
		b.submit(Job{ID: "busy", Account: "a", Accelerators: 8})
		b.submit(Job{ID: "small", Account: "a", Accelerators: 1}, Job{ID: "large", Account: "a", Accelerators: 8})
		b.Assert(actionsOf[StartGang](b.endAttempt("busy", Done, ""))[0].Job, qt.Equals, first)
	}
}

func TestJobThatCrashesWorkersIsRejected(t *testing.T) {
	// One job takes down each worker that starts it, with all that others run there.
	// Its attempts are lost and not failed, so that they counted as nothing and it
	// was started again without end.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(12)...)
	b.submit(Job{ID: "bad", Account: "a", Accelerators: 8, Repeatable: true})
	var out []Action
	for i := 0; b.s.jobs["bad"] != nil; i++ {
		b.Assert(i < 10, qt.IsTrue, qt.Commentf("started once more after %d workers", i))
		r := b.s.jobs["bad"].run
		at := b.s.nodes[r.held[0].node].Worker
		b.step(GangStarted{"bad", r.attempt})
		b.step(WorkerDown{at.ID})
		out = append(out, b.endAttempt("bad", Lost, "")...)
		b.now = b.now.Add(2 * time.Minute)
		b.step(WorkerUp{at})
	}
	b.Assert(actionsOf[RejectJob](out)[0].Reason, qt.Equals, RejectFaulty)
}

func TestLateLossesDoNotRejectLongJob(t *testing.T) {
	// A large gang loses a worker every few days. None of that speaks against it.
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(12)...)
	b.submit(Job{ID: "long", Account: "a", Accelerators: 8, Repeatable: true})
	for range 30 {
		r := b.s.jobs["long"].run
		at := b.s.nodes[r.held[0].node].Worker
		b.step(GangStarted{"long", r.attempt})
		b.now = b.now.Add(50 * time.Hour)
		b.step(WorkerDown{at.ID})
		b.endAttempt("long", Lost, "")
		b.now = b.now.Add(2 * time.Minute)
		b.step(WorkerUp{at})
		b.Assert(b.s.jobs["long"], qt.Not(qt.IsNil))
	}
}
