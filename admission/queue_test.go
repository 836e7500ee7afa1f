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

// newTrainedQueue returns a queue of one slot that has observed a service time of
// 10 ms. Its time is 1 s.
func newTrainedQueue(o admission.Options) *admission.Queue {
	o.Slots = 1
	q := admission.New(o)
	for id := range admission.ID(100) {
		q.Step(at(0), admission.Arrived{ID: 1000 + id})
		q.Step(at(time.Second), admission.Finished{ID: 1000 + id, SlotTime: 10 * time.Millisecond})
	}
	return q
}

// Guards against dropping queued requests, or accepting new ones, while the target
// drains.
func TestDrainServesTheQueueAndRefusesArrivals(t *testing.T) {
	c := qt.New(t)
	q := admission.New(admission.Options{Slots: 1})
	c.Assert(q.Step(at(0), admission.Arrived{ID: 1}), qt.DeepEquals, actions{admission.Run{ID: 1}})
	c.Assert(q.Step(at(0), admission.Arrived{ID: 2}), qt.HasLen, 0)
	q.Step(at(1), admission.Drain{})
	refuse := admission.Refuse{ID: 3, Reason: admission.ReasonDraining}
	c.Assert(q.Step(at(2), admission.Arrived{ID: 3}), qt.DeepEquals, actions{refuse})
	c.Assert(q.Step(at(3), admission.Finished{ID: 1, SlotTime: 3}), qt.DeepEquals, actions{admission.Run{ID: 2}})
}

// Guards against queueing a request that would miss its deadline because of the
// backlog. It must be refused at once, with the time that the backlog takes.
func TestArrivalThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	for id := range admission.ID(5) {
		q.Step(at(time.Second), admission.Arrived{ID: id})
	}
	got := q.Step(at(time.Second), admission.Arrived{ID: 9, Deadline: at(time.Second + 35*time.Millisecond)})
	c.Assert(got, qt.DeepEquals, actions{admission.Refuse{ID: 9, Reason: admission.ReasonDeadline, RetryAfter: 40 * time.Millisecond}})
}

// Guards against keeping a request until its deadline when the one before it runs so
// long that it can no longer be answered in time.
func TestQueuedRequestIsRefusedOnceItCannotMeetItsDeadline(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	q.Step(at(time.Second), admission.Arrived{ID: 1})
	wake := at(time.Second + 40*time.Millisecond)
	got := q.Step(at(time.Second), admission.Arrived{ID: 2, Deadline: at(time.Second + 50*time.Millisecond)})
	c.Assert(got, qt.DeepEquals, actions{admission.WakeAt{Time: wake}})
	got = q.Step(wake, admission.Tick{})
	c.Assert(got, qt.DeepEquals, actions{admission.Refuse{ID: 2, Reason: admission.ReasonDeadline, RetryAfter: 10 * time.Millisecond}})
}

// Guards against a light account that waits behind the backlog of another account.
func TestLightAccountIsServedNextDuringFlood(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	for id := range admission.ID(200) {
		q.Step(at(time.Second), admission.Arrived{ID: id, Account: "flood"})
	}
	q.Step(at(time.Second), admission.Finished{ID: 0, SlotTime: 50 * time.Millisecond})
	q.Step(at(time.Second), admission.Arrived{ID: 500, Account: "light"})
	got := q.Step(at(time.Second), admission.Finished{ID: 1, SlotTime: 50 * time.Millisecond})
	c.Assert(got, qt.DeepEquals, actions{admission.Run{ID: 500}})
}

// Guards against shares by number of requests: accounts must share slot time by weight,
// whatever time their requests take.
func TestSharesOfSlotTimeFollowWeights(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	q.Step(at(0), admission.PolicyChanged{Weights: map[string]int{"a": 3, "b": 1}})
	slotTime := map[string]time.Duration{"a": 10 * time.Millisecond, "b": 40 * time.Millisecond}
	used := map[string]time.Duration{}
	owner := map[admission.ID]string{}
	lastID := admission.ID(0)
	arrive := func(account string) []admission.Action {
		lastID++
		owner[lastID] = account
		return q.Step(at(time.Second), admission.Arrived{ID: lastID, Account: account})
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
		run = append(actions{}, q.Step(at(time.Second), admission.Finished{ID: id, SlotTime: slotTime[account]})...)
		arrive(account)
	}
	ratio := used["a"].Seconds() / used["b"].Seconds()
	c.Assert(ratio > 2.9 && ratio < 3.1, qt.IsTrue, qt.Commentf("ratio of slot times %f", ratio))
}

// Guards against refusing a request because of its expected service time while a slot
// is idle, which would also prevent observing a shorter time.
func TestFreeSlotIsUsedDespiteExpectedServiceTime(t *testing.T) {
	q := newTrainedQueue(admission.Options{})
	got := q.Step(at(0), admission.Arrived{ID: 1, Deadline: at(time.Millisecond)})
	qt.Assert(t, got, qt.DeepEquals, actions{admission.Run{ID: 1}})
}

// Guards against refusing a class for ever because it was once slower than its
// deadline.
func TestClassThatWasTooSlowIsAdmittedAgain(t *testing.T) {
	c := qt.New(t)
	q := newTrainedQueue(admission.Options{})
	q.Step(at(0), admission.Arrived{ID: 1, Class: "check"})
	q.Step(at(0), admission.Finished{ID: 1, SlotTime: time.Second})
	lastID := admission.ID(10)
	q.Step(at(0), admission.Arrived{ID: lastID})
	for n := 1; ; n++ {
		c.Assert(n < 2000, qt.IsTrue)
		lastID++
		q.Step(at(0), admission.Arrived{ID: lastID})
		got := q.Step(at(0), admission.Arrived{ID: 1, Class: "check", Deadline: at(100 * time.Millisecond)})
		if _, refused := got[0].(admission.Refuse); !refused {
			return
		}
		q.Step(at(0), admission.Finished{ID: lastID - 1, SlotTime: 10 * time.Millisecond})
	}
}
