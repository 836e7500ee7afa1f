package gang

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resolving is a successor's coordinator whose predecessor has started a and not b. Its first round of
// Seals has timed out because b did not answer in time; a has, and its answer to the last Seal of that
// round is late.
type resolving struct {
	*qt.C
	co        *Coordinator
	a, b      *Member
	lateReply Reply
	lateSent  time.Time // when the Seal of the late reply was sent
	now       time.Time // when the second round began
}

func newResolving(t *testing.T) *resolving {
	started := t0.Add(-8500 * time.Millisecond) // a stops by isolation 6.5 s after t0
	cl := newCluster("a", "b")
	old := NewCoordinator(testConfig(1), testPlan("a", "b"))
	cl.step(old, started, Begin{})
	for _, name := range []string{"a", "b"} {
		exchange(cl.members[name], started, Commit{testHeader(1, 1)})
	}
	r := &resolving{C: qt.New(t), co: ResumeCoordinator(testConfig(2), testPlan("a", "b")), a: cl.members["a"], b: cl.members["b"]}
	exchange(r.a, started, Start{testHeader(1, 1)})
	r.co.Step(t0, Begin{})
	r.lateSent = t0.Add(5 * time.Second)
	r.reply("a", r.lateSent, exchange(r.a, r.lateSent, Seal{testHeader(2, 1)}), t0.Add(4*time.Second))
	r.lateReply = exchange(r.a, r.lateSent, Seal{testHeader(2, 1)})
	r.now = t0.Add(testConfig(2).startTimeout())
	r.reply("b", r.now, exchange(r.b, r.now, Seal{testHeader(2, 1)}), r.now.Add(-time.Second))
	return r
}

func (r *resolving) reply(from string, now time.Time, reply Reply, sentAt time.Time) []Action {
	return r.co.Step(now, ReplyReceived{from, reply, sentAt})
}

// startsB reports whether the actions start the task on b.
func startsB(actions []Action) bool {
	for _, act := range actions {
		if send, ok := act.(Send); ok && send.To == "b" {
			if _, isStart := send.Message.(Start); isStart {
				return true
			}
		}
	}
	return false
}

// A reply to a Seal of an earlier round must not count in the present one: the task may have stopped by
// isolation since, and the other member would be started to run alone.
func TestReplyOfEarlierRoundDoesNotCount(t *testing.T) {
	r := newResolving(t)
	later := r.now.Add(time.Second)
	r.a.Step(later, Tick{}) // a stops by isolation
	r.Assert(r.a.Tasks()[0].State, qt.Equals, StateStopping)
	r.Assert(startsB(r.reply("b", later, exchange(r.b, later, Seal{testHeader(2, 1)}), later)), qt.IsFalse)
	r.Check(startsB(r.reply("a", later, r.lateReply, r.lateSent)), qt.IsFalse)
}

// A reply that an agent sends on its own, such as the confirmation of a start, may be as old.
func TestUnsolicitedReplyDoesNotAnswerSeal(t *testing.T) {
	r := newResolving(t)
	confirmed := replies(r.a.Step(r.lateSent, TaskStarted{attempt1}))[0]
	r.Assert(startsB(r.reply("b", r.now, exchange(r.b, r.now, Seal{testHeader(2, 1)}), r.now)), qt.IsFalse)
	r.Check(startsB(r.reply("a", r.now, confirmed, time.Time{})), qt.IsFalse)
	r.Check(startsB(r.reply("a", r.now, exchange(r.a, r.now, Seal{testHeader(2, 1)}), r.now)), qt.IsTrue)
}

// A predecessor that was paused still answers reports. Its timestamp must not replace the successor's:
// the successor would not know how old the next report is, and would let a whole gang stop.
func TestAnswerOfPredecessorDoesNotReplaceTimestamp(t *testing.T) {
	c := qt.New(t)
	m := testMember(1)
	newer := NewPlannerTimestamp(2, t0.Add(time.Second))
	m.Step(t0, ReportAnswered{SentAt: t0, Timestamp: newer})
	m.Step(t0, ReportAnswered{SentAt: t0, Timestamp: NewPlannerTimestamp(1, t0.Add(time.Minute))})
	c.Check(m.Timestamp(), qt.Equals, newer)
	m.Step(t0, ReportAnswered{SentAt: t0, Timestamp: NewPlannerTimestamp(2, t0)})
	c.Check(m.Timestamp(), qt.Equals, newer)
	next := NewPlannerTimestamp(3, t0)
	m.Step(t0, ReportAnswered{SentAt: t0, Timestamp: next})
	c.Check(m.Timestamp(), qt.Equals, next)
}
