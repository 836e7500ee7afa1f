package engine

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var simNameSeeds = flag.Int("sim-name-seeds", 6, "number of random worlds in which workers keep their names")

// Guards against tasks that run twice when crashed workers return under the same name and receive
// orders meant for their previous incarnation.
func TestSimulationWithReusedWorkerNames(t *testing.T) {
	runSimulations(t, *simNameSeeds, planReusedNames)
}

func planReusedNames(w *simCluster, seed uint64) {
	w.reuseNames()
	w.planFaults(faultTime)
	w.planCrashes(faultTime)
	w.planAgentRestarts(faultTime)
	if seed%2 == 0 {
		w.addCrashingTasks()
	}
}

// reuseNames makes the workers keep their names in later incarnations.
func (w *simCluster) reuseNames() {
	w.reusesNames = true
	for i, sw := range w.workers {
		sw.info.Name = simWorkerName(i)
	}
}

func simWorkerName(worker int) string { return fmt.Sprint("w", worker) }

// planCrashes schedules crashes of workers, some of them simultaneous.
func (w *simCluster) planCrashes(end time.Duration) {
	for range 5 + w.rng.IntN(15) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		for range 1 + w.rng.IntN(4) {
			i := w.rng.IntN(len(w.workers))
			w.events = append(w.events, simEvent{at, func() { w.crash(i) }})
		}
	}
}

// planAgentRestarts schedules failed polls, some of them followed by a restart of the agent.
func (w *simCluster) planAgentRestarts(end time.Duration) {
	for range 5 + w.rng.IntN(15) {
		at := time.Duration(w.rng.Int64N(int64(end)))
		i, restart := w.rng.IntN(len(w.workers)), w.rng.IntN(2) == 0
		w.events = append(w.events, simEvent{at, func() { w.workers[i].failPoll(restart) }})
	}
}

// failPoll makes the agent raise the fence by itself, and optionally restart.
func (w *simWorker) failPoll(restart bool) {
	if w.dead || w.orderFence.Epoch == 0 {
		return
	}
	w.raiseFence(Fence{Epoch: w.orderFence.Epoch, Generation: w.orderFence.Generation + 1})
	if restart {
		w.orderFence, w.grantedUntil, w.ackedEnds = Fence{}, 0, 0
	}
}

// outbidFence raises the agent's fence if its worker has seen a higher one of the same epoch.
func (w *simWorker) outbidFence() {
	if w.info.Name != "" && w.orderFence.Epoch > 0 && w.orderFence.Compare(w.fence) < 0 {
		w.orderFence.Generation += GenerationStep
		w.raiseFence(w.orderFence)
	}
}

// downtime returns the time from a crash of a worker to its next incarnation.
func (w *simCluster) downtime() time.Duration {
	if w.reusesNames {
		return time.Duration(20+w.rng.IntN(1200)) * time.Millisecond
	}
	return time.Second
}

// recipient returns the worker that the agent sends orders for an incarnation to, or nil. Until
// the agent has noticed a new incarnation under the same name, it is the dead one, and
// executeOrders carries the orders out on the new one.
func (w *simCluster) recipient(id WorkerID) *simWorker {
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

// fenceDelay is the longest time until an agent fences the next incarnation of its worker.
const fenceDelay = 30 * time.Millisecond

// succeed makes w the incarnation after previous. Its agent may have been lost with previous.
func (w *simWorker) succeed(previous *simWorker) {
	if w.info.Name == "" {
		return
	}
	w.previous, previous.next = previous, w
	w.disconnected = previous.disconnected
	if w.cluster.delays != nil {
		return // fenced by its agent's polls
	}
	if w.cluster.rng.IntN(3) == 0 {
		return
	}
	w.orderFence = previous.orderFence
	w.orderFence.Generation += GenerationStep
	w.cluster.after(time.Duration(w.cluster.rng.Int64N(int64(fenceDelay))), func() { w.raiseFence(w.orderFence) })
}

// latest returns the current incarnation of the worker.
func (w *simWorker) latest() *simWorker {
	for w.next != nil {
		w = w.next
	}
	return w
}

// raiseFence raises the fence of the agent's orders, which the worker sees at once.
func (w *simWorker) raiseFence(f Fence) {
	w.orderFence = w.orderFence.Max(f)
	w.fence = w.fence.Max(w.orderFence)
	w.fenced = w.orderFence.Epoch > 0 // a restarted agent does not know the planner yet
}
