package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

// admissionGate makes an admission.Queue usable from many goroutines: each request waits
// in acquireSlot until the queue runs or refuses it.
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

// acquireSlot waits for a slot. If the refusal and the error are nil the request may run,
// and the caller must call releaseSlot. If ctx ends first, acquireSlot returns its error
// and the request does not run.
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

// cancel removes a request from the queue and returns nil, or returns the decision if one
// was already made.
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

// releaseSlot frees the slot of a request that held it for slotTime.
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

// depth returns the numbers of running and queued requests.
func (g *admissionGate) depth() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Depth()
}

// handleEvent passes an event to the queue and carries out the resulting actions. The
// caller holds the lock.
func (g *admissionGate) handleEvent(ev admission.Event) {
	for _, a := range g.queue.Step(time.Now(), ev) {
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

// stopTimer stops the timer of the next Tick.
func (g *admissionGate) stopTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
}
