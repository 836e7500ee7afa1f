package routing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newRouter(ids ...routing.TargetID) *routing.Router {
	r := routing.New(routing.Options{})
	var ts []routing.Target
	for _, id := range ids {
		ts = append(ts, routing.Target{ID: id, Slots: slots, MaxInflight: maxInflight})
	}
	r.SetTargets(at(0), ts)
	return r
}

// runAttempt makes one attempt that takes a millisecond. It returns the target, or ""
// if there was none.
func runAttempt(r *routing.Router, now time.Duration, kind func(routing.TargetID) routing.OutcomeKind) routing.TargetID {
	ticket, refusal := r.Pick(at(now), routing.PickInfo{})
	if !refusal.OK() {
		return ""
	}
	o := routing.Outcome{Kind: kind(ticket.Target), Latency: time.Millisecond}
	r.Done(at(now+time.Millisecond), ticket, o)
	return ticket.Target
}

func alwaysAnswered(routing.TargetID) routing.OutcomeKind { return routing.Answered }

// Guards against new attempts at a target whose agent reported in a reply that it
// drains, even while the membership data does not say so yet.
func TestDrainingTargetGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a", "b")
	for runAttempt(r, 0, alwaysAnswered) != "a" {
	}
	ticket, _ := r.Pick(at(0), routing.PickInfo{Exclude: []routing.TargetID{"b"}})
	r.Done(at(1), ticket, routing.Outcome{Kind: routing.Answered, Load: routing.Load{Draining: true}})
	both := []routing.Target{{ID: "a", Slots: slots, MaxInflight: 64}, {ID: "b", Slots: slots, MaxInflight: 64}}
	r.SetTargets(at(2), both)
	for range 100 {
		c.Assert(runAttempt(r, 3, alwaysAnswered), qt.Equals, routing.TargetID("b"))
	}
	both[0].Incarnation++
	r.SetTargets(at(4), both)
	for runAttempt(r, 5, alwaysAnswered) != "a" {
	}
}

// Guards against requests that time out on a connection that vanished: after a failed
// probe the target gets only single trials, with exponential backoff.
func TestUnresponsiveTargetGetsOnlyRareTrials(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a", "b")
	r.ProbeFailed(at(0), "a")
	lost := func(id routing.TargetID) routing.OutcomeKind {
		if id == "a" {
			return routing.Unreachable
		}
		return routing.Answered
	}
	trials := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if runAttempt(r, now, lost) == "a" {
			trials++
		}
	}
	c.Assert(trials, qt.Equals, 5) // after 0.25, 0.5, 1, 2 and 4 more seconds
	r.ProbeSucceeded(at(10*time.Second), "a")
	chosen := false
	for range 20 {
		chosen = chosen || runAttempt(r, 10*time.Second, alwaysAnswered) == "a"
	}
	c.Assert(chosen, qt.IsTrue)
}

// Guards against an ejection of minutes caused by several attempts that were in
// flight when the target became unresponsive.
func TestLateOutcomesDoNotExtendEjection(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a")
	var tickets []routing.Ticket
	for range slots / 2 {
		ticket, _ := r.Pick(at(0), routing.PickInfo{})
		tickets = append(tickets, ticket)
	}
	r.ProbeFailed(at(time.Millisecond), "a")
	late := routing.DefaultBaseEjectionTime + time.Second
	for _, ticket := range tickets {
		r.Done(at(late), ticket, routing.Outcome{Kind: routing.Unreachable, Latency: late})
	}
	c.Assert(runAttempt(r, late, alwaysAnswered), qt.Equals, routing.TargetID("a"))
}

