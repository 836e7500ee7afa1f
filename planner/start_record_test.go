package planner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// A caller cancels a queued job and is told that it did not run. The planner has
// reserved its accelerators and learns of the cancellation from the watch just
// before it records the start. The record must stay as the caller was told; to
// write the start over it would succeed, and the job would run.
func TestStartIsNotRecordedOverCancellation(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	agents.unreachableFrom[1] = true // reservations wait
	b.accept("j", 8, true)
	b.eventually("the job is being started", report, func() bool {
		s, ok := p.Status(context.Background(), "j")
		return ok && s.Phase == Starting
	})
	done := make(chan error, 1)
	p.post(func() {
		got, err := b.jobs.Cancel(context.Background(), "dispatch", "j", time.Now())
		j := p.jobs["j"]
		p.handleRecordChange(got)
		p.recordStart(j, j.coord.Plan())
		done <- err
	})
	b.c.Assert(<-done, qt.IsNil)
	agents.mu.Lock()
	delete(agents.unreachableFrom, 1)
	agents.mu.Unlock()

	b.accept("next", 8, true)
	b.eventually("the next job has the accelerators", report, func() bool { return agents.startsOf("next") == 1 })
	b.c.Assert(b.state("j"), qt.Equals, jobs.Cancelled)
	b.c.Assert(agents.startsOf("j"), qt.Equals, 0)
}

// A wave of cancellations gives up many attempts at once. While the messages that
// end their holds are under way, the worker refuses the next attempts as busy. It
// is well, and must not be quarantined for it.
func TestRefusalsAfterAbortsAreNotFailures(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	b.eventually("the worker is known", func() { agents.report(p) }, func() bool { return p.Stats().Workers == 1 })
	done := make(chan struct{})
	p.post(func() {
		defer close(done)
		p.markMayHold([]gang.PlannedMember{{Agent: "a"}})
		for range 10 {
			e := gang.Ended{Outcome: gang.NotStarted, Cause: gang.CauseRefused, CauseAgent: "a"}
			b.c.Check(p.workerAtFault(e), qt.Equals, scheduler.WorkerID(""))
		}
		p.workers["a"].mayHoldUntil = time.Time{}
		b.c.Check(p.workerAtFault(gang.Ended{Cause: gang.CauseRefused, CauseAgent: "a"}), qt.Equals, scheduler.WorkerID("a"))
	})
	<-done
}
