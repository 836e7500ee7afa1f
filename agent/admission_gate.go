package agent

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

// gate runs an admission.Queue for concurrent requests: each waits in enter
// until the queue says run or refuse. The lock is held for one Step, which is
// a few microseconds.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	next    admission.ID
	waiting map[admission.ID]chan admission.Action
	timer   *time.Timer
}

func newGate(o admission.Options) *gate {
	return &gate{
		queue:   admission.New(o),
		waiting: make(map[admission.ID]chan admission.Action),
	}
}

// enter waits for a slot. The refusal is nil when the request may run; leave
// must follow then. When ctx ends first, the request has not run and ctx's error
// is returned.
func (g *gate) enter(ctx context.Context, a admission.Arrived) (admission.ID, *admission.Refuse, error) {
	decided := make(chan admission.Action, 1)
	g.mu.Lock()
	g.next++
	a.ID = g.next
	g.waiting[a.ID] = decided
	g.step(a)
	g.mu.Unlock()

	select {
	case d := <-decided:
		return a.ID, refusalOf(d), nil
	case <-ctx.Done():
	}
	if d := g.withdraw(a.ID, decided); d != nil {
		return a.ID, refusalOf(d), nil
	}
	return a.ID, nil, ctx.Err()
}

func refusalOf(a admission.Action) *admission.Refuse {
	if r, ok := a.(admission.Refuse); ok {
		return &r
	}
	return nil
}

// withdraw takes a request out of the queue, or returns the decision that came
// first.
func (g *gate) withdraw(id admission.ID, decided chan admission.Action) admission.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-decided:
		return d
	default:
	}
	delete(g.waiting, id)
	g.step(admission.Cancelled{ID: id})
	return nil
}

// leave frees the slot of a request that ran for took.
func (g *gate) leave(id admission.ID, took time.Duration) {
	g.event(admission.Finished{ID: id, SlotTime: took})
}

func (g *gate) event(ev admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(ev)
}

func (g *gate) load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(time.Now())
}

// depth returns how many requests run and wait, without counting out marks.
func (g *gate) depth() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Depth()
}

// step is called with the lock held.
func (g *gate) step(ev admission.Event) {
	for _, a := range g.queue.HandleEvent(time.Now(), ev) {
		switch a := a.(type) {
		case admission.Run:
			g.decide(a.ID, a)
		case admission.Refuse:
			g.decide(a.ID, a)
		case admission.WakeAt:
			g.wakeAt(a.Time)
		}
	}
}

func (g *gate) decide(id admission.ID, a admission.Action) {
	decided := g.waiting[id]
	delete(g.waiting, id)
	decided <- a
}

func (g *gate) wakeAt(at time.Time) {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(time.Until(at), func() { g.event(admission.Tick{}) })
}

// stop ends the timer.
func (g *gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
}
