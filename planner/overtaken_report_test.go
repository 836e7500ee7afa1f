package planner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// reportOf returns a report of an agent that is in contact now.
func reportOf(agent string, incarnation uint64) AgentReport {
	return AgentReport{
		Worker:      scheduler.Worker{ID: scheduler.WorkerID(agent), Zone: "z", Rack: "r", Accelerators: 8, Cores: 32, MemoryMB: 65536},
		Incarnation: incarnation,
		ReceivedAt:  clock.Now(),
	}
}

// isPresent reports whether a planner knows an agent and takes it for available.
func (b *bench) isPresent(p *Planner, agent string) bool {
	b.c.Helper()
	up, ok := callOnLoop(context.Background(), p, func() bool { return p.workers[agent] != nil && p.workers[agent].up })
	b.c.Assert(ok, qt.IsTrue)
	return up
}

// An agent restarts, and the reports of its new process overtake the departure notice of the old one.
// Taking the live agent for lost would start its jobs a second time.
func TestLateDepartureDoesNotEndNextIncarnation(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	p.HandleReport(reportOf("a", 1))
	p.HandleReport(reportOf("a", 2))
	p.HandleAgentLeft("a", 1)
	b.c.Check(b.isPresent(p, "a"), qt.IsTrue)
	p.HandleAgentLeft("a", 2)
	b.c.Check(b.isPresent(p, "a"), qt.IsFalse)
}

// A departure is final within an incarnation. A report that it overtook must not make the agent
// available again, or jobs would be placed on a process that has ended.
func TestReportAfterDepartureDoesNotReviveAgent(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	p.HandleReport(reportOf("known", 1))
	p.HandleAgentLeft("known", 1)
	p.HandleReport(reportOf("known", 1))
	b.c.Check(b.isPresent(p, "known"), qt.IsFalse)
	p.HandleReport(reportOf("known", 2))
	b.c.Check(b.isPresent(p, "known"), qt.IsTrue)

	p.HandleAgentLeft("unknown", 1)
	p.HandleReport(reportOf("unknown", 1))
	b.c.Check(b.isPresent(p, "unknown"), qt.IsFalse)
}

// An entry handles reports concurrently, so an older state of an agent may reach the planner after a
// newer one. It must not make a draining agent schedulable again, nor make a fenced one count as unfenced.
func TestOvertakenReportDoesNotUndoNewerState(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a")
	p := b.planner(1, agents)
	older, newer := reportOf("a", 1), reportOf("a", 1)
	older.Sequence = 4
	newer.Sequence, newer.Draining, newer.Fence = 5, true, 1
	p.HandleReport(newer)
	p.HandleReport(older)
	last, ok := callOnLoop(context.Background(), p, func() worker { return *p.workers["a"] })
	b.c.Assert(ok, qt.IsTrue)
	b.c.Check(last.lastReport.Draining, qt.IsTrue)
	b.c.Check(last.fencedAt.IsZero(), qt.IsFalse)

	b.accept("j", 8, true)
	b.eventually("the job is known", func() {}, func() bool {
		_, ok := p.Status(context.Background(), "j")
		return ok
	})
	time.Sleep(time.Second)
	b.c.Check(agents.startsOf("j"), qt.Equals, 0)
}

// Agents keep the timestamp of the latest planner. One with a lower epoch, as after the store was
// restored, must learn of it: it would get no evidence of any gang and let all of them stop.
func TestTimestampOfLaterPlannerEndsTerm(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	r := reportOf("a", 1)
	r.Timestamp = gang.InvalidTimestamp
	p.HandleReport(r)
	b.c.Check(b.isPresent(p, "a"), qt.IsTrue)
	r.Timestamp = gang.NewPlannerTimestamp(2, clock.Now())
	p.HandleReport(r)
	b.eventually("the term ends", func() {}, func() bool { return p.SupersedingEpoch() == 2 })
	<-p.Done()
}

// The state of an overtaken report is old, but its contact with the agent may be the latest. Ignoring
// that would bring the loss of a live agent forward.
func TestOvertakenReportCountsAsContact(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	newer, older := reportOf("a", 1), reportOf("a", 1)
	newer.Sequence, older.Sequence = 5, 4
	older.ReceivedAt = newer.ReceivedAt.Add(time.Second)
	p.HandleReport(newer)
	p.HandleReport(older)
	last, ok := callOnLoop(context.Background(), p, func() time.Time { return p.workers["a"].lastReport.ReceivedAt })
	b.c.Assert(ok, qt.IsTrue)
	b.c.Check(last, qt.Equals, older.ReceivedAt)
}
