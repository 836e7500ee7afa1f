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
func TestRandomWorldsWithReusedWorkerNames(t *testing.T) {
	runWorlds(t, *simNameSeeds, func(w *simWorld, seed uint64) {
		w.reuseNames()
		w.planFaults(faultTime)
		w.planCrashes(faultTime)
		w.planAgentRestarts(faultTime)
		if seed%2 == 0 {
			w.addCrashingTasks()
		}
	})
}

// reuseNames lets the workers keep their names in their further lives.
func (w *simWorld) reuseNames() {
	w.reusesNames = true
	for i, sw := range w.workers {
		sw.info.Name = simWorkerName(i)
	}
}

func simWorkerName(worker int) string { return fmt.Sprint("w", worker) }

// planCrashes plans crashes of workers, some of them several at once.
func (w *simWorld) planCrashes(end time.Duration) {
	for range 5 + w.rng.IntN(15) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		for range 1 + w.rng.IntN(4) {
			i := w.rng.IntN(len(w.workers))
			w.events = append(w.events, simEvent{at, func() { w.crash(i) }})
		}
	}
}

// planAgentRestarts plans agents that have no answer of their worker for a moment, and some of
// them are started again later.
func (w *simWorld) planAgentRestarts(end time.Duration) {
	for range 5 + w.rng.IntN(15) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		i, restart := w.rng.IntN(len(w.workers)), w.rng.IntN(2) == 0
		w.events = append(w.events, simEvent{at, func() { w.workers[i].failPoll(restart) }})
	}
}

// failPoll lets the agent fence its worker by itself, and start again where that is asked for.
func (w *simWorker) failPoll(restart bool) {
	if w.dead || w.orderFence.Epoch == 0 {
		return
	}
	w.raiseFence(Fence{Epoch: w.orderFence.Epoch, Generation: w.orderFence.Generation + 1})
	if restart {
		w.orderFence, w.grantedUntil, w.ackedEnds = Fence{}, 0, 0
	}
}

// outbidFence raises the fence of an agent whose worker has seen a higher one of the same epoch.
func (w *simWorker) outbidFence() {
	if w.info.Name != "" && w.orderFence.Epoch > 0 && w.orderFence.Compare(w.fence) < 0 {
		w.orderFence.Generation += GenerationStep
		w.raiseFence(w.orderFence)
	}
}

// downtime is how long a worker is downtime after a crash.
func (w *simWorld) downtime() time.Duration {
	if w.reusesNames {
		return time.Duration(20+w.rng.IntN(1200)) * time.Millisecond
	}
	return time.Second
}

// recipient returns the worker that orders for a life reach now, nil for none: where its agent has
// not noticed yet that another life answers under its name, that one.
func (w *simWorld) recipient(id WorkerID) *simWorker {
	for _, sw := range w.workers {
		if sw.info.ID == id && !sw.dead {
			return sw
		}
		if before := sw.previous; before != nil && before.info.ID == id && !sw.reported && !sw.dead {
			return before
		}
	}
	return nil
}

// unfenceable says whether orders of an earlier life come before anything could fence this
// one, and start what was settled long ago: nothing that they carry tells them from present
// orders, and nothing was sent since. They are not carried out in these worlds.
func (w *simWorld) unfenceable(sw *simWorker, o Orders) bool {
	if !w.lateOrder || sw.fenced {
		return false
	}
	return slices.ContainsFunc(o.Starts, func(s StartOrder) bool {
		return !slices.ContainsFunc(w.engine.sortedWorkers(), func(known *worker) bool {
			p := known.placements[s.Run.Task]
			return p != nil && p.runID() == s.Run
		})
	})
}

// fenceDelay is how soon an agent that saw its worker's last life fences the next one.
const fenceDelay = 30 * time.Millisecond

// succeed makes w the life after another one. Its agent may have been lost with that.
func (w *simWorker) succeed(previous *simWorker) {
	if w.info.Name == "" {
		return
	}
	w.previous, previous.next = previous, w
	w.cut = previous.cut
	if w.world.rng.IntN(3) == 0 {
		return
	}
	w.orderFence = previous.orderFence
	w.orderFence.Generation += GenerationStep
	w.world.after(time.Duration(w.world.rng.Int64N(int64(fenceDelay))), func() { w.raiseFence(w.orderFence) })
}

// latest returns the present life of the worker.
func (w *simWorker) latest() *simWorker {
	for w.next != nil {
		w = w.next
	}
	return w
}

// raiseFence lets the agent's orders carry a fence from now on, and look under it at once.
func (w *simWorker) raiseFence(f Fence) {
	w.orderFence = w.orderFence.Max(f)
	w.fence = w.fence.Max(w.orderFence)
	w.fenced = w.orderFence.Epoch > 0 // an agent that was started again knows no planner yet
}
