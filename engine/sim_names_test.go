package engine

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var simNameSeeds = flag.Int("sim-name-seeds", 6, "how many randomised worlds are played in which workers keep their names")

// Workers crash again and again and are back within a moment under their names, so that
// orders to a life that is over, which were on their way or got no answer, are carried out by
// the next one. Some agents are lost with their worker and know nothing of its last life; others
// are started again beside a worker that they had fenced by themselves. In every second world
// some tasks crash their workers, and workers lose room. All that with the faults of
// TestRandomWorlds: planners die, agents are cut off, the store is out. No task may run twice at
// a time, nor start after its end was taken note of, and when the faults end every job is
// settled; where tasks crash their workers, what TestRandomWorldsWithCrashingTasks asks.
func TestRandomWorldsWithWorkersThatKeepTheirNames(t *testing.T) {
	playWorlds(t, *simNameSeeds, func(w *simWorld, seed uint64) {
		w.nameWorkers()
		w.faults(faultTime)
		w.crashMany(faultTime)
		w.restartAgents(faultTime)
		if seed%2 == 0 {
			w.crashSome()
		}
	})
}

// nameWorkers lets the workers keep their names in their further lives.
func (w *simWorld) nameWorkers() {
	w.keepNames = true
	for i, sw := range w.workers {
		sw.info.Name = nameOf(i)
	}
}

func nameOf(worker int) string { return fmt.Sprint("w", worker) }

// crashMany plans crashes of workers, some of them several at once.
func (w *simWorld) crashMany(end time.Duration) {
	for range 5 + w.rng.IntN(15) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		for range 1 + w.rng.IntN(4) {
			i := w.rng.IntN(len(w.workers))
			w.events = append(w.events, simEvent{at, func() { w.crash(i) }})
		}
	}
}

// restartAgents plans agents that have no answer of their worker for a moment, and some of
// them are started again later.
func (w *simWorld) restartAgents(end time.Duration) {
	for range 5 + w.rng.IntN(15) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		i, restart := w.rng.IntN(len(w.workers)), w.rng.IntN(2) == 0
		w.events = append(w.events, simEvent{at, func() { w.workers[i].unanswered(restart) }})
	}
}

// unanswered lets the agent fence its worker by itself, and start again where that is asked for.
func (w *simWorker) unanswered(restart bool) {
	if w.dead || w.orders.Epoch == 0 {
		return
	}
	w.raise(Fence{Epoch: w.orders.Epoch, Generation: w.orders.Generation + 1})
	if restart {
		w.orders, w.granted, w.seen = Fence{}, 0, 0
	}
}

// overtake raises the fence of an agent whose worker has seen a higher one of the same epoch.
func (w *simWorker) overtake() {
	if w.info.Name != "" && w.orders.Epoch > 0 && w.orders.Compare(w.fence) < 0 {
		w.orders.Generation += GenerationStep
		w.raise(w.orders)
	}
}

// away is how long a worker is away after a crash.
func (w *simWorld) away() time.Duration {
	if w.keepNames {
		return time.Duration(20+w.rng.IntN(1200)) * time.Millisecond
	}
	return time.Second
}

// meant returns the worker that orders for a life reach now, nil for none: where its agent has
// not noticed yet that another life answers under its name, that one.
func (w *simWorld) meant(id WorkerID) *simWorker {
	for _, sw := range w.workers {
		if sw.info.ID == id && !sw.dead {
			return sw
		}
		if before := sw.before; before != nil && before.info.ID == id && !sw.noticed && !sw.dead {
			return before
		}
	}
	return nil
}

// unpreventable says whether orders of an earlier life come before anything could fence this
// one, and start what was settled long ago: nothing that they carry tells them from present
// orders, and nothing was sent since. They are not carried out in these worlds.
func (w *simWorld) unpreventable(sw *simWorker, o Orders) bool {
	if !w.late || sw.fenced {
		return false
	}
	return slices.ContainsFunc(o.Starts, func(s StartOrder) bool {
		return !slices.ContainsFunc(w.engine.sortedWorkers(), func(known *worker) bool {
			p := known.placements[s.Run.Task]
			return p != nil && p.runID() == s.Run
		})
	})
}

// fencedWithin is how soon an agent that saw its worker's last life fences the next one.
const fencedWithin = 30 * time.Millisecond

// follow makes w the life after another one. Its agent may have been lost with that.
func (w *simWorker) follow(before *simWorker) {
	if w.info.Name == "" {
		return
	}
	w.before, before.next = before, w
	w.cut = before.cut
	if w.world.rng.IntN(3) == 0 {
		return
	}
	w.orders = before.orders
	w.orders.Generation += GenerationStep
	w.world.after(time.Duration(w.world.rng.Int64N(int64(fencedWithin))), func() { w.raise(w.orders) })
}

// last returns the present life of the worker.
func (w *simWorker) last() *simWorker {
	for w.next != nil {
		w = w.next
	}
	return w
}

// raise lets the agent's orders carry a fence from now on, and look under it at once.
func (w *simWorker) raise(f Fence) {
	w.orders = w.orders.Max(f)
	w.fence = w.fence.Max(w.orders)
	w.fenced = w.orders.Epoch > 0 // an agent that was started again knows no planner yet
}
