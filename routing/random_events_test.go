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

// randomRun drives a router with random events and checks its invariants after each.
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

// Guards the retry budget, windows and choice of targets under random events.
func TestRandomEvents(t *testing.T) {
	t.Logf("seed %d, %d steps", *seed, *steps)
	rr := &randomRun{c: qt.New(t), rng: rand.New(rand.NewPCG(*seed, 0)), targets: map[routing.TargetID]*routing.Target{}}
	rr.router = routing.New(routing.Options{Seed: *seed, Zone: "east"})
	for range *steps {
		rr.now += time.Duration(rr.rng.IntN(2000)) * time.Microsecond
		rr.step()
		rr.check()
	}
}

func (rr *randomRun) step() {
	id := targetID(rr.rng.IntN(6))
	switch n := rr.rng.IntN(100); {
	case n < 40:
		rr.pick()
	case n < 80:
		rr.done()
	case n < 82:
		rr.router.ProbeFailed(at(rr.now), id)
	case n < 83:
		rr.router.ProbeSucceeded(at(rr.now), id)
	case n < 97 && rr.router.AllowRetry(at(rr.now), fmt.Sprint(rr.rng.IntN(3))):
		rr.retries++
	case n >= 97:
		rr.changeTarget(id)
	}
}

func (rr *randomRun) changeTarget(id routing.TargetID) {
	t := rr.targets[id]
	switch {
	case t == nil:
		rr.targets[id] = &routing.Target{ID: id, Zone: "east", Slots: 4, MaxInflight: 1 + rr.rng.IntN(16)}
	case rr.rng.IntN(3) == 0:
		delete(rr.targets, id)
	case t.Draining:
		*t = routing.Target{ID: id, Slots: 4, MaxInflight: 16, Incarnation: t.Incarnation + 1}
	default:
		t.Draining = true
	}
	var ts []routing.Target
	for i := range 6 {
		if t := rr.targets[targetID(i)]; t != nil {
			ts = append(ts, *t)
		}
	}
	rr.router.SetTargets(at(rr.now), ts)
}

func (rr *randomRun) pick() {
	exclude := targetID(rr.rng.IntN(6))
	q := routing.PickInfo{Account: fmt.Sprint(rr.rng.IntN(3)), Exclude: []routing.TargetID{exclude}, AtMostOnce: rr.rng.IntN(2) == 0}
	rr.firstAttempts++
	ticket, refusal := rr.router.Pick(at(rr.now), q)
	if !refusal.OK() {
		rr.c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
		return
	}
	t := rr.targets[ticket.Target]
	rr.c.Assert(t, qt.IsNotNil)
	rr.c.Assert(t.Draining, qt.IsFalse)
	rr.c.Assert(t.Incarnation, qt.Equals, ticket.Incarnation)
	rr.c.Assert(ticket.Target, qt.Not(qt.Equals), exclude)
	rr.tickets = append(rr.tickets, ticket)
}

func (rr *randomRun) done() {
	if len(rr.tickets) == 0 {
		return
	}
	i := rr.rng.IntN(len(rr.tickets))
	ticket := rr.tickets[i]
	rr.tickets[i] = rr.tickets[len(rr.tickets)-1]
	rr.tickets = rr.tickets[:len(rr.tickets)-1]
	kind := routing.Answered
	if rr.rng.IntN(4) == 0 {
		kind = routing.OutcomeKind(rr.rng.IntN(int(routing.Abandoned) + 1))
	}
	rr.router.Done(at(rr.now), ticket, routing.Outcome{
		Kind:    kind,
		Latency: time.Duration(rr.rng.IntN(int(20 * time.Millisecond))),
		Load:    routing.Load{Running: rr.rng.IntN(4), Marked: rr.rng.IntN(8) == 0, Shedding: rr.rng.IntN(8) == 0},
	})
}

func (rr *randomRun) check() {
	s := rr.router.Stats()
	rr.c.Assert(s.Inflight, qt.Equals, len(rr.tickets))
	rr.c.Assert(float64(rr.retries) <= routing.DefaultRetryBurst+routing.DefaultRetryShare*float64(rr.firstAttempts), qt.IsTrue)
	window := 0
	for _, t := range s.Targets {
		rr.c.Assert(t.Inflight >= 0, qt.IsTrue)
		rr.c.Assert(t.Window >= 1 && t.Window <= rr.targets[t.ID].MaxInflight, qt.IsTrue)
		if !t.Ejected && !t.Draining {
			window += t.Window
		}
	}
	rr.c.Assert(s.Window, qt.Equals, window)
}

// Guards against data races between Pick, Done, Stats and SetTargets.
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
