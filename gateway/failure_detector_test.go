package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/link"
)

const ms = time.Millisecond

// simulateQueries sends a query every livenessInterval until end. The planner answers until
// aliveUntil.
func simulateQueries(d *failureDetector, begin, end, aliveUntil time.Duration) {
	for now := begin; now < end; now += livenessInterval {
		d.recordQuery(now, "p", 1)
		if now < aliveUntil {
			d.recordAnswer("p", 1)
		}
	}
}

// A failed planner is suspected within a second, but a single late answer is tolerated.
func TestUnresponsivePlannerIsSuspected(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	simulateQueries(d, second, 3*second, 3*second)
	c.Check(d.suspects(3*second, "own"), qt.IsFalse)
	simulateQueries(d, 3*second, 3*second+350*ms, 0)
	c.Check(d.suspects(3*second+350*ms, "own"), qt.IsFalse, qt.Commentf("a single late answer is tolerated"))
	simulateQueries(d, 3*second+350*ms, 3*second+900*ms, 0)
	c.Check(d.suspects(3*second+900*ms, "own"), qt.IsTrue)
}

// A gateway that was suspended must not blame the planner for the missing answers.
func TestSuspendedGatewayDoesNotSuspectPlanner(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	simulateQueries(d, second, 2*second, 2*second)
	d.recordQuery(2*second, "p", 1)
	d.recordQuery(7*second, "p", 1)
	c.Check(d.suspects(7*second, "own"), qt.IsFalse)
	simulateQueries(d, 7*second, 7*second+400*ms, 8*second)
	c.Check(d.suspects(7*second+400*ms, "own"), qt.IsFalse)
}

// A planner that has not answered under its epoch is still reading its records. Deposing it
// would only restart that.
func TestPlannerNotSuspectedBeforeFirstAnswer(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	simulateQueries(d, second, 4*second, 0)
	c.Check(d.suspects(4*second, "own"), qt.IsFalse)
	d.recordQuery(4*second, "p", 2)
	d.recordAnswer("p", 1)
	simulateQueries(d, 4*second, 6*second, 0)
	c.Check(d.suspects(6*second, "own"), qt.IsFalse, qt.Commentf("an answer under another epoch does not count"))
}

// A deposed planner that is alive grants until its lease expires. A successor that did not
// depose it itself must allow for that too.
func TestPredecessorExtensionCoversDeposedPlanner(t *testing.T) {
	g := &Gateway{peering: &peering{storeStatus: newStoreStatus(0)}}
	g.storeStatus.observePlanner(59*second, 6)
	qt.Assert(t, g.storeStatus.predecessorExtension(60*second, 6), qt.Equals, time.Duration(0))
	qt.Check(t, g.predecessorExtension(60*second, 7), qt.Equals, plannerLeaseTTL)
}

// On a saturated link the answers of a live planner are slow. Deposing it would move the load
// to the next planner, which would be deposed as well.
func TestSlowPlannerIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	simulateQueries(d, second, 2*second, 2*second)
	d.recordLatency(400 * ms)
	simulateQueries(d, 2*second, 3*second, 0)
	c.Check(d.suspects(3*second, "own"), qt.IsFalse)
	d.recordLatency(3 * second)
	simulateQueries(d, 3*second, 5*second, 0)
	c.Check(d.suspects(5*second, "own"), qt.IsTrue, qt.Commentf("its lease has expired"))
}

// The detection timeout returns to its minimum when answers are fast again.
func TestDetectionTimeoutRecoversAfterFastAnswers(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	d.recordLatency(400 * ms)
	for range 100 {
		d.recordLatency(3 * ms)
	}
	c.Check(d.timeout("own"), qt.Equals, minDetectionTimeout)
}

// Gateways that are not preferred successors query less often, yet still detect a failure and
// do not mistake the longer interval for a stall of their own.
func TestNonSuccessorsQueryLessOften(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	d.setSuccessors([]string{"a", "b", "c"})
	queries := 0
	simulate := func(begin, end, aliveUntil time.Duration) {
		for now := begin; now < end; now += livenessInterval {
			if d.shouldQuery(now, "own", "p", 1) {
				queries++
				d.recordQuery(now, "p", 1)
				if now < aliveUntil {
					d.recordAnswer("p", 1)
				}
			}
			if d.suspects(now, "own") {
				c.Check(now-aliveUntil < 2*second, qt.IsTrue)
				return
			}
		}
		c.Check(aliveUntil, qt.Equals, end, qt.Commentf("the failure was not detected"))
	}
	simulate(second, 4*second, 4*second)
	c.Check(queries <= int(3*second/slowLivenessInterval)+1, qt.IsTrue, qt.Commentf("%d queries in 3 s", queries))
	simulate(4*second, 9*second, 4*second)
}

