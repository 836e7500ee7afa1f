package admission

import (
	"container/heap"
	"time"
)

// Queue decides for one target. It belongs to one goroutine.
type Queue struct {
	options  Options
	costs    *costs
	requests map[ID]*request
	members  members
	weights  map[string]int
	bounds   map[string]int
	order    byLatest // queued requests with a deadline
	virtual  float64  // start of the last request that was started
	queued   int
	running  int
	draining bool
	wait     time.Duration // of the last request that started
	marks    float64       // marks owed to replies
	marked   bool          // the last reply
	wake     time.Time     // as asked for last
	actions  []Action
}

// New returns an empty Queue.
func New(o Options) *Queue {
	o = o.withDefaults()
	return &Queue{
		options:  o,
		costs:    newCosts(o.MaxServiceTimes),
		requests: make(map[ID]*request),
		members:  newMembers(),
	}
}

// HandleEvent takes one event and returns what to do, in order. The slice is valid
// until the next HandleEvent.
func (q *Queue) HandleEvent(now time.Time, ev Event) []Action {
	q.actions = q.actions[:0]
	switch ev := ev.(type) {
	case Arrived:
		q.arrived(now, ev)
	case Finished:
		q.finished(ev)
	case Cancelled:
		q.cancelled(ev.ID)
	case SlotsChanged:
		q.options.Slots = ev.Slots
	case PolicyChanged:
		q.changePolicy(ev)
	case Drain:
		q.draining = true
	case Tick:
		q.wake = time.Time{}
	}
	q.expire(now)
	q.dispatch(now)
	q.schedule()
	return q.actions
}

func (q *Queue) arrived(now time.Time, ev Arrived) {
	if q.requests[ev.ID] != nil {
		panic("admission: an arrival's ID is in use")
	}
	r := q.newRequest(now, ev)
	a := q.account(ev)
	if reason, after := q.judge(now, a, r); reason != 0 {
		q.actions = append(q.actions, Refuse{ID: r.id, Reason: reason, RetryAfter: after})
		q.members.release(a, q.virtual)
		return
	}
	q.requests[r.id] = r
	q.members.push(a, r)
	q.queued++
	if !r.latest.IsZero() {
		heap.Push(&q.order, r)
	}
}

func (q *Queue) newRequest(now time.Time, ev Arrived) *request {
	key := costKey{account: ev.Account, class: ev.Class}
	r := &request{id: ev.ID, key: key, cost: q.costs.expect(key), enqueued: ev.Enqueued}
	if r.enqueued.IsZero() {
		r.enqueued = now
	}
	if !ev.Deadline.IsZero() {
		r.latest = q.latest(ev.Deadline, r.cost)
	}
	return r
}

// latest is when a request would have to start at the latest. A free slot costs
// nothing, so what would run at once may try until its deadline.
func (q *Queue) latest(deadline time.Time, cost time.Duration) time.Time {
	if q.running < q.options.Slots {
		return deadline
	}
	return deadline.Add(-cost)
}

func (q *Queue) finished(ev Finished) {
	r := q.requests[ev.ID]
	if r == nil || !r.running {
		panic("admission: a request finished that does not run")
	}
	delete(q.requests, ev.ID)
	q.running--
	q.marked = q.mark()
	q.costs.learn(r.key, ev.SlotTime)
	a := q.members.busy[r.key.account]
	a.running--
	a.charge(ev.SlotTime-r.cost, r.weight)
	q.members.release(a, q.virtual)
}

func (q *Queue) cancelled(id ID) {
	r := q.requests[id]
	if r != nil && !r.running {
		q.drop(r)
	}
}

// drop takes a queued request out.
func (q *Queue) drop(r *request) {
	a := q.members.busy[r.key.account]
	q.unlink(a, r)
	delete(q.requests, r.id)
	q.members.release(a, q.virtual)
}

// unlink takes a request out of the account's queue.
func (q *Queue) unlink(a *account, r *request) {
	q.members.drop(a, r)
	q.queued--
	if !r.latest.IsZero() {
		heap.Remove(&q.order, r.index)
	}
}

// expire refuses queued requests as soon as they can no longer be answered in
// time. Few get here: arrivals that would are refused at once.
func (q *Queue) expire(now time.Time) {
	for len(q.order) > 0 && q.order[0].late(now) {
		r := q.order[0]
		q.drop(r)
		q.actions = append(q.actions, Refuse{ID: r.id, Reason: ReasonDeadline, RetryAfter: q.retryAfter()})
	}
}

func (q *Queue) dispatch(now time.Time) {
	for q.running < q.options.Slots && q.queued > 0 {
		a := q.members.next()
		r := a.waiting[0]
		q.unlink(a, r)
		q.start(now, a, r)
	}
}

func (q *Queue) start(now time.Time, a *account, r *request) {
	r.running = true
	r.weight = a.weight
	q.running++
	a.running++
	q.virtual = max(q.virtual, a.start)
	a.charge(r.cost, a.weight)
	q.observe(now, a, now.Sub(r.enqueued))
	q.actions = append(q.actions, Run{ID: r.id})
}

// schedule asks for a Tick when the first queued request will be late.
func (q *Queue) schedule() {
	if len(q.order) == 0 {
		return
	}
	at := q.order[0].latest
	if !at.Equal(q.wake) {
		q.wake = at
		q.actions = append(q.actions, WakeAt{Time: at})
	}
}
