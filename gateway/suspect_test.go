package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// simulateQueries asks every aliveEvery until end, and notes answers while the planner lives.
func simulateQueries(s *failureDetector, begin, end, livesUntil time.Duration) {
	for now := begin; now < end; now += livenessInterval {
		s.recordQuery(now, "p", 1)
		if now < livesUntil {
			s.recordAnswer("p", 1)
		}
	}
}

// The planner's machine loses power. It is taken for dead within a second, but not for a
// single answer that is late.
func TestUnresponsivePlannerIsSuspected(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	simulateQueries(s, second, 3*second, 3*second)
	c.Check(s.suspects(3*second, "own"), qt.IsFalse)
	simulateQueries(s, 3*second, 3*second+350*ms, 0)
	c.Check(s.suspects(3*second+350*ms, "own"), qt.IsFalse, qt.Commentf("it may be held up"))
	simulateQueries(s, 3*second+350*ms, 3*second+900*ms, 0)
	c.Check(s.suspects(3*second+900*ms, "own"), qt.IsTrue)
}

// A gateway is suspended for five seconds. That it has heard nothing of the planner says
// nothing of the planner.
func TestSuspendedGatewayDoesNotSuspectPlanner(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	simulateQueries(s, second, 2*second, 2*second)
	s.recordQuery(2*second, "p", 1)
	s.recordQuery(7*second, "p", 1)
	c.Check(s.suspects(7*second, "own"), qt.IsFalse)
	simulateQueries(s, 7*second, 7*second+400*ms, 8*second)
	c.Check(s.suspects(7*second+400*ms, "own"), qt.IsFalse)
}

// A planner that has not answered under its epoch yet reads its records. To depose it
// would only begin that again.
func TestPlannerNotSuspectedBeforeFirstAnswer(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	simulateQueries(s, second, 4*second, 0)
	c.Check(s.suspects(4*second, "own"), qt.IsFalse)
	s.recordQuery(4*second, "p", 2)
	s.recordAnswer("p", 1)
	simulateQueries(s, 4*second, 6*second, 0)
	c.Check(s.suspects(6*second, "own"), qt.IsFalse, qt.Commentf("an answer under another epoch is none"))
}

// A planner is deposed by one gateway, lives, and grants until its lease has lapsed. The
// duty goes to another gateway, which has only seen that it was vacant, and has to count
// those grants all the same for workers that it can't reach.
func TestPredecessorExtensionCoversDeposedPlanner(t *testing.T) {
	g := &Gateway{storeStatus: newStoreStatus(0)}
	g.storeStatus.observePeer(59*second, "planner", true, true)
	qt.Assert(t, g.storeStatus.predecessorExtension(60*second), qt.Equals, time.Duration(0))
	qt.Check(t, g.predecessorExtension(60*second), qt.Equals, plannerLeaseTTL)
}

// The planner's link is full and its answers take 400 ms. Five gateways deposed it, and each
// of its successors, although all lived. Once answers were seen to take that long, silence
// of a second is no sign of death, and of more than its lease always is.
func TestSlowPlannerIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	simulateQueries(s, second, 2*second, 2*second)
	s.recordLatency(400 * ms)
	simulateQueries(s, 2*second, 3*second, 0)
	c.Check(s.suspects(3*second, "own"), qt.IsFalse)
	s.recordLatency(3 * second)
	simulateQueries(s, 3*second, 5*second, 0)
	c.Check(s.suspects(5*second, "own"), qt.IsTrue, qt.Commentf("its lease has lapsed"))
}

// Slow answers are forgotten while answers come at once, so that a death is found as fast as
// before.
func TestDetectionTimeoutRecoversAfterFastAnswers(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	s.recordLatency(400 * ms)
	for range 100 {
		s.recordLatency(3 * ms)
	}
	c.Check(s.timeout("own"), qt.Equals, minDetectionTimeout)
}

// 55 gateways ask whether the planner lives. Only its heirs ask often, and a gateway that
// asks seldom still finds its death, and was not itself held up between two questions.
func TestNonSuccessorsQueryLessOften(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	s.setSuccessors([]string{"a", "b", "c"})
	asked := 0
	live := func(begin, end, until time.Duration) {
		for now := begin; now < end; now += livenessInterval {
			if s.shouldQuery(now, "own", "p", 1) {
				asked++
				s.recordQuery(now, "p", 1)
				if now < until {
					s.recordAnswer("p", 1)
				}
			}
			if s.suspects(now, "own") {
				c.Check(now-until < 2*second, qt.IsTrue)
				return
			}
		}
		c.Check(until, qt.Equals, end, qt.Commentf("its death was not found"))
	}
	live(second, 4*second, 4*second)
	c.Check(asked <= int(3*second/slowLivenessInterval)+1, qt.IsTrue, qt.Commentf("%d questions in 3 s", asked))
	live(4*second, 9*second, 4*second)
}

// The planner dies and an heir takes the duty. A gateway that asks seldom has last asked the
// dead one, long ago; it must not depose the new one for that.
func TestDetectorResetsForNewPlanner(t *testing.T) {
	c := qt.New(t)
	s := &failureDetector{}
	s.setSuccessors([]string{"a", "b", "c"})
	s.recordQuery(second, "old", 1)
	s.recordAnswer("old", 1)
	now := second
	for ; now < 2*second; now += livenessInterval {
		if s.shouldQuery(now, "own", "old", 1) {
			s.recordQuery(now, "old", 1)
		}
		s.suspects(now, "own")
	}
	c.Assert(s.shouldQuery(now, "own", "new", 2), qt.IsTrue)
	s.recordQuery(now, "new", 2)
	c.Check(s.suspects(now, "own"), qt.IsFalse)
	c.Check(s.suspects(now+second, "own"), qt.IsFalse)
}
