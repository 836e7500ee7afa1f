package planner

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
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
