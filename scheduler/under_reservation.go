package scheduler

import (
	"slices"
	"time"
)

// minBackfillWait is how far off a reservation must be for work to run under it.
const minBackfillWait = 30 * time.Second

// findPreemptibleBackfill looks for room under a reservation that still waits for other work
// to end. Only a job that can checkpoint runs there: it makes way at once when
// the rest is free, and loses no work by that. Under a reservation that waits for
// nothing else but a block to move, it would be stopped and started without end.
func (s *Scheduler) findPreemptibleBackfill(j *job, k *queueKey) ([]allocation, *claim) {
	if !j.Checkpointable || !j.mayBorrow() || j.Urgent || j.claim != nil || !s.fitsMinShare(k) {
		return nil, nil
	}
	for _, c := range s.claims {
		if c.guaranteed() || c.readyAt.Sub(s.now) < minBackfillWait {
			continue
		}
		if _, due := s.backfilledRuns(c); due {
			continue
		}
		if place := s.placeInReservation(c, k); place != nil {
			return place, c
		}
	}
	return nil, nil
}

// placeInReservation returns a place for a job on what is idle under a reservation.
func (s *Scheduler) placeInReservation(c *claim, k *queueKey) []allocation {
	sums := map[int32]int{}
	idle := func(p allocation) int { return min(p.count, s.nodes[p.node].free()) }
	for _, p := range c.allocations {
		sums[unitOf(s.nodes[p.node], k.span)] += idle(p)
	}
	allocations := slices.Clone(c.allocations)
	slices.SortStableFunc(allocations, func(a, b allocation) int { return idle(b) - idle(a) })
	for _, first := range allocations {
		span := unitOf(s.nodes[first.node], k.span)
		if sums[span] < k.accelerators {
			continue
		}
		var out []allocation
		need := k.accelerators
		for _, p := range allocations {
			got := min(need, idle(p))
			if unitOf(s.nodes[p.node], k.span) != span || got == 0 {
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

// stopBackfilled stops the work under a reservation once nothing else keeps the
// reservation from being complete.
func (s *Scheduler) stopBackfilled(c *claim) {
	under, due := s.backfilledRuns(c)
	if !due {
		return
	}
	for _, r := range under {
		s.stopRun(r, StopReclaim, true)
	}
}

// backfilledRuns lists the work that a reservation has to wait for among that under
// it, and reports whether it waits for nothing else.
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
