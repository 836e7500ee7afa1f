package admission_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/admission"
)

var (
	steps = flag.Int("steps", 100_000, "steps of the randomised run")
	seed  = flag.Uint64("seed", 1, "seed of the randomised run")
)

const maxServiceTime = 50 * time.Millisecond // in the randomised run

// trackedRequest is a request as the test expects the queue to know it.
type trackedRequest struct {
	account   string
	deadline  time.Time
	startedAt time.Duration
}

// randomRun drives a queue with random events and checks its invariants after each.
type randomRun struct {
	c                 *qt.C
	rng               *rand.Rand
	queue             *admission.Queue
	now               time.Duration
	lastID            admission.ID
	slots             int
	weights           map[string]int
	queued            map[admission.ID]trackedRequest
	running           map[admission.ID]trackedRequest
	runningOrder      []admission.ID // the keys of running in a reproducible order
	queuedByAccount   map[string]int
	slotTimeByAccount map[string]time.Duration
	draining          bool
}

// Guards the bounds, fairness and reported load of a queue under random events.
func TestRandomEvents(t *testing.T) {
	t.Logf("seed %d, %d steps", *seed, *steps)
	rng := rand.New(rand.NewPCG(*seed, 0))
	for remaining := *steps; remaining > 0; remaining -= 10_000 {
		rr := &randomRun{c: qt.New(t), rng: rng, slots: 4, queuedByAccount: map[string]int{}, slotTimeByAccount: map[string]time.Duration{}}
		rr.weights = map[string]int{"a": 1 + rng.IntN(4), "b": 1 + rng.IntN(4), "c": 1}
		rr.queued, rr.running = map[admission.ID]trackedRequest{}, map[admission.ID]trackedRequest{}
		rr.queue = admission.New(admission.Options{Slots: rr.slots, MaxQueuedPerAccount: 20, MaxQueued: 50})
		rr.apply(admission.PolicyChanged{Weights: rr.weights})
		for range min(remaining, 10_000) {
			rr.now += time.Duration(rr.rng.IntN(4000)) * time.Microsecond
			rr.step()
			rr.check()
		}
	}
}

func (rr *randomRun) step() {
	switch n := rr.rng.IntN(1000); {
	case n < 600:
		rr.arrive()
	case n < 950:
		rr.finish()
	case n < 970:
		rr.cancel()
	case n < 975:
		rr.slots = 1 + rr.rng.IntN(4)
		rr.apply(admission.SlotsChanged{Slots: rr.slots})
	case n == 999 && rr.rng.IntN(20) == 0:
		rr.draining = true
		rr.apply(admission.Drain{})
	default:
		rr.apply(admission.Tick{})
	}
}

func (rr *randomRun) arrive() {
	rr.lastID++
	r := trackedRequest{account: string(rune('a' + rr.rng.IntN(3)))}
	if rr.rng.IntN(2) == 0 {
		r.deadline = at(rr.now + time.Duration(rr.rng.IntN(300))*time.Millisecond)
	}
	rr.queued[rr.lastID] = r
	rr.queuedByAccount[r.account]++
	rr.apply(admission.Arrived{ID: rr.lastID, Account: r.account, Class: r.account, Deadline: r.deadline})
}

func (rr *randomRun) finish() {
	if len(rr.runningOrder) == 0 {
		return
	}
	i := rr.rng.IntN(len(rr.runningOrder))
	id := rr.runningOrder[i]
	rr.runningOrder = append(rr.runningOrder[:i], rr.runningOrder[i+1:]...)
	r := rr.running[id]
	delete(rr.running, id)
	slotTime := min(rr.now-r.startedAt, maxServiceTime)
	rr.slotTimeByAccount[r.account] += slotTime
	rr.apply(admission.Finished{ID: id, SlotTime: slotTime})
}

// cancel withdraws a request that may be queued, running, answered or unknown.
func (rr *randomRun) cancel() {
	id := rr.lastID - admission.ID(rr.rng.IntN(20))
	rr.removeQueued(id)
	rr.apply(admission.Cancelled{ID: id})
}

// removeQueued removes a request that the queue started, refused or cancelled, and
// reports whether it was queued.
func (rr *randomRun) removeQueued(id admission.ID) (trackedRequest, bool) {
	r, ok := rr.queued[id]
	if ok {
		delete(rr.queued, id)
		rr.queuedByAccount[r.account]--
	}
	return r, ok
}

func (rr *randomRun) apply(ev admission.Event) {
	before := len(rr.running)
	for _, action := range rr.queue.Step(at(rr.now), ev) {
		switch action := action.(type) {
		case admission.Run:
			r, ok := rr.removeQueued(action.ID)
			rr.c.Assert(ok, qt.IsTrue)
			rr.c.Assert(r.deadline.IsZero() || at(rr.now).Before(r.deadline), qt.IsTrue)
			r.startedAt = rr.now
			rr.running[action.ID] = r
			rr.runningOrder = append(rr.runningOrder, action.ID)
		case admission.Refuse:
			_, ok := rr.removeQueued(action.ID)
			rr.c.Assert(ok, qt.IsTrue)
			rr.c.Assert(action.Reason == admission.ReasonDraining || action.RetryAfter > 0, qt.IsTrue)
		}
	}
	rr.c.Assert(len(rr.running) <= max(before, rr.slots), qt.IsTrue)
}

func (rr *randomRun) check() {
	l := rr.queue.Load(at(rr.now))
	rr.c.Assert(l.Running, qt.Equals, len(rr.running))
	rr.c.Assert(l.Queued, qt.Equals, len(rr.queued))
	rr.c.Assert(l.Queued == 0 || l.Running >= rr.slots, qt.IsTrue)
	rr.c.Assert(l.Draining, qt.Equals, rr.draining)
	// While two accounts both have requests queued, their slot times by weight
	// differ at most by what all slots may spend on either at once.
	if rr.queuedByAccount["a"] == 0 || rr.queuedByAccount["b"] == 0 {
		clear(rr.slotTimeByAccount)
		return
	}
	a, b := rr.slotTimeByAccount["a"]/time.Duration(rr.weights["a"]), rr.slotTimeByAccount["b"]/time.Duration(rr.weights["b"])
	rr.c.Assert((a-b).Abs() <= 2*4*maxServiceTime, qt.IsTrue, qt.Commentf("slot times by weight: %v and %v", a, b))
}
