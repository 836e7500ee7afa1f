package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
)

// A planner's process is frozen while a gang loses a member, and a successor that
// can't reach another one waits for it to stop. The predecessor goes on, and the first
// thing it does is to answer that member's report. What was whole before the freeze
// must not renew it.
func TestFrozenPlannerDoesNotRenew(t *testing.T) {
	c := qt.New(t)
	ids := []gang.ID{{Job: "j", Epoch: 1, Number: 1}}
	now := clock.Now()
	alive := aliveAttempts{byAgent: map[string][]gang.ID{"a": ids}, at: now}
	c.Assert(alive.forAgent("a", now.Add(2*housekeepingInterval)), qt.DeepEquals, ids)
	c.Assert(alive.forAgent("b", now), qt.HasLen, 0)
	c.Assert(alive.forAgent("a", now.Add(maxAliveAge+time.Millisecond)), qt.HasLen, 0)
}
