package admission

import (
	"container/heap"
	"time"
)

// Queue decides which requests one target runs and which are refused. It belongs
// to one goroutine.
type Queue struct {
	options          Options
	serviceTimes     *serviceTimes
	requests         map[ID]*request
	accounts         accountSet
	weights          map[string]int
	accountMaxQueued map[string]int
	byStartDeadline  startDeadlineHeap // queued requests with a deadline
	virtualTime      float64           // largest virtual start time of the requests started
	queued           int
	running          int
	draining         bool
	lastWait         time.Duration // of the last request that started
	markCredit       float64       // fractions of marks not yet given to replies
	lastMarked       bool          // whether the last finished request was marked
	nextTick         time.Time     // time of the last WakeAt; zero after its Tick
	actions          []Action
}

// New returns an empty Queue.
func New(o Options) *Queue {
	o = o.withDefaults()
	return &Queue{
		options:      o,
		serviceTimes: newServiceTimes(o.MaxServiceTimes),
		requests:     make(map[ID]*request),
		accounts:     newAccountSet(),
	}
}

// Step handles one event and returns the actions to carry out, in order. The
// slice is valid until the next call.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	q.actions = q.actions[:0]
	switch ev := ev.(type) {
	case Arrived:
		q.handleArrived(now, ev)
	case Finished:
		q.handleFinished(ev)
	case Cancelled:
		q.handleCancelled(ev.ID)
	case SlotsChanged:
		q.options.Slots = ev.Slots
	case PolicyChanged:
		q.changePolicy(ev)
	case Drain:
		q.draining = true
	case Tick:
		q.nextTick = time.Time{}
	}
	q.refuseExpired(now)
	q.dispatch(now)
	q.scheduleTick()
	return q.actions
}

func (q *Queue) handleArrived(now time.Time, ev Arrived) {
	if q.requests[ev.ID] != nil {
		panic("admission: Arrived with the ID of a request in the queue or running")
	}
	r := q.newRequest(now, ev)
	a := q.accountFor(ev)
	if reason, retryAfter := q.admit(now, a, r); reason != 0 {
		q.actions = append(q.actions, Refuse{ID: r.id, Reason: reason, RetryAfter: retryAfter})
		q.accounts.releaseIfIdle(a, q.virtualTime)
		return
	}
	q.requests[r.id] = r
	q.accounts.push(a, r)
	q.queued++
	if !r.startDeadline.IsZero() {
		heap.Push(&q.byStartDeadline, r)
	}
}

func (q *Queue) newRequest(now time.Time, ev Arrived) *request {
	key := serviceTimeKey{account: ev.Account, class: ev.Class}
	r := &request{id: ev.ID, serviceTimeKey: key, expectedTime: q.serviceTimes.estimate(key), enqueued: ev.Enqueued}
	if r.enqueued.IsZero() {
		r.enqueued = now
	}
	if !ev.Deadline.IsZero() {
		r.startDeadline = q.startDeadline(ev.Deadline, r.expectedTime)
	}
	return r
}

// startDeadline returns the time at which a request has to start at the latest to
// meet its deadline. While a slot is free it is the deadline itself: the request
// starts at once and delays no other, so that it is worth trying.
func (q *Queue) startDeadline(deadline time.Time, expectedTime time.Duration) time.Time {
	if q.running < q.options.Slots {
		return deadline
	}
	return deadline.Add(-expectedTime)
}

func (q *Queue) handleFinished(ev Finished) {
	r := q.requests[ev.ID]
	if r == nil || !r.running {
		panic("admission: Finished for a request that is not running")
	}
	delete(q.requests, ev.ID)
	q.running--
	q.lastMarked = q.nextMark()
	q.serviceTimes.record(r.serviceTimeKey, ev.SlotTime)
	a := q.accounts.active[r.serviceTimeKey.account]
	a.running--
	a.charge(ev.SlotTime-r.expectedTime, r.weight)
	q.accounts.releaseIfIdle(a, q.virtualTime)
}

func (q *Queue) handleCancelled(id ID) {
	r := q.requests[id]
	if r != nil && !r.running {
		q.removeQueued(r)
	}
}

// removeQueued removes a queued request and forgets it.
func (q *Queue) removeQueued(r *request) {
	a := q.accounts.active[r.serviceTimeKey.account]
	q.dequeue(a, r)
	delete(q.requests, r.id)
	q.accounts.releaseIfIdle(a, q.virtualTime)
}

// dequeue removes a request from its account's queue.
func (q *Queue) dequeue(a *account, r *request) {
	q.accounts.remove(a, r)
	q.queued--
	if !r.startDeadline.IsZero() {
		heap.Remove(&q.byStartDeadline, r.heapIndex)
	}
}

// refuseExpired refuses queued requests that can no longer meet their deadline. They
// are few, since arrivals that are not expected to meet it are refused at once.
func (q *Queue) refuseExpired(now time.Time) {
	for len(q.byStartDeadline) > 0 && q.byStartDeadline[0].tooLate(now) {
		r := q.byStartDeadline[0]
		q.removeQueued(r)
		q.actions = append(q.actions, Refuse{ID: r.id, Reason: ReasonDeadline, RetryAfter: q.retryAfter()})
	}
}

// dispatch starts queued requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.options.Slots && q.queued > 0 {
		a := q.accounts.nextToServe()
		r := a.waiting[0]
		q.dequeue(a, r)
		q.startRequest(now, a, r)
	}
}

func (q *Queue) startRequest(now time.Time, a *account, r *request) {
	r.running = true
	r.weight = a.weight
	q.running++
	a.running++
	q.virtualTime = max(q.virtualTime, a.virtualStart)
	a.charge(r.expectedTime, a.weight)
	q.recordWait(now, a, now.Sub(r.enqueued))
	q.actions = append(q.actions, Run{ID: r.id})
}

// scheduleTick asks for a Tick at the earliest start deadline.
func (q *Queue) scheduleTick() {
	if len(q.byStartDeadline) == 0 {
		return
	}
	at := q.byStartDeadline[0].startDeadline
	if !at.Equal(q.nextTick) {
		q.nextTick = at
		q.actions = append(q.actions, WakeAt{Time: at})
	}
}
