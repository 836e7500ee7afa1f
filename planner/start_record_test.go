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

// Writing a start over a cancellation that the watch has delivered would run a
// job whose caller was told that it did not run.
func TestStartIsNotRecordedOverCancellation(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	agents.unreachableFrom[1] = true // delays the reservations
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

// A worker must not be quarantined for refusing attempts while messages that
// release earlier reservations are still under way.
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
