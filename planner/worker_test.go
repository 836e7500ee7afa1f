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

// A planner process that was frozen must not renew members from what it knew
// before, because a successor may already be waiting for them to stop.
func TestFrozenPlannerDoesNotRenew(t *testing.T) {
	c := qt.New(t)
	ids := []gang.ID{{Job: "j", Epoch: 1, Number: 1}}
	now := clock.Now()
	alive := aliveAttempts{byAgent: map[string][]gang.ID{"a": ids}, at: now}
	c.Assert(alive.forAgent("a", now.Add(2*housekeepingInterval)), qt.DeepEquals, ids)
	c.Assert(alive.forAgent("b", now), qt.HasLen, 0)
	c.Assert(alive.forAgent("a", now.Add(maxAliveAge+time.Millisecond)), qt.HasLen, 0)
}

// isUp reports whether a planner takes an agent that it knows for available.
func (b *bench) isUp(p *Planner, agent string) bool {
	b.c.Helper()
	up, ok := callOnLoop(context.Background(), p, func() bool { return p.workers[agent].up })
	b.c.Assert(ok, qt.IsTrue)
	return up
}

// lose makes a planner take an agent for lost, as after the loss timeout.
func (b *bench) lose(p *Planner, agent string) {
	b.c.Helper()
	_, ok := callOnLoop(context.Background(), p, func() bool {
		p.handleAgentLost(agent, p.workers[agent])
		return true
	})
	b.c.Assert(ok, qt.IsTrue)
}

// A successor that has already lost an agent takes over an attempt with a member there. It must not
// wait for that member without end.
func TestAttemptOnLostAgentEnds(t *testing.T) {
	b := newBench(t)
	b.document.Document.Gang.LossTimeout.Duration = 2 * time.Second
	agents := newFakeAgents("a", "b", "c")
	agents.unreachableFrom[2] = true // until the predecessor has started the gang
	next := b.planner(2, agents)
	agents.report(next)
	const lost = "a"
	b.eventually("the successor loses an agent", func() { agents.reportExcept(next, lost) }, func() bool { return !b.isUp(next, lost) })

	old := b.planner(1, agents)
	b.accept("j", 24, true)
	b.eventually("the predecessor starts the gang", func() {
		agents.report(old)
		agents.reportExcept(next, lost)
	}, func() bool { return agents.startsOf("j") == 3 })
	agents.disconnect(lost)
	agents.reach(2)
	b.eventually("the successor queues the job again", func() { agents.report(next) }, func() bool {
		queued, ok := callOnLoop(context.Background(), next, func() bool {
			j := next.jobs["j"]
			return j != nil && j.stored.Epoch == 1 && j.coord == nil && j.phase == Queued
		})
		return ok && queued
	})
}

// A report may be relayed or replayed long after the contact with its agent. It must not make a lost
// agent available again, or jobs would be placed on a dead worker.
func TestOldReportDoesNotReviveLostAgent(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a", "b")
	p := b.planner(1, agents)
	lossTimeout := b.document.Document.Gang.LossTimeout.Duration
	agents.report(p)
	report, ok := callOnLoop(context.Background(), p, func() AgentReport { return p.workers["a"].lastReport })
	b.c.Assert(ok, qt.IsTrue)
	b.lose(p, "a")
	report.ReceivedAt = clock.Now().Add(-lossTimeout - time.Second)
	p.HandleReport(report)
	b.c.Check(b.isUp(p, "a"), qt.IsFalse)
	report.ReceivedAt = clock.Now()
	p.HandleReport(report)
	b.c.Check(b.isUp(p, "a"), qt.IsTrue)
}

// Reports can overtake each other. An older contact must not bring the loss of an agent forward.
func TestOlderReportKeepsLastContact(t *testing.T) {
	b := newBench(t)
	p := b.planner(1, newFakeAgents())
	now := clock.Now()
	r := AgentReport{Worker: scheduler.Worker{ID: "a", Zone: "z", Rack: "r", Accelerators: 8}, Incarnation: 1, ReceivedAt: now}
	p.HandleReport(r)
	r.ReceivedAt = now.Add(-time.Second)
	p.HandleReport(r)
	last, ok := callOnLoop(context.Background(), p, func() time.Time { return p.workers["a"].lastReport.ReceivedAt })
	b.c.Assert(ok, qt.IsTrue)
	b.c.Check(last, qt.Equals, now)
}

// A planner that takes over while an agent is dead must not place work there: each new planner would
// spend its jobs' attempts on the dead worker for a loss timeout.
func TestSuccessorPlacesNothingOnSilentAgent(t *testing.T) {
	b := newBench(t)
	agents := newFakeAgents("a", "b")
	p := b.planner(2, agents)
	silent := AgentReport{
		Worker: scheduler.Worker{ID: "dead", Zone: "z", Rack: "r", Accelerators: 8, Cores: 32, MemoryMB: 65536}, Incarnation: 1,
		ReceivedAt: clock.Now().Add(-b.document.Document.Gang.LossTimeout.Duration - time.Second),
	}
	p.HandleReport(silent)
	agents.report(p)
	b.accept("j", 24, true)
	b.eventually("the job is known", func() {}, func() bool {
		_, ok := p.Status(context.Background(), "j")
		return ok
	})
	time.Sleep(time.Second)
	attempts, ok := callOnLoop(context.Background(), p, func() uint64 { return p.lastAttemptNumber })
	b.c.Assert(ok, qt.IsTrue)
	b.c.Check(attempts, qt.Equals, uint64(0))
}
