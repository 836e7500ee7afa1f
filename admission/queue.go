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
	accounts []*account // in order of arrival, so that ties are settled alike in every run
	byName   map[string]*account
	weights  map[string]int
	order    byHopeless // queued requests with a deadline
	virtual  float64    // start of the last request that was started
	queued   int
	running  int
	draining bool
	wait     time.Duration // of the last request that started
	marks    float64       // marks owed to replies
	wake     time.Time     // as asked for last
	actions  []Action
}

// New returns an empty Queue.
func New(o Options) *Queue {
	o = o.withDefaults()
	return &Queue{
		options:  o,
		costs:    newCosts(o.MaxCosts),
		requests: make(map[ID]*request),
		byName:   make(map[string]*account),
	}
}

// Step takes one event and returns what to do, in order. The slice is valid
// until the next Step.
func (q *Queue) Step(now time.Time, ev Event) []Action {
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
		q.reweigh(ev.Weights)
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
		q.release(a)
		return
	}
	q.requests[r.id] = r
	a.push(r)
	q.queued++
	if !r.deadline.IsZero() {
		heap.Push(&q.order, r)
	}
}

func (q *Queue) newRequest(now time.Time, ev Arrived) *request {
	key := costKey{account: ev.Account, class: ev.Class}
	r := &request{id: ev.ID, key: key, enqueued: ev.Enqueued, deadline: ev.Deadline}
	r.cost = q.costs.expect(key, ev.Cost)
	if r.enqueued.IsZero() {
		r.enqueued = now
	}
	return r
}

func (q *Queue) finished(ev Finished) {
	r := q.requests[ev.ID]
	if r == nil || !r.running {
		panic("admission: a request finished that does not run")
	}
	delete(q.requests, ev.ID)
	q.running--
	q.costs.learn(r.key, ev.Took)
	a := q.byName[r.key.account]
	a.running--
	a.charge(ev.Took-r.cost, r.weight)
	q.release(a)
}

func (q *Queue) cancelled(id ID) {
	r := q.requests[id]
	if r != nil && !r.running {
		q.drop(r)
	}
}

// drop takes a queued request out.
func (q *Queue) drop(r *request) {
	a := q.byName[r.key.account]
	a.drop(r)
	q.unlink(r)
	delete(q.requests, r.id)
	q.release(a)
}

func (q *Queue) unlink(r *request) {
	q.queued--
	if !r.deadline.IsZero() {
		heap.Remove(&q.order, r.index)
	}
}

// expire refuses queued requests as soon as they can no longer be answered in
// time. Few get here: arrivals that would are refused at once.
func (q *Queue) expire(now time.Time) {
	for len(q.order) > 0 && q.order[0].late(now) {
		r := q.order[0]
		q.drop(r)
		q.actions = append(q.actions, Refuse{ID: r.id, Reason: Deadline, RetryAfter: q.retryAfter()})
	}
}

func (q *Queue) dispatch(now time.Time) {
	for q.running < q.options.Slots && q.queued > 0 {
		a := q.next()
		r := a.pop(q.options.Newest)
		q.unlink(r)
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

// next returns the account with work whose virtual start time is smallest.
func (q *Queue) next() *account {
	var first *account
	for _, a := range q.accounts {
		if len(a.waiting) > 0 && (first == nil || a.start < first.start) {
			first = a
		}
	}
	return first
}

// schedule asks for a Tick when the first queued request becomes hopeless.
func (q *Queue) schedule() {
	if len(q.order) == 0 {
		return
	}
	at := q.order[0].hopeless()
	if !at.Equal(q.wake) {
		q.wake = at
		q.actions = append(q.actions, WakeAt{Time: at})
	}
}