// Guards against many requests delayed by trials at once, when all targets of an
// availability zone become due for a trial together.
func TestConcurrentTrialsAreBounded(t *testing.T) {
	var ids []routing.TargetID
	for i := range 96 {
		ids = append(ids, targetID(i))
	}
	r := newRouter(ids...)
	for _, id := range ids[1:] {
		r.ProbeFailed(at(0), id)
	}
	trials := 0
	for range 200 {
		if ticket, _ := r.Pick(at(time.Second), routing.PickInfo{}); ticket.Trial {
			trials++
		}
	}
	qt.Assert(t, trials, qt.Equals, 4)
}

// Guards against retry amplification by a failing target. A long time without
// retries must not raise the budget above its burst.
func TestRetriesStayWithinBudget(t *testing.T) {
	r := newRouter("a")
	for range 100_000 {
		runAttempt(r, 0, alwaysAnswered)
	}
	retries := 0
	for range 1000 {
		runAttempt(r, 0, func(routing.TargetID) routing.OutcomeKind { return routing.Abandoned })
		for r.AllowRetry(at(0), "") {
			retries++
		}
	}
	qt.Assert(t, retries <= routing.DefaultRetryBurst+100, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// Guards against failed requests in a planned stop when the retry budget is used up:
// a request refused by a draining target must be allowed one more attempt.
func TestRefusalByDrainingTargetRefundsRetryBudget(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a", "b")
	for r.AllowRetry(at(0), "") {
	}
	for range 5 {
		ticket, _ := r.Pick(at(0), routing.PickInfo{Attempt: 1, Exclude: []routing.TargetID{"b"}})
		defer func() {
			r.Done(at(1), ticket, routing.Outcome{Kind: routing.Refused, Load: routing.Load{Draining: true}})
			c.Assert(r.AllowRetry(at(1), ""), qt.IsTrue)
			c.Assert(r.AllowRetry(at(1), ""), qt.IsFalse)
		}()
	}
}

// Guards against a target that fails quickly, looks idle and attracts all requests.
func TestFastFailingTargetIsEjected(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a", "b", "c")
	failures := 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		runAttempt(r, now, func(id routing.TargetID) routing.OutcomeKind {
			if id != "a" {
				return routing.Answered
			}
			failures++
			return routing.Failed
		})
	}
	c.Assert(failures < 40, qt.IsTrue, qt.Commentf("%d of 20000 attempts failed", failures))
}

// Guards against ejections caused by requests that fail at every target or have
// deadlines that no target can meet.
func TestRequestErrorsAndShortDeadlinesDoNotEject(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a", "b", "c")
	for i := range 20000 {
		runAttempt(r, time.Duration(i)*time.Millisecond, func(routing.TargetID) routing.OutcomeKind {
			return [...]routing.OutcomeKind{routing.Answered, routing.Failed}[i*7919%13%2]
		})
		ticket, refusal := r.Pick(at(time.Duration(i)*time.Millisecond), routing.PickInfo{Account: "impatient"})
		c.Assert(refusal.OK(), qt.IsTrue)
		r.Done(at(time.Duration(i)*time.Millisecond), ticket, routing.Outcome{Kind: routing.TimedOut, Latency: time.Microsecond})
		for _, s := range r.Stats().Targets {
			c.Assert(s.Ejected, qt.IsFalse)
			c.Assert(s.Window >= slots, qt.IsTrue)
		}
	}
}

// Guards against refused requests that are all retried at the same time: each
// must get a later time, at the rate at which the account is served.
func TestRetryAfterIsStaggered(t *testing.T) {
	c := qt.New(t)
	r := newRouter("a")
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		runAttempt(r, now, alwaysAnswered)
	}
	for refusal := (routing.Refusal{}); refusal.OK(); {
		_, refusal = r.Pick(at(10*time.Second), routing.PickInfo{})
	}
	previous := 20 * time.Millisecond
	for range 50 {
		_, refusal := r.Pick(at(10*time.Second), routing.PickInfo{})
		c.Assert(refusal.RetryAfter > previous+15*time.Millisecond, qt.IsTrue)
		previous = refusal.RetryAfter
	}
}
