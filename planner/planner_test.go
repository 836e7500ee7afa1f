package planner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// allWorkers hold the guarantees of the sample document: with fewer, a job that
// must not run twice may rightly wait for ever.
var allWorkers = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// A job is accepted, starts on two workers at once, and its end is on record.
func TestGangStartsAndEnds(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	b.accept("j", 16, true)
	report := func() { agents.report(p) }
	b.eventually("both members started", report, func() bool { return agents.startsOf("j") == 2 })
	b.c.Assert(b.state("j"), qt.Equals, jobs.Starting)
	agents.finish()
	b.eventually("the end on record", report, func() bool { return b.state("j") == jobs.Done })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 2)
}

// A caller cancels a job in the moment in which it is being started, and is told
// "cancelled before it started". The planner had reserved the accelerators by
// then, and its record of the start comes after the cancellation's. The job must
// not run, and its accelerators must come free for the next one.
func TestCancelDuringReservationPreventsStart(t *testing.T) {
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
	got, err := b.jobs.Cancel(context.Background(), "dispatch", "j", time.Now())
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(got.State, qt.Equals, jobs.Cancelled)
	agents.mu.Lock()
	delete(agents.unreachableFrom, 1)
	agents.mu.Unlock()

	b.accept("next", 8, true)
	b.eventually("the next job has the accelerators", report, func() bool { return agents.startsOf("next") == 1 })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 0)
	b.c.Assert(b.state("j"), qt.Equals, jobs.Cancelled)
}

// An operator sees one job run twice: its planner is cut from the store's duty
// but not from the job records, and goes on while a successor already plans. The
// predecessor may start the job or the successor may, but not both; and the job
// ends once.
func TestPredecessorAndSuccessorStartOnce(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		b := newBench(t)
		agents := newFakeAgents(allWorkers...)
		old, next := b.planner(1, agents), b.planner(2, agents)
		report := func() {
			agents.report(old)
			agents.report(next)
		}
		b.accept("j", 16, repeatable)
		b.eventually("the gang runs", report, func() bool { return agents.startsOf("j") == 2 })
		b.eventually("the job ended", func() {
			agents.finish()
			report()
		}, func() bool { return b.state("j").Ended() })
		b.c.Assert(b.state("j"), qt.Equals, jobs.Done)
		b.c.Assert(agents.startsOf("j"), qt.Equals, 2)
	}
}

// The planner's entry dies while a gang runs and another job waits. The successor
// finds the attempt in the job's record, sees with the agents that it runs, and
// takes it over: it is not started again, and its end is not lost.
func TestSuccessorAdoptsRunningGang(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	first := b.planner(1, agents)
	b.accept("j", 16, false)
	b.eventually("the gang runs", func() { agents.report(first) }, func() bool { return agents.startsOf("j") == 2 })
	first.Stop()
	b.accept("waits", 16, true)

	second := b.planner(2, agents)
	report := func() { agents.report(second) }
	b.eventually("the running gang is known", report, func() bool {
		s, ok := second.Status(context.Background(), "j")
		return ok && s.Phase == Running
	})
	agents.finish()
	b.eventually("its end is on record", report, func() bool { return b.state("j") == jobs.Done })
	b.eventually("the waiting job starts", report, func() bool { return agents.startsOf("waits") == 2 })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 2)
}

// An agent is cut off for longer than the loss timeout while a job of one worker runs
// there. The job's next attempt finds no room elsewhere and is given up before its
// start is on record, so the record still names the lost one. When the agent is back
// the leftover has to be stopped. Taken for the job's own attempt it would hold its
// accelerators to its end, the job would wait for them, and its result be dropped.
func TestOrphanIsStoppedAfterRefusal(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("j", 8, true)
	b.eventually("it runs", report, func() bool { return agents.startsOf("j") == 1 })
	disconnected := agents.disconnect("a")
	draining := newFakeAgents("b").disconnect("b")
	draining.Step(clock.Now(), gang.Drain{})
	agents.connect("b", draining)
	p.HandleAgentLeft("a")
	b.eventually("no room elsewhere", report, func() bool {
		return p.cfg.Metrics.Snapshot().Counters["reservations_refused"] > 0
	})
	agents.connect("a", disconnected)
	b.eventually("the leftover is stopped and the job starts again", report, func() bool {
		return agents.startsOf("j") == 2
	})
}

