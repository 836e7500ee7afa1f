package scheduler

import (
	"slices"
	"time"
)

// minBackfillWait is the shortest expected wait of a reservation that
// preemptible work may backfill.
const minBackfillWait = 30 * time.Second

// findPreemptibleBackfill looks for idle capacity of a reservation that still
// waits for other work. Only checkpointable jobs run there: they are stopped
// once the rest is free, and lose no work. A reservation that waits only for
// blocks to move is not backfilled, since the job would be stopped and started
// over and over.
func (s *Scheduler) findPreemptibleBackfill(j *job, k *queueKey) ([]allocation, *claim) {
	if !j.Checkpointable || !j.mayBorrow() || j.Urgent || j.claim != nil || !s.fitsMinShare(k) {
		return nil, nil
	}
	for _, c := range s.claims {
		if c.guaranteed() || c.readyAt.Sub(s.now) < minBackfillWait {
			continue
		}
		if _, onlyBackfilled := s.backfilledRuns(c); onlyBackfilled {
			continue
		}
		if place := s.placeInReservation(c, k); place != nil {
			return place, c
		}
	}
	return nil, nil
}

// placeInReservation returns a place for a job on idle capacity of a
// reservation, or nil.
func (s *Scheduler) placeInReservation(c *claim, k *queueKey) []allocation {
	sums := map[int32]int{}
	idle := func(p allocation) int { return min(p.count, s.nodes[p.node].free()) }
	for _, p := range c.allocations {
		sums[unitOf(s.nodes[p.node], k.span)] += idle(p)
	}
	allocations := slices.Clone(c.allocations)
	slices.SortStableFunc(allocations, func(a, b allocation) int { return idle(b) - idle(a) })
	for _, first := range allocations {
		unit := unitOf(s.nodes[first.node], k.span)
		if sums[unit] < k.accelerators {
			continue
		}
		var out []allocation
		need := k.accelerators
		for _, p := range allocations {
			got := min(need, idle(p))
			if unitOf(s.nodes[p.node], k.span) != unit || got == 0 {
				continue
			}
			out = append(out, allocation{node: p.node, count: got})
			if need -= got; need == 0 {
				return out
			}
		}
	}
	return nil
}

// stopBackfilled stops the attempts that backfill a reservation once nothing
// else keeps it from being complete.
func (s *Scheduler) stopBackfilled(c *claim) {
	backfilled, onlyBackfilled := s.backfilledRuns(c)
	if !onlyBackfilled {
		return
	}
	for _, r := range backfilled {
		s.stopRun(r, StopReclaim, true)
	}
}

// backfilledRuns lists the backfilling attempts that must stop for a
// reservation to be complete, and reports whether it waits for nothing else.
func (s *Scheduler) backfilledRuns(c *claim) ([]*run, bool) {
	var out []*run
	for _, p := range c.allocations {
		n := s.nodes[p.node]
		short := p.count - s.availableSoon(n, out)
		for _, r := range n.runs {
			if short <= 0 {
				break
			}
			if r.backfilled == c && r.state != runStopping && !slices.Contains(out, r) {
				short -= r.acceleratorsOn(n.id)
				out = append(out, r)
			}
		}
		if short > 0 {
			return nil, false
		}
	}
	return out, true
}
