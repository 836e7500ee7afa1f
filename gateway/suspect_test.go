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

// The planner's link is full and its answers take 400 ms. Five gateways deposed it, and each
// of its successors, although all lived. Once answers were seen to take that long, silence
// of a second is no sign of death, and of more than its lease always is.
func TestSlowPlannerIsNotTakenForDead(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	askFor(s, second, 2*second, 2*second)
	s.took(400 * ms)
	askFor(s, 2*second, 3*second, 0)
	c.Check(s.due(3*second, "own"), qt.IsFalse)
	s.took(3 * second)
	askFor(s, 3*second, 5*second, 0)
	c.Check(s.due(5*second, "own"), qt.IsTrue, qt.Commentf("its lease has lapsed"))
}

// Slow answers are forgotten while answers come at once, so that a death is found as fast as
// before.
func TestSlownessIsForgotten(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	s.took(400 * ms)
	for range 100 {
		s.took(3 * ms)
	}
	c.Check(s.patience("own"), qt.Equals, suspectAfter)
}

// 55 gateways ask whether the planner lives. Only its heirs ask often, and a gateway that
// asks seldom still finds its death, and was not itself held up between two questions.
func TestOthersAskSeldom(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	s.inherits([]string{"a", "b", "c"})
	asked := 0
	live := func(begin, end, until time.Duration) {
		for now := begin; now < end; now += aliveEvery {
			if s.wants(now, "own", "p", 1) {
				asked++
				s.ask(now, "p", 1)
				if now < until {
					s.answer("p", 1)
				}
			}
			if s.due(now, "own") {
				c.Check(now-until < 2*second, qt.IsTrue)
				return
			}
		}
		c.Check(until, qt.Equals, end, qt.Commentf("its death was not found"))
	}
	live(second, 4*second, 4*second)
	c.Check(asked <= int(3*second/othersEvery)+1, qt.IsTrue, qt.Commentf("%d questions in 3 s", asked))
	live(4*second, 9*second, 4*second)
}

// The planner dies and an heir takes the duty. A gateway that asks seldom has last asked the
// dead one, long ago; it must not depose the new one for that.
func TestNewPlannerIsNotBlamedForTheSilenceOfTheOldOne(t *testing.T) {
	c := qt.New(t)
	s := &suspicion{}
	s.inherits([]string{"a", "b", "c"})
	s.ask(second, "old", 1)
	s.answer("old", 1)
	now := second
	for ; now < 2*second; now += aliveEvery {
		if s.wants(now, "own", "old", 1) {
			s.ask(now, "old", 1)
		}
		s.due(now, "own")
	}
	c.Assert(s.wants(now, "own", "new", 2), qt.IsTrue)
	s.ask(now, "new", 2)
	c.Check(s.due(now, "own"), qt.IsFalse)
	c.Check(s.due(now+second, "own"), qt.IsFalse)
}
