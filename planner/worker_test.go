package planner

import (
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