// A gateway that last queried the failed planner long ago must not count the time since then
// against the new one.
func TestDetectorResetsForNewPlanner(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	d.setSuccessors([]string{"a", "b", "c"})
	d.recordQuery(second, "old", 1)
	d.recordAnswer("old", 1)
	now := second
	for ; now < 2*second; now += livenessInterval {
		if d.shouldQuery(now, "own", "old", 1) {
			d.recordQuery(now, "old", 1)
		}
		d.suspects(now, "own")
	}
	c.Assert(d.shouldQuery(now, "own", "new", 2), qt.IsTrue)
	d.recordQuery(now, "new", 2)
	c.Check(d.suspects(now, "own"), qt.IsFalse)
	c.Check(d.suspects(now+second, "own"), qt.IsFalse)
}

// The planner's replies to peer queries show that it is active, so most gateways need not query
// its liveness as well. When the replies end, its failure is still detected.
func TestPeerRepliesReplaceLivenessQueries(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	d.setSuccessors([]string{"a", "b", "c"})
	d.recordQuery(second, "p", 1) // a new planner is queried once
	queries := 0
	simulate := func(begin, end time.Duration, answers bool) (suspected bool) {
		for now := begin; now < end; now += livenessInterval {
			if d.suspects(now, "own") {
				return true
			}
			if answers && now%peerInterval < livenessInterval {
				d.recordPeerReply(now, "p", 1)
			}
			if d.shouldQuery(now, "own", "p", 1) {
				queries++
				d.recordQuery(now, "p", 1)
			}
		}
		return false
	}
	c.Check(simulate(second, 5*second, true), qt.IsFalse)
	c.Check(queries, qt.Equals, 0)
	c.Check(simulate(5*second, 7*second, false), qt.IsTrue)
	c.Check(queries > 0, qt.IsTrue)
}

// A gateway that replies but does not plan is no sign that the planner is active.
func TestReplyOfInactivePlannerIsNoSignOfLife(t *testing.T) {
	c := qt.New(t)
	d := &failureDetector{}
	simulateQueries(d, second, 2*second, 2*second)
	for now := 2 * second; now < 3*second; now += livenessInterval {
		d.recordQuery(now, "p", 1)
		d.recordPeerReply(now, "p", 0)
	}
	c.Check(d.suspects(3*second, "own"), qt.IsTrue)
}

// During an outage of the store every gateway suspects the planner. When the store is back, the
// preferred successors must go first.
func TestSuccessorsGoFirstAfterStoreOutage(t *testing.T) {
	c := qt.New(t)
	deposes := func(self string) time.Duration {
		d := &failureDetector{}
		d.setSuccessors([]string{"s0", "s1", "s2"})
		simulateQueries(d, second, 2*second, 2*second)
		simulateQueries(d, 2*second, 6*second, 0)
		const back = 6 * second
		d.recordUnserved(back)
		for now := back; ; now += 10 * ms {
			if d.suspects(now, self) {
				return now - back
			}
		}
	}
	c.Check(deposes("s0") < livenessInterval, qt.IsTrue)
	c.Check(deposes("s0") < deposes("s1"), qt.IsTrue)
	c.Check(deposes("s2") < deposes("other"), qt.IsTrue)
	c.Check(deposes("other") <= time.Second, qt.IsTrue)
}

// A planner that was deposed goes on naming successors for a while, and its reply may be handled late.
// Following it would let a gateway that the present planner did not choose depose that planner first.
func TestSuccessorsAreThoseOfLatestPlanner(t *testing.T) {
	c := qt.New(t)
	p := newPeering("self", nil, func() time.Duration { return second }, func() uint64 { return 0 })
	p.mergeReply("new", &link.PeerReply{Epoch: 5, Planner: "new", PlanningEpoch: 5, Successors: []string{"b"}}, second)
	p.mergeReply("old", &link.PeerReply{Epoch: 4, Planner: "old", PlanningEpoch: 4, Successors: []string{"c"}}, second)
	c.Check(p.failureDetector.namedSuccessors(), qt.DeepEquals, []string{"b"})
	p.mergeReply("new", &link.PeerReply{Epoch: 5, Planner: "new", PlanningEpoch: 5, Successors: []string{"d"}}, second)
	c.Check(p.failureDetector.namedSuccessors(), qt.DeepEquals, []string{"d"})
}
