package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

// admissionGate runs an admission.Queue for concurrent requests: each waits in enter
// until the queue says run or refuse. The lock is held for one Step, which is
// a few microseconds.
type admissionGate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	lastID  admission.ID
	waiting map[admission.ID]chan admission.Action
	timer   *time.Timer
}

func newAdmissionGate(o admission.Options) *admissionGate {
	return &admissionGate{
		queue:   admission.New(o),
		waiting: make(map[admission.ID]chan admission.Action),
	}
}

// acquireSlot waits for a slot. The refusal is nil when the request may run; leave
// must follow then. When ctx ends first, the request has not run and ctx's error
// is returned.
func (g *admissionGate) acquireSlot(ctx context.Context, arrival admission.Arrived) (admission.ID, *admission.Refuse, error) {
	decision := make(chan admission.Action, 1)
	g.mu.Lock()
	g.lastID++
	arrival.ID = g.lastID
	g.waiting[arrival.ID] = decision
	g.handleEvent(arrival)
	g.mu.Unlock()

	select {
	case d := <-decision:
		return arrival.ID, asRefusal(d), nil
	case <-ctx.Done():
	}
	if d := g.cancel(arrival.ID, decision); d != nil {
		return arrival.ID, asRefusal(d), nil
	}
	return arrival.ID, nil, ctx.Err()
}

func asRefusal(a admission.Action) *admission.Refuse {
	if r, ok := a.(admission.Refuse); ok {
		return &r
	}
	return nil
}

// cancel takes a request out of the queue, or returns the decision that came
// first.
func (g *admissionGate) cancel(id admission.ID, decision chan admission.Action) admission.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-decision:
		return d
	default:
	}
	delete(g.waiting, id)
	g.handleEvent(admission.Cancelled{ID: id})
	return nil
}

// releaseSlot frees the slot of a request that ran for took.
func (g *admissionGate) releaseSlot(id admission.ID, slotTime time.Duration) {
	g.postEvent(admission.Finished{ID: id, SlotTime: slotTime})
}

func (g *admissionGate) postEvent(ev admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleEvent(ev)
}

func (g *admissionGate) load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(time.Now())
}

// depth returns how many requests run and wait, without counting out marks.
func (g *admissionGate) depth() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Depth()
}

// handleEvent is called with the lock held.
func (g *admissionGate) handleEvent(ev admission.Event) {
	for _, a := range g.queue.HandleEvent(time.Now(), ev) {
		switch a := a.(type) {
		case admission.Run:
			g.deliver(a.ID, a)
		case admission.Refuse:
			g.deliver(a.ID, a)
		case admission.WakeAt:
			g.scheduleTick(a.Time)
		}
	}
}

func (g *admissionGate) deliver(id admission.ID, a admission.Action) {
	decision := g.waiting[id]
	delete(g.waiting, id)
	decision <- a
}

func (g *admissionGate) scheduleTick(at time.Time) {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(time.Until(at), func() { g.postEvent(admission.Tick{}) })
}

// stopTimer ends the timer.
func (g *admissionGate) stopTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
}
