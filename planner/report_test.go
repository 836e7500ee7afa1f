package planner

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/store/standin"
)

// Explain must distinguish a job that is placed, one that does not fit, and
// one that is not known.
func TestExplainReportsStages(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	agents.unreachableFrom[1] = true // delays the reservations
	report := func() { agents.report(p) }
	b.accept("placed", 8, true)
	b.eventually("the job is placed", report, func() bool {
		w, known, answered := p.Explain(context.Background(), "placed")
		return known && answered && w.Stage == StageStarting && w.Phase == Starting
	})
	b.accept("large", 64, true)
	b.eventually("the scheduler explains the wait", report, func() bool {
		w, _, _ := p.Explain(context.Background(), "large")
		return w.Stage == StageQueued && w.Explanation.Reason != scheduler.WaitNone && w.Explanation.Accelerators == 64
	})
	_, known, answered := p.Explain(context.Background(), "nobody")
	b.c.Assert(known, qt.IsFalse)
	b.c.Assert(answered, qt.IsTrue)
}

// Callers must share one report per maxReportAge, and get none after the end
// of the term.
func TestReportIsCachedUntilTermEnds(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	var last Report
	b.eventually("all records are loaded", func() { agents.report(p) }, func() bool {
		r, ok := p.Report(context.Background())
		last = r
		return ok && r.RecordsLoaded && len(r.Accounts) == 4
	})
	again, ok := p.Report(context.Background())
	b.c.Assert(ok, qt.IsTrue)
	if again.TakenAt.Sub(last.TakenAt) < maxReportAge {
		b.c.Assert(again.TakenAt, qt.Equals, last.TakenAt)
	}
	p.Stop()
	p.reportCache.takenAt = p.reportCache.takenAt.Add(-2 * maxReportAge)
	_, ok = p.Report(context.Background())
	b.c.Assert(ok, qt.IsFalse)
}

// A query must end with its context even if the planner's queue is full.
func TestQueriesToBusyPlannerHonorContext(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	blocked, release := make(chan struct{}), make(chan struct{})
	p.post(func() { close(blocked); <-release })
	<-blocked
	for full := false; !full; {
		select {
		case p.work <- func() {}:
		default:
			full = true
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, known := p.Status(ctx, "j")
	b.c.Check(known, qt.IsFalse)
	_, ok := p.Report(ctx)
	b.c.Check(ok, qt.IsFalse)
	close(release)
}

// While the store is unavailable, a job without a permit must be explained and
// counted as waiting for it, and be queued again afterwards.
func TestWithheldJobsWaitForStore(t *testing.T) {
	b := newBench(t)
	for i := range b.document.Document.Accounts {
		b.document.Document.Accounts[i].Guaranteed = nil // a guarantee would make one of the jobs impossible
	}
	agents := newFakeAgents(allWorkers...)
	p := b.planner(1, agents)
	report := func() { agents.report(p) }
	b.accept("runs", largeJob, true)
	b.eventually("the first job runs", report, func() bool { return agents.largeJobRuns("runs") })
	b.acceptLongWaiting("once", 24, false)
	b.acceptLongWaiting("waits", largeJob, true)
	b.eventually("one job has a permit", report, func() bool { return b.hasPermit("waits") })
	stage := func(id string) Stage {
		w, _, _ := p.Explain(context.Background(), id)
		return w.Stage
	}
	b.server.SetFaults(standin.Faults{Down: standin.DownRefuse})
	agents.finish()
	b.eventually("the job without a permit waits for the store", report, func() bool { return stage("once") == StageStoreUnavailable })
	b.eventually("the job is counted", report, func() bool {
		r, ok := p.Report(context.Background())
		return ok && r.StoreUnavailable && r.Withheld["harbourline"]["risk-scoring"] == 1
	})
	b.server.SetFaults(standin.Faults{})
	b.eventually("the job is queued again", report, func() bool { return stage("once") != StageStoreUnavailable })
}
