package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// harness runs scenarios on a small site. Tests advance the time by hand, and
// every step is followed by Check.
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

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var out []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// eightAcceleratorWorkers returns n workers with 8 accelerators each, three to
// a rack.
func eightAcceleratorWorkers(n int) []Worker {
	var out []Worker
	for i := range n {
		out = append(out, Worker{ID: WorkerID(fmt.Sprint("w", i)), Zone: "z", Rack: fmt.Sprint("r", i/3), Accelerators: 8, Cores: 32, MemoryMB: 64_000})
	}
	return out
}

var ownerAndGuest = Policy{Accounts: []AccountPolicy{{ID: "owner", Guaranteed: []Shape{{8, AdjacentWorker, 1}}}, {ID: "guest"}}}

// Jobs that can't be evicted must leave a whole worker for a guaranteed shape
// of 8, not only 8 free accelerators in all.
func TestGuaranteedShapeFitsOnOneWorker(t *testing.T) {
	b := newHarness(t, ownerAndGuest, eightAcceleratorWorkers(2)...)
	var guests []Job
	for i := range 4 {
		guests = append(guests, Job{ID: JobID(fmt.Sprint("g", i)), Account: "guest", Accelerators: 4, Adjacency: AdjacentWorker})
	}
	b.Assert(actionsOf[StartGang](b.submit(guests...)), qt.HasLen, 2)
	b.Assert(actionsOf[StartGang](b.submit(Job{ID: "o", Account: "owner", Accelerators: 8, Adjacency: AdjacentWorker})), qt.HasLen, 1)
}

// Cancelling a claim must stop the evictions that it has not sent yet because
// of MaxEvictions.
func TestCancelledClaimStopsEvictions(t *testing.T) {
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

// A claim must evict a checkpointable job rather than one that would lose its
// work.
func TestEvictionLosesLeastWork(t *testing.T) {
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

// A job that can never run must be rejected at once, with the right reason.
func TestImpossibleJobsAreRejectedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		job  Job
		why  RejectReason
	}{
		{"more accelerators than exist", Job{Accelerators: 17}, RejectTooLarge},
		{"more accelerators than any worker has", Job{Accelerators: 9, Adjacency: AdjacentWorker}, RejectAdjacency},
		{"more memory than comes with a worker", Job{Accelerators: 1, MemoryMB: 1 << 30}, RejectWorkerSize},
		{"may not be evicted and everything else is guaranteed", Job{Accelerators: 9}, RejectTooLarge},
		{"no capacity requested", Job{}, RejectInvalid},
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

// A gang that needs the whole site must start although small jobs keep
// arriving.
func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
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

// A worker on which every job fails must be quarantined without rejecting the
// jobs, and return after one successful probe.
func TestFaultyWorkerIsQuarantinedAndProbed(t *testing.T) {
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

// A job that fails on every worker must be rejected without quarantining any
// worker.
func TestFaultyJobDoesNotQuarantineWorkers(t *testing.T) {
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

// A job that must not run twice must be rejected, not restarted, when its
// worker is lost.
func TestNotRepeatableJobRunsOnce(t *testing.T) {
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(2)...)
	b.submit(Job{ID: "once", Account: "a", Accelerators: 1})
	b.step(GangStarted{"once", 1})
	b.step(WorkerDown{b.s.nodes[b.s.jobs["once"].run.held[0].node].ID})
	out := b.endAttempt("once", Lost, "")
	b.Assert(actionsOf[StartGang](out), qt.HasLen, 0)
	b.Assert(actionsOf[RejectJob](out)[0].Reason, qt.Equals, RejectNotRepeatable)
}

// The loss of a worker must report the guarantee that no longer fits, and its
// return must report it restored.
func TestLostWorkerDegradesAndRestoresGuarantee(t *testing.T) {
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "owner", Guaranteed: []Shape{{8, AdjacentWorker, 2}}}}}, eightAcceleratorWorkers(2)...)
	out := b.step(WorkerDown{"w1"})
	b.Assert(actionsOf[GuaranteeDegraded](out), qt.DeepEquals, []GuaranteeDegraded{{"owner", Shape{8, AdjacentWorker, 2}, 1}})
	out = b.step(WorkerUp{eightAcceleratorWorkers(2)[1]})
	b.Assert(actionsOf[GuaranteeRestored](out), qt.HasLen, 1)
}

// CheckPolicy must name the shape that does not fit.
func TestCheckPolicyRefusesShapesThatDoNotFit(t *testing.T) {
	c := qt.New(t)
	p := Policy{Accounts: []AccountPolicy{{ID: "a", Guaranteed: []Shape{{8, AdjacentWorker, 1}}}, {ID: "b", Guaranteed: []Shape{{6, AdjacentWorker, 2}}}}}
	c.Assert(CheckPolicy(p, eightAcceleratorWorkers(3)), qt.IsNil)
	err := CheckPolicy(p, eightAcceleratorWorkers(2)) // 20 of 16 accelerators, and 6 and 6 never share a worker
	c.Assert(err, qt.DeepEquals, &ShapeError{Account: "b", Shape: Shape{6, AdjacentWorker, 2}, Missing: 1})
}

// CompletionTime must start the oldest job first, Fragmentation the largest.
func TestObjectiveDecidesOrder(t *testing.T) {
	for o, first := range map[Objective]JobID{CompletionTime: "small", Fragmentation: "large"} {
		b := newHarness(t, Policy{Objective: o, Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(1)...)
		b.submit(Job{ID: "busy", Account: "a", Accelerators: 8})
		b.submit(Job{ID: "small", Account: "a", Accelerators: 1}, Job{ID: "large", Account: "a", Accelerators: 8})
		b.Assert(actionsOf[StartGang](b.endAttempt("busy", Done, ""))[0].Job, qt.Equals, first)
	}
}

// A job whose attempts are repeatedly lost soon after their start must be
// rejected although none reports a failure.
func TestJobThatCrashesWorkersIsRejected(t *testing.T) {
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(12)...)
	b.submit(Job{ID: "bad", Account: "a", Accelerators: 8, Repeatable: true})
	var out []Action
	for i := 0; b.s.jobs["bad"] != nil; i++ {
		b.Assert(i < 10, qt.IsTrue, qt.Commentf("job started again after %d lost workers", i))
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

// Losing workers long after the start must not count against a job.
func TestLateLossesDoNotRejectLongJob(t *testing.T) {
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

// A job whose starts are not answered has not failed itself: it must be tried again, however often.
func TestUnansweredStartsDoNotRejectJob(t *testing.T) {
	b := newHarness(t, Policy{Accounts: []AccountPolicy{{ID: "a"}}}, eightAcceleratorWorkers(12)...)
	b.submit(Job{ID: "slow", Account: "a", Accelerators: 8, Repeatable: true})
	for range 2 * b.s.policy.MaxAttempts {
		r := b.s.jobs["slow"].run
		b.Assert(r, qt.Not(qt.IsNil))
		at := b.s.nodes[r.held[0].node].Worker
		b.step(GangStarted{"slow", r.attempt})
		b.endAttempt("slow", StartFailed, at.ID)
		b.Assert(b.s.jobs["slow"], qt.Not(qt.IsNil))
		b.now = b.now.Add(2 * time.Minute)
		b.step(Tick{})
	}
}
