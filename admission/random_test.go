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

const longest = 50 * time.Millisecond // service time in the randomised run

type entered struct {
	account  string
	deadline time.Time
	began    time.Duration
}

// world drives a queue with random events and keeps its own account of what
// must hold.
type world struct {
	c       *qt.C
	rng     *rand.Rand
	queue   *admission.Queue
	now     time.Duration
	next    admission.ID
	slots   int
	weights map[string]int
	queued  map[admission.ID]entered
	running map[admission.ID]entered
	order   []admission.ID // of running, so that a run repeats
	waiting map[string]int // queued by account
	served  map[string]time.Duration
	drained bool
}

func TestRandomRun(t *testing.T) {
	t.Logf("seed %d, %d steps", *seed, *steps)
	rng := rand.New(rand.NewPCG(*seed, 0))
	for left := *steps; left > 0; left -= 10_000 {
		w := &world{c: qt.New(t), rng: rng, slots: 4, waiting: map[string]int{}, served: map[string]time.Duration{}}
		w.weights = map[string]int{"a": 1 + rng.IntN(4), "b": 1 + rng.IntN(4), "c": 1}
		w.queued, w.running = map[admission.ID]entered{}, map[admission.ID]entered{}
		w.queue = admission.New(admission.Options{Slots: w.slots, MaxQueuedPerAccount: 20, MaxQueued: 50})
		w.act(admission.PolicyChanged{Weights: w.weights})
		for range min(left, 10_000) {
			w.now += time.Duration(w.rng.IntN(4000)) * time.Microsecond
			w.step()
			w.check()
		}
	}
}

func (w *world) step() {
	switch n := w.rng.IntN(1000); {
	case n < 600:
		w.arrive()
	case n < 950:
		w.finish()
	case n < 970:
		w.cancel()
	case n < 975:
		w.slots = 1 + w.rng.IntN(4)
		w.act(admission.SlotsChanged{Slots: w.slots})
	case n == 999 && w.rng.IntN(20) == 0:
		w.drained = true
		w.act(admission.Drain{})
	default:
		w.act(admission.Tick{})
	}
}

func (w *world) arrive() {
	w.next++
	r := entered{account: string(rune('a' + w.rng.IntN(3)))}
	if w.rng.IntN(2) == 0 {
		r.deadline = at(w.now + time.Duration(w.rng.IntN(300))*time.Millisecond)
	}
	w.queued[w.next] = r
	w.waiting[r.account]++
	w.act(admission.Arrived{ID: w.next, Account: r.account, Class: r.account, Deadline: r.deadline})
}

func (w *world) finish() {
	if len(w.order) == 0 {
		return
	}
	i := w.rng.IntN(len(w.order))
	id := w.order[i]
	w.order = append(w.order[:i], w.order[i+1:]...)
	r := w.running[id]
	delete(w.running, id)
	took := min(w.now-r.began, longest)
	w.served[r.account] += took
	w.act(admission.Finished{ID: id, SlotTime: took})
}

// cancel withdraws a request that may be queued, running, answered or unknown.
func (w *world) cancel() {
	id := w.next - admission.ID(w.rng.IntN(20))
	w.leave(id)
	w.act(admission.Cancelled{ID: id})
}

// leave takes a request out of the queue; it must not be answered again.
func (w *world) leave(id admission.ID) (entered, bool) {
	r, ok := w.queued[id]
	if ok {
		delete(w.queued, id)
		w.waiting[r.account]--
	}
	return r, ok
}

func (w *world) act(ev admission.Event) {
	before := len(w.running)
	for _, action := range w.queue.HandleEvent(at(w.now), ev) {
		switch action := action.(type) {
		case admission.Run:
			r, ok := w.leave(action.ID)
			w.c.Assert(ok, qt.IsTrue)
			w.c.Assert(r.deadline.IsZero() || at(w.now).Before(r.deadline), qt.IsTrue)
			r.began = w.now
			w.running[action.ID] = r
			w.order = append(w.order, action.ID)
		case admission.Refuse:
			_, ok := w.leave(action.ID)
			w.c.Assert(ok, qt.IsTrue)
			w.c.Assert(action.Reason == admission.ReasonDraining || action.RetryAfter > 0, qt.IsTrue)
		}
	}
	w.c.Assert(len(w.running) <= max(before, w.slots), qt.IsTrue)
}

func (w *world) check() {
	l := w.queue.Load(at(w.now))
	w.c.Assert(l.Running, qt.Equals, len(w.running))
	w.c.Assert(l.Queued, qt.Equals, len(w.queued))
	w.c.Assert(l.Queued == 0 || l.Running >= w.slots, qt.IsTrue)
	w.c.Assert(l.Draining, qt.Equals, w.drained)
	// While two accounts both have work queued, their slot time by weight stays
	// within what all slots may hold of either at once.
	if w.waiting["a"] == 0 || w.waiting["b"] == 0 {
		clear(w.served)
		return
	}
	a, b := w.served["a"]/time.Duration(w.weights["a"]), w.served["b"]/time.Duration(w.weights["b"])
	w.c.Assert((a-b).Abs() <= 2*4*longest, qt.IsTrue, qt.Commentf("%v and %v", a, b))
}
