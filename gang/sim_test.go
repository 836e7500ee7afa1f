package gang

import (
	"flag"
	"testing"
	"time"
)

var (
	simRuns = flag.Int("gang.worlds", 40, "number of random simulations")
	simSeed = flag.Uint64("gang.seed", 1, "seed of the first simulation")
)

// Checks every start, every outcome and the final state while agents, planners,
// the store and the network fail. A longer run:
//
//	go test ./gang -run RandomFailures -v -gang.worlds 5000 -gang.seed 1000
func TestRandomFailures(t *testing.T) {
	var sum simStats
	for i := range *simRuns {
		s := newSimulation(t, *simSeed+uint64(i))
		s.run(600*time.Second, 1500*time.Second)
		sum.add(s.stats)
	}
	t.Logf("%d simulations from seed %d: %+v", *simRuns, *simSeed, sum)
	if sum.starts == 0 || sum.done == 0 || sum.notStarted == 0 || sum.lost == 0 ||
		sum.superseded == 0 || sum.recovered == 0 || sum.isolated == 0 ||
		sum.onPermit == 0 || sum.adoptable == 0 || sum.notFound == 0 || sum.permitsReturned == 0 || sum.reportedNotRun == 0 || sum.late == 0 {
		t.Fatalf("the simulations did not cover all outcomes: %+v", sum)
	}
}

func (s *simStats) add(o simStats) {
	s.starts += o.starts
	s.done += o.done
	s.notStarted += o.notStarted
	s.lost += o.lost
	s.superseded += o.superseded
	s.recovered += o.recovered
	s.isolated += o.isolated
	s.onPermit += o.onPermit
	s.adoptable += o.adoptable
	s.notFound += o.notFound
	s.permitsReturned += o.permitsReturned
	s.reportedNotRun += o.reportedNotRun
	s.overlaps += o.overlaps
	s.late += o.late
}
