package routing_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/routing"
)

var (
	steps = flag.Int("steps", 100_000, "steps of the randomised run")
	seed  = flag.Uint64("seed", 1, "seed of the randomised run")
)

// randomRun drives a router with random events and keeps its own account of what
// must hold.
type randomRun struct {
	c             *qt.C
	rng           *rand.Rand
	router        *routing.Router
	now           time.Duration
	targets       map[routing.TargetID]*routing.Target
	tickets       []routing.Ticket
	firstAttempts int
	retries       int
}

func TestRandomEvents(t *testing.T) {
	t.Logf("seed %d, %d steps", *seed, *steps)
	w := &randomRun{c: qt.New(t), rng: rand.New(rand.NewPCG(*seed, 0)), targets: map[routing.TargetID]*routing.Target{}}
	w.router = routing.New(routing.Options{Seed: *seed, Zone: "east"})
	for range *steps {
		w.now += time.Duration(w.rng.IntN(2000)) * time.Microsecond
		w.step()
		w.check()
	}
}

func (w *randomRun) step() {
	id := targetID(w.rng.IntN(6))
	switch n := w.rng.IntN(100); {
	case n < 40:
		w.pick()
	case n < 80:
		w.done()
	case n < 82:
		w.router.ProbeFailed(at(w.now), id)
	case n < 83:
		w.router.ProbeSucceeded(at(w.now), id)
	case n < 97 && w.router.AllowRetry(at(w.now), fmt.Sprint(w.rng.IntN(3))):
		w.retries++
	case n >= 97:
		w.changeTarget(id)
	}
}

func (w *randomRun) changeTarget(id routing.TargetID) {
	t := w.targets[id]
	switch {
	case t == nil:
		w.targets[id] = &routing.Target{ID: id, Zone: "east", Slots: 4, MaxInflight: 1 + w.rng.IntN(16)}
	case w.rng.IntN(3) == 0:
		delete(w.targets, id)
	case t.Draining:
		*t = routing.Target{ID: id, Slots: 4, MaxInflight: 16, Incarnation: t.Incarnation + 1}
	default:
		t.Draining = true
	}
	var ts []routing.Target
	for i := range 6 {
		if t := w.targets[targetID(i)]; t != nil {
			ts = append(ts, *t)
		}
	}
	w.router.SetTargets(at(w.now), ts)
}

func (w *randomRun) pick() {
	exclude := targetID(w.rng.IntN(6))
	q := routing.PickInfo{Account: fmt.Sprint(w.rng.IntN(3)), Exclude: []routing.TargetID{exclude}, AtMostOnce: w.rng.IntN(2) == 0}
	w.firstAttempts++
	ticket, refusal := w.router.Pick(at(w.now), q)
	if !refusal.OK() {
		w.c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
		return
	}
	t := w.targets[ticket.Target]
	w.c.Assert(t, qt.IsNotNil)
	w.c.Assert(t.Draining, qt.IsFalse)
	w.c.Assert(t.Incarnation, qt.Equals, ticket.Incarnation)
	w.c.Assert(ticket.Target, qt.Not(qt.Equals), exclude)
	w.tickets = append(w.tickets, ticket)
}

func (w *randomRun) done() {
	if len(w.tickets) == 0 {
		return
	}
	i := w.rng.IntN(len(w.tickets))
	ticket := w.tickets[i]
	w.tickets[i] = w.tickets[len(w.tickets)-1]
	w.tickets = w.tickets[:len(w.tickets)-1]
	kind := routing.Answered
	if w.rng.IntN(4) == 0 {
		kind = routing.OutcomeKind(w.rng.IntN(int(routing.Abandoned) + 1))
	}
	w.router.Done(at(w.now), ticket, routing.Outcome{
		Kind:    kind,
		Latency: time.Duration(w.rng.IntN(int(20 * time.Millisecond))),
		Load:    routing.Load{Running: w.rng.IntN(4), Marked: w.rng.IntN(8) == 0, Shedding: w.rng.IntN(8) == 0},
	})
}

func (w *randomRun) check() {
	s := w.router.Stats()
	w.c.Assert(s.Inflight, qt.Equals, len(w.tickets))
	w.c.Assert(float64(w.retries) <= routing.DefaultRetryBurst+routing.DefaultRetryShare*float64(w.firstAttempts), qt.IsTrue)
	window := 0
	for _, t := range s.Targets {
		w.c.Assert(t.Inflight >= 0, qt.IsTrue)
		w.c.Assert(t.Window >= 1 && t.Window <= w.targets[t.ID].MaxInflight, qt.IsTrue)
		if !t.Ejected && !t.Draining {
			window += t.Window
		}
	}
	w.c.Assert(s.Window, qt.Equals, window)
}

// Picks and outcomes of many requests race with changes of the set of targets.
func TestConcurrentUse(t *testing.T) {
	r := newRouter("a", "b", "c")
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 2000 {
				runAttempt(r, time.Duration(n), func(routing.TargetID) routing.OutcomeKind { return routing.OutcomeKind((n + i) % 6) })
				r.Stats()
			}
		})
	}
	for n := range uint64(200) {
		r.SetTargets(at(0), []routing.Target{{ID: "a", Slots: 8, MaxInflight: 64, Incarnation: n / 2}, {ID: "b", Slots: 8, MaxInflight: 64, Draining: n%2 == 0}})
	}
	wg.Wait()
	qt.Assert(t, r.Stats().Inflight, qt.Equals, 0)
}
