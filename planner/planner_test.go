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

// allWorkers provide enough accelerators for the guarantees of the sample
// document. With fewer, a job that is not repeatable may rightly wait forever.
var allWorkers = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// A job must start on two workers at once, and its end must be recorded.
func TestGangStartsAndEnds(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	b.accept("j", 16, true)
	report := func() { agents.report(p) }
	b.eventually("both members started", report, func() bool { return agents.startsOf("j") == 2 })
	b.c.Assert(b.state("j"), qt.Equals, jobs.Starting)
	agents.finish()
	b.eventually("the end is recorded", report, func() bool { return b.state("j") == jobs.Done })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 2)
}

// A job cancelled while its accelerators are being reserved must not run, and
// they must become free for the next job.
func TestCancelDuringReservationPreventsStart(t *testing.T) {
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

// A planner that has lost its leadership and its successor must together start
// a job once, although both write job records.
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

// A predecessor records a start while the successor reserves accelerators for the same job, and the
// workers that run it refuse the successor. It must resolve that start and not write over it.
func TestStartRecordedDuringRefusedReservationIsTakenOver(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		b := newBench(t)
		agents := newFakeAgents(allWorkers...)
		agents.unreachableFrom[2] = true // delays the successor's reservations
		next := b.planner(2, agents)
		b.accept("j", 16, repeatable)
		b.eventually("the successor reserves", func() { agents.report(next) }, func() bool {
			s, ok := next.Status(context.Background(), "j")
			return ok && s.Phase == Starting
		})
		reserved, _ := callOnLoop(context.Background(), next, func() string {
			return next.jobs["j"].coord.Plan().Members[0].Agent
		})
		old := b.planner(1, agents)
		report := func() {
			agents.report(old)
			agents.report(next)
		}
		b.eventually("the predecessor starts the gang", report, func() bool { return agents.startsOf("j") == 2 })
		b.eventually("the successor has seen its record", report, func() bool {
			epoch, ok := callOnLoop(context.Background(), next, func() uint64 { return next.jobs["j"].stored.Epoch })
			return ok && epoch == 1
		})
		agents.drain(reserved)
		agents.reach(2)
		b.eventually("the reservation is refused", report, func() bool {
			return next.cfg.Metrics.Snapshot().Counters["reservations_refused"] > 0
		})
		b.eventually("the job ended", func() {
			agents.finish()
			report()
		}, func() bool { return b.state("j").Ended() })
		b.c.Check(b.state("j"), qt.Equals, jobs.Done)
		b.c.Check(agents.startsOf("j"), qt.Equals, 2)
	}
}

// A successor must take over a running gang from its record and the agents'
// reports, neither starting it again nor losing its end.
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
	b.eventually("its end is recorded", report, func() bool { return b.state("j") == jobs.Done })
	b.eventually("the waiting job starts", report, func() bool { return agents.startsOf("waits") == 2 })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 2)
}

// A task left on an agent that was lost must be stopped when the agent returns,
// although the record still names its attempt.
func TestOrphanIsStoppedAfterRefusal(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("j", 8, true)
	b.eventually("the job runs", report, func() bool { return agents.startsOf("j") == 1 })
	disconnected := agents.disconnect("a")
	draining := newFakeAgents("b").disconnect("b")
	draining.Step(clock.Now(), gang.Drain{})
	agents.connect("b", draining)
	b.lose(p, "a")
	b.eventually("the other worker refused the job", report, func() bool {
		return p.cfg.Metrics.Snapshot().Counters["reservations_refused"] > 0
	})
	agents.connect("a", disconnected)
	b.eventually("the orphan is stopped and the job starts again", report, func() bool {
		return agents.startsOf("j") == 2
	})
}

// The end of a gang while the store is unavailable must be recorded once the
// store is available again.
func TestEndIsWrittenAfterOutage(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("j", 8, false)
	b.eventually("the job runs", report, func() bool { return agents.startsOf("j") == 1 })
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	agents.finish()
	b.eventually("the planner knows that the job has ended", report, func() bool {
		s, ok := p.Status(context.Background(), "j")
		return ok && len(s.Members) == 0
	})
	b.server.SetFaults(standin.Faults{LoseReplies: 1})
	b.eventually("the end is recorded", report, func() bool { return b.state("j") == jobs.Done })
	b.c.Assert(agents.startsOf("j"), qt.Equals, 1)
}

// Jobs that exceed the service's queue limit must be rejected at once, without
// affecting those accepted before.
func TestQueueLimitRejectsSurplus(t *testing.T) {
	b := newBench(t)
	b.document.Document.Admission.MaxJobs = 2
	p := b.planner(1, newFakeAgents())
	b.eventually("the records are loaded", func() {}, func() bool { return p.areRecordsLoaded() })
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

// A planner whose epoch is below one that agents know must report that epoch,
// or no later term gets a higher one and nothing starts.
func TestSupersedingEpochIsReported(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	agents.step("a", gang.Received{Message: gang.Seal{Header: gang.Header{ID: gang.ID{Job: "x", Epoch: 9}, Sender: 9, Incarnation: 1}}})
	p := b.planner(3, agents)
	agents.report(p)
	<-p.Done()
	b.c.Assert(p.SupersedingEpoch(), qt.Equals, uint64(9))
}

// The record of a start that a delayed watch delivers after the job has ended
// must not be taken for an attempt of another planner.
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
	b.eventually("the job runs", report, func() bool { return agents.startsOf("j") == 1 })
	agents.finish()
	b.eventually("the planner has forgotten the job", report, func() bool {
		s, ok := p.Status(context.Background(), "j")
		return ok && s.Phase == "" && s.Record.State == jobs.Done
	})
	b.accept("next", 8, true) // delivered after the delayed events, when the watch is replaced
	b.eventually("the next job runs", report, func() bool { return agents.startsOf("next") == 1 })
	s, _ := p.Status(context.Background(), "j")
	b.c.Assert(s.Phase, qt.Equals, Phase(""))
}
