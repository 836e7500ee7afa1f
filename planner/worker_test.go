package planner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
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

// A successor that has already lost an agent takes over an attempt with a member there. It must not
// wait for that member without end.
func TestAttemptOnLostAgentEnds(t *testing.T) {
	b := newBench(t)
	b.document.Document.Gang.LossTimeout.Duration = 2 * time.Second
	agents := newFakeAgents("a", "b", "c")
	next := b.planner(2, agents)
	agents.report(next)
	const lost = "a"
	isUp := func() bool {
		up, ok := callOnLoop(context.Background(), next, func() bool { return next.workers[lost].up })
		return ok && up
	}
	b.eventually("the successor loses an agent", func() { agents.reportExcept(next, lost) }, func() bool { return !isUp() })

	old := b.planner(1, agents)
	b.accept("j", 24, true)
	b.eventually("the predecessor starts the gang", func() {
		agents.report(old)
		agents.reportExcept(next, lost)
	}, func() bool { return agents.startsOf("j") == 3 })
	agents.disconnect(lost)
	b.eventually("the successor queues the job again", func() { agents.report(next) }, func() bool {
		queued, ok := callOnLoop(context.Background(), next, func() bool {
			j := next.jobs["j"]
			return j != nil && j.stored.Epoch == 1 && j.coord == nil && j.phase == Queued
		})
		return ok && queued
	})
}
