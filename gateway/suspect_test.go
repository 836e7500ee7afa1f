package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// askFor asks every aliveEvery until end, and notes answers while the planner lives.
func askFor(s *suspicion, begin, end, livesUntil time.Duration) {
	for now := begin; now < end; now += aliveEvery {
		s.ask(now, "p", 1)
		if now < livesUntil {
			s.answer("p", 1)
		}
	}
}

// The planner's machine loses power. It is taken for dead within a second, but not for a
// single answer that is late.
func TestSilentPlannerIsTakenForDead(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	askFor(s, second, 3*second, 3*second)
	c.Check(s.due(3*second, "own"), qt.IsFalse)
	askFor(s, 3*second, 3*second+350*ms, 0)
	c.Check(s.due(3*second+350*ms, "own"), qt.IsFalse, qt.Commentf("it may be held up"))
	askFor(s, 3*second+350*ms, 3*second+900*ms, 0)
	c.Check(s.due(3*second+900*ms, "own"), qt.IsTrue)
}

// A gateway is suspended for five seconds. That it has heard nothing of the planner says
// nothing of the planner.
func TestSuspendedGatewaySuspectsNobody(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	askFor(s, second, 2*second, 2*second)
	s.ask(2*second, "p", 1)
	s.ask(7*second, "p", 1)
	c.Check(s.due(7*second, "own"), qt.IsFalse)
	askFor(s, 7*second, 7*second+400*ms, 8*second)
	c.Check(s.due(7*second+400*ms, "own"), qt.IsFalse)
}

// A planner that has not answered under its epoch yet reads its records. To depose it
// would only begin that again.
func TestNewPlannerIsGivenItsTime(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	askFor(s, second, 4*second, 0)
	c.Check(s.due(4*second, "own"), qt.IsFalse)
	s.ask(4*second, "p", 2)
	s.answer("p", 1)
	askFor(s, 4*second, 6*second, 0)
	c.Check(s.due(6*second, "own"), qt.IsFalse, qt.Commentf("an answer under another epoch is none"))
}

// A planner is deposed by one gateway, lives, and grants until its lease has lapsed. The
// duty goes to another gateway, which has only seen that it was vacant, and has to count
// those grants all the same for workers that it can't reach.
func TestSuccessorCountsWhatADeposedPlannerMayGrant(t *testing.T) {
	g := &Gateway{outage: newOutage(0)}
	g.outage.heard(59*second, "planner", true, true)
	qt.Assert(t, g.outage.inherited(60*second), qt.Equals, time.Duration(0))
	qt.Check(t, g.inherited(60*second), qt.Equals, dutyTTL)
}
