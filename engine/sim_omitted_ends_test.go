package engine

import (
	"flag"
	"testing"
)

var (
	simEndSeeds = flag.Int("sim-end-seeds", 6, "number of random worlds in which workers list few ends at a time")
	simEndLimit = flag.Int("sim-end-limit", 2, "how many ends a worker lists at a time in these worlds")
)

// Guards against tasks that run twice because a worker's list of ends is taken for complete, with the faults
// of TestSimulation or those of worlds in which workers keep their names.
func TestSimulationWithOmittedEnds(t *testing.T) {
	runSimulations(t, *simEndSeeds, func(w *simCluster, seed uint64) {
		w.listedEnds = *simEndLimit
		if seed%2 == 0 {
			planReusedNames(w, seed/2)
		} else {
			w.planFaults(faultTime)
		}
	})
}

// Guards against the same while messages are delayed and processes are paused.
func TestSimulationWithDelaysAndOmittedEnds(t *testing.T) {
	runSimulations(t, *simEndSeeds, func(w *simCluster, seed uint64) {
		w.listedEnds = *simEndLimit
		if seed%2 == 0 {
			w.reuseNames()
			w.planCrashes(faultTime)
		}
		w.useAgents(seed)
		w.planFaults(faultTime)
		w.planProcessFaults(faultTime)
	})
}
