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

const maxServiceTime = 50 * time.Millisecond // service time in the randomised run

type trackedRequest struct {
	account   string
	deadline  time.Time
	startedAt time.Duration
}

// randomRun drives a queue with random events and keeps its own account of what
// must hold.
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
	runningOrder      []admission.ID // of running, so that a run repeats
	queuedByAccount   map[string]int // queued by account
	slotTimeByAccount map[string]time.Duration
	draining          bool
}

func TestRandomEvents(t *testing.T) {
	t.Logf("seed %d, %d steps", *seed, *steps)
	rng := rand.New(rand.NewPCG(*seed, 0))
	for left := *steps; left > 0; left -= 10_000 {
		w := &randomRun{c: qt.New(t), rng: rng, slots: 4, queuedByAccount: map[string]int{}, slotTimeByAccount: map[string]time.Duration{}}
		w.weights = map[string]int{"a": 1 + rng.IntN(4), "b": 1 + rng.IntN(4), "c": 1}
		w.queued, w.running = map[admission.ID]trackedRequest{}, map[admission.ID]trackedRequest{}
		w.queue = admission.New(admission.Options{Slots: w.slots, MaxQueuedPerAccount: 20, MaxQueued: 50})
		w.apply(admission.PolicyChanged{Weights: w.weights})
		for range min(left, 10_000) {
			w.now += time.Duration(w.rng.IntN(4000)) * time.Microsecond
			w.step()
			w.check()
		}
	}
}

func (w *randomRun) step() {
	switch n := w.rng.IntN(1000); {
	case n < 600:
		w.arrive()
	case n < 950:
		w.finish()
	case n < 970:
		w.cancel()
	case n < 975:
		w.slots = 1 + w.rng.IntN(4)
		w.apply(admission.SlotsChanged{Slots: w.slots})
	case n == 999 && w.rng.IntN(20) == 0:
		w.draining = true
		w.apply(admission.Drain{})
	default:
		w.apply(admission.Tick{})
	}
}

func (w *randomRun) arrive() {
	w.lastID++
	r := trackedRequest{account: string(rune('a' + w.rng.IntN(3)))}
	if w.rng.IntN(2) == 0 {
		r.deadline = at(w.now + time.Duration(w.rng.IntN(300))*time.Millisecond)
	}
	w.queued[w.lastID] = r
	w.queuedByAccount[r.account]++
	w.apply(admission.Arrived{ID: w.lastID, Account: r.account, Class: r.account, Deadline: r.deadline})
}

func (w *randomRun) finish() {
	if len(w.runningOrder) == 0 {
		return
	}
	i := w.rng.IntN(len(w.runningOrder))
	id := w.runningOrder[i]
	w.runningOrder = append(w.runningOrder[:i], w.runningOrder[i+1:]...)
	r := w.running[id]
	delete(w.running, id)
	took := min(w.now-r.startedAt, maxServiceTime)
	w.slotTimeByAccount[r.account] += took
	w.apply(admission.Finished{ID: id, SlotTime: took})
}

// cancel withdraws a request that may be queued, running, answered or unknown.
func (w *randomRun) cancel() {
	id := w.lastID - admission.ID(w.rng.IntN(20))
	w.removeQueued(id)
	w.apply(admission.Cancelled{ID: id})
}

// removeQueued takes a request out of the queue; it must not be answered again.
func (w *randomRun) removeQueued(id admission.ID) (trackedRequest, bool) {
	r, ok := w.queued[id]
	if ok {
		delete(w.queued, id)
		w.queuedByAccount[r.account]--
	}
	return r, ok
}

func (w *randomRun) apply(ev admission.Event) {
	before := len(w.running)
	for _, action := range w.queue.HandleEvent(at(w.now), ev) {
		switch action := action.(type) {
		case admission.Run:
			r, ok := w.removeQueued(action.ID)
			w.c.Assert(ok, qt.IsTrue)
			w.c.Assert(r.deadline.IsZero() || at(w.now).Before(r.deadline), qt.IsTrue)
			r.startedAt = w.now
			w.running[action.ID] = r
			w.runningOrder = append(w.runningOrder, action.ID)
		case admission.Refuse:
			_, ok := w.removeQueued(action.ID)
			w.c.Assert(ok, qt.IsTrue)
			w.c.Assert(action.Reason == admission.ReasonDraining || action.RetryAfter > 0, qt.IsTrue)
		}
	}
	w.c.Assert(len(w.running) <= max(before, w.slots), qt.IsTrue)
}

func (w *randomRun) check() {
	l := w.queue.Load(at(w.now))
	w.c.Assert(l.Running, qt.Equals, len(w.running))
	w.c.Assert(l.Queued, qt.Equals, len(w.queued))
	w.c.Assert(l.Queued == 0 || l.Running >= w.slots, qt.IsTrue)
	w.c.Assert(l.Draining, qt.Equals, w.draining)
	// While two accounts both have work queued, their slot time by weight stays
	// within what all slots may hold of either at once.
	if w.queuedByAccount["a"] == 0 || w.queuedByAccount["b"] == 0 {
		clear(w.slotTimeByAccount)
		return
	}
	a, b := w.slotTimeByAccount["a"]/time.Duration(w.weights["a"]), w.slotTimeByAccount["b"]/time.Duration(w.weights["b"])
	w.c.Assert((a-b).Abs() <= 2*4*maxServiceTime, qt.IsTrue, qt.Commentf("%v and %v", a, b))
}