// The platform's store is out when a gang ends. The caller must not be told that
// the job still runs for ever: the end is written when the store is back, once.
func TestEndIsWrittenAfterOutage(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("j", 8, false)
	b.eventually("it runs", report, func() bool { return agents.startsOf("j") == 1 })
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	agents.finish()
	b.eventually("the planner knows the end", report, func() bool {
		s, ok := p.Status(context.Background(), "j")
		return ok && len(s.Members) == 0
	})
	b.server.SetFaults(standin.Faults{LoseReplies: 1})
	b.eventually("the end is on record", report, func() bool { return b.state("j") == jobs.Done })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 1)
}

// Callers fill the service's queue beyond what the document allows: the surplus
// is rejected at once with the reason, and what was accepted before stays.
func TestQueueLimitRejectsSurplus(t *testing.T) {
	b := newBench(t)
	b.document.Document.Admission.MaxJobs = 2
	p := b.planner(1, newFakeAgents())
	b.eventually("records read", func() {}, func() bool { return p.areRecordsLoaded() })
	for _, id := range []string{"1", "2", "3"} {
		b.accept(id, 8, true)
	}
	b.eventually("the third is rejected", func() {}, func() bool { return b.state("3") == jobs.Rejected })
	b.c.Assert(b.state("1"), qt.Equals, jobs.Queued)
}

func (p *Planner) areRecordsLoaded() bool {
	known := make(chan bool, 1)
	p.post(func() { known <- p.recordsLoaded })
	return <-known
}

// The store was restored from a backup and gives the duty an epoch that agents
// have already seen surpassed. The planner must say by which epoch, so that the
// duty can go on above it; otherwise nothing is ever started again.
func TestSupersedingEpochIsReported(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	agents.step("a", gang.Received{Message: gang.Seal{Header: gang.Header{ID: gang.ID{Job: "x", Epoch: 9}, Sender: 9, Incarnation: 1}}})
	p := b.planner(3, agents)
	agents.report(p)
	<-p.Done()
	b.c.Assert(p.SupersedingEpoch(), qt.Equals, uint64(9))
}

// The watch of the job records falls behind while a job starts and ends. When it
// catches up it brings the record of the start, after the planner has seen the
// end written and forgotten the job. An operator sees the job 'stopping' for ever
// and its accelerators held, because the planner takes it for an attempt of
// another planner.
func TestDelayedWatchDoesNotReviveEndedJob(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	agents.unreachableFrom[1] = true
	b.accept("j", 8, true)
	b.eventually("the job is being started", report, func() bool {
		s, ok := p.Status(context.Background(), "j")
		return ok && s.Phase == Starting
	})
	b.server.SetFaults(standin.Faults{FreezeWatches: true})
	agents.mu.Lock()
	delete(agents.unreachableFrom, 1)
	agents.mu.Unlock()
	b.eventually("it runs", report, func() bool { return agents.startsOf("j") == 1 })
	agents.finish()
	b.eventually("the planner has forgotten it", report, func() bool {
		s, ok := p.Status(context.Background(), "j")
		return ok && s.Phase == "" && s.Record.State == jobs.Done
	})
	b.accept("next", 8, true) // behind the late events, when the watch is replaced
	b.eventually("the next job runs", report, func() bool { return agents.startsOf("next") == 1 })
	s, _ := p.Status(context.Background(), "j")
	b.c.Assert(s.Phase, qt.Equals, Phase(""))
}
