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

// runAttempt makes one attempt that takes a millisecond.
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

// A worker is told to leave. Requests routed to it afterwards would be cut off
// by its stop. Its agent's reply says so before membership does, and membership
// that is behind must not undo it.
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

// A connection goes silent: something between the ends forgot it. Every request
// sent on it would wait for its deadline. Once probing found that, the target
// gets nothing, and then single trials, ever more rarely, until it answers.
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

// A connection goes silent with eight requests on it, and their ends come in
// long after the target was ejected. They tell nothing new: were each counted,
// the target would stay away for minutes after it has recovered.
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

// An availability zone returns: its targets all come due for a trial at once. If
// most are still gone, each trial holds a client's request up, so only few may
// be risked at a time.
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

// A target fails everything, after a quiet hour in which all went well. Clients
// and entry together would repeat each request several times; the budget holds
// the extra load to its burst and a tenth, and the hour earns nothing.
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
	qt.Assert(t, retries <= routing.DefaultRetryBurst+100, qt.IsTrue, qt.Commentf("%d", retries))
}

// A worker is stopped as planned while another fails and has used the retry
// budget up. Requests that reach the stopping one too late have not run; each
// must still be allowed its attempt elsewhere.
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

// One worker fails all that it starts, within a millisecond. It looks idle, so
// every client would get its errors.
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
	c.Assert(failures < 40, qt.IsTrue, qt.Commentf("%d of 20000", failures))
}

// A client sends requests that fail wherever they run, and another sends
// requests whose deadlines nobody could meet. Neither says anything about the
// targets; were these ejected, all other clients would be refused.
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

// A burst is refused. Were all told the same time, they would come back
// together and be refused together; each is told a later time, at the pace at
// which the account is served.
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
