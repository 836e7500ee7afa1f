package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

type actions = []admission.Action

// newTrainedQueue returns a queue of one slot that has learned a service time of 10 ms,
// at 1 s.
func newTrainedQueue(o admission.Options) *admission.Queue {
	o.Slots = 1
	q := admission.New(o)
	for id := range admission.ID(100) {
		q.HandleEvent(at(0), admission.Arrived{ID: 1000 + id})
		q.HandleEvent(at(time.Second), admission.Finished{ID: 1000 + id, SlotTime: 10 * time.Millisecond})
	}
	return q
}

// A target is told to leave while a request waits in its queue. The caller was
// let in and must be served; a request that comes later is sent elsewhere.
func TestDrainServesTheQueueAndRefusesArrivals(t *testing.T) {
	c := qt.New(t)
	q := admission.New(admission.Options{Slots: 1})
	c.Assert(q.HandleEvent(at(0), admission.Arrived{ID: 1}), qt.DeepEquals, actions{admission.Run{ID: 1}})
	c.Assert(q.HandleEvent(at(0), admission.Arrived{ID: 2}), qt.HasLen, 0)
	q.HandleEvent(at(1), admission.Drain{})
	refuse := admission.Refuse{ID: 3, Reason: admission.ReasonDraining}
	c.Assert(q.HandleEvent(at(2), admission.Arrived{ID: 3}), qt.DeepEquals, actions{refuse})
	c.Assert(q.HandleEvent(at(3), admission.Finished{ID: 1, SlotTime: 3}), qt.DeepEquals, actions{admission.Run{ID: 2}})
}

// A truck waits for an answer within 35 ms, and four requests of 10 ms stand
// before it. Queued, it would be refused after its time; refused now, with the
// time the backlog needs, the client can still act.
func TestArrivalThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	for id := range admission.ID(5) {
		q.HandleEvent(at(time.Second), admission.Arrived{ID: id})
	}
	got := q.HandleEvent(at(time.Second), admission.Arrived{ID: 9, Deadline: at(time.Second + 35*time.Millisecond)})
	c.Assert(got, qt.DeepEquals, actions{admission.Refuse{ID: 9, Reason: admission.ReasonDeadline, RetryAfter: 40 * time.Millisecond}})
}

// A request ahead runs ten times as long as it ever did. The one behind it is
// given up as soon as it can't be answered any more, not at its deadline.
func TestQueuedRequestIsRefusedOnceItCannotMeetItsDeadline(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	q.HandleEvent(at(time.Second), admission.Arrived{ID: 1})
	wake := at(time.Second + 40*time.Millisecond)
	got := q.HandleEvent(at(time.Second), admission.Arrived{ID: 2, Deadline: at(time.Second + 50*time.Millisecond)})
	c.Assert(got, qt.DeepEquals, actions{admission.WakeAt{Time: wake}})
	got = q.HandleEvent(wake, admission.Tick{})
	c.Assert(got, qt.DeepEquals, actions{admission.Refuse{ID: 2, Reason: admission.ReasonDeadline, RetryAfter: 10 * time.Millisecond}})
}

// One client account floods a target with slow requests. Another asks now and
// then; in a shared queue it would wait behind hundreds.
func TestLightAccountIsServedNextDuringFlood(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	for id := range admission.ID(200) {
		q.HandleEvent(at(time.Second), admission.Arrived{ID: id, Account: "flood"})
	}
	q.HandleEvent(at(time.Second), admission.Finished{ID: 0, SlotTime: 50 * time.Millisecond})
	q.HandleEvent(at(time.Second), admission.Arrived{ID: 500, Account: "light"})
	got := q.HandleEvent(at(time.Second), admission.Finished{ID: 1, SlotTime: 50 * time.Millisecond})
	c.Assert(got, qt.DeepEquals, actions{admission.Run{ID: 500}})
}

// Two accounts with weights 3 and 1 keep the target busy; the second sends
// requests that take four times as long. Shares are of slot time, not of requests.
func TestSharesOfSlotTimeFollowWeights(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	q.HandleEvent(at(0), admission.PolicyChanged{Weights: map[string]int{"a": 3, "b": 1}})
	slotTime := map[string]time.Duration{"a": 10 * time.Millisecond, "b": 40 * time.Millisecond}
	used := map[string]time.Duration{}
	owner := map[admission.ID]string{}
	lastID := admission.ID(0)
	arrive := func(account string) []admission.Action {
		lastID++
		owner[lastID] = account
		return q.HandleEvent(at(time.Second), admission.Arrived{ID: lastID, Account: account})
	}
	run := arrive("a")
	for range 20 {
		arrive("a")
		arrive("b")
	}
	for range 4000 {
		id := run[0].(admission.Run).ID
		account := owner[id]
		used[account] += slotTime[account]
		run = append(actions{}, q.HandleEvent(at(time.Second), admission.Finished{ID: id, SlotTime: slotTime[account]})...)
		arrive(account)
	}
	ratio := used["a"].Seconds() / used["b"].Seconds()
	c.Assert(ratio > 2.9 && ratio < 3.1, qt.IsTrue, qt.Commentf("%f", ratio))
}

// What is known of a class says that its deadline can't be met, but a slot is
// free. To refuse it would leave the slot idle, and nothing new would be learned.
func TestFreeSlotIsUsedDespiteExpectedServiceTime(t *testing.T) {
	q := newTrainedQueue(admission.Options{})
	got := q.HandleEvent(at(0), admission.Arrived{ID: 1, Deadline: at(time.Millisecond)})
	qt.Assert(t, got, qt.DeepEquals, actions{admission.Run{ID: 1}})
}

// A class of requests took a second each while the target was slow, more than
// its deadline of 100 ms. The target has recovered, and others keep it busy. The
// class must get in again, though nothing of it ran meanwhile.
func TestClassThatWasTooSlowIsAdmittedAgain(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	q.HandleEvent(at(0), admission.Arrived{ID: 1, Class: "check"})
	q.HandleEvent(at(0), admission.Finished{ID: 1, SlotTime: time.Second})
	lastID := admission.ID(10)
	q.HandleEvent(at(0), admission.Arrived{ID: lastID})
	for n := 1; ; n++ {
		c.Assert(n < 2000, qt.IsTrue)
		lastID++
		q.HandleEvent(at(0), admission.Arrived{ID: lastID})
		got := q.HandleEvent(at(0), admission.Arrived{ID: 1, Class: "check", Deadline: at(100 * time.Millisecond)})
		if _, refused := got[0].(admission.Refuse); !refused {
			return
		}
		q.HandleEvent(at(0), admission.Finished{ID: lastID - 1, SlotTime: 10 * time.Millisecond})
	}
}
