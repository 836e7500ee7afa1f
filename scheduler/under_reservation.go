package scheduler

import (
	"slices"
	"time"
)

// underAtLeast is how far off a reservation must be for work to run under it.
const underAtLeast = 30 * time.Second

// findUnderReservation looks for room under a reservation that still waits for other work
// to end. Only a job that can checkpoint runs there: it makes way at once when
// the rest is free, and loses no work by that. Under a reservation that waits for
// nothing else but a block to move, it would be stopped and started without end.
func (s *Scheduler) findUnderReservation(j *job, k *queueKey) ([]piece, *claim) {
	if !j.Checkpointable || !j.borrows() || j.Urgent || j.claim != nil || !s.plain(k) {
		return nil, nil
	}
	for _, c := range s.claims {
		if c.guaranteed() || c.ready.Sub(s.now) < underAtLeast {
			continue
		}
		if _, due := s.runsUnder(c); due {
			continue
		}
		if at := s.roomUnder(c, k); at != nil {
			return at, c
		}
	}
	return nil, nil
}

// roomUnder returns a place for a job on what is idle under a reservation.
func (s *Scheduler) roomUnder(c *claim, k *queueKey) []piece {
	sums := map[int32]int{}
	idle := func(p piece) int { return min(p.n, s.nodes[p.node].free()) }
	for _, p := range c.pieces {
		sums[spanOf(s.nodes[p.node], k.span)] += idle(p)
	}
	pieces := slices.Clone(c.pieces)
	slices.SortStableFunc(pieces, func(a, b piece) int { return idle(b) - idle(a) })
	for _, first := range pieces {
		span := spanOf(s.nodes[first.node], k.span)
		if sums[span] < k.accelerators {
			continue
		}
		var out []piece
		need := k.accelerators
		for _, p := range pieces {
			got := min(need, idle(p))
			if spanOf(s.nodes[p.node], k.span) != span || got == 0 {
				continue
			}
			out = append(out, piece{node: p.node, n: got})
			if need -= got; need == 0 {
				return out
			}
		}
	}
	return nil
}

// recall stops the work under a reservation once nothing else keeps the
// reservation from being complete.
func (s *Scheduler) recall(c *claim) {
	under, due := s.runsUnder(c)
	if !due {
		return
	}
	for _, r := range under {
		s.stopRun(r, StopReclaim, true)
	}
}

// runsUnder lists the work that a reservation has to wait for among that under
// it, and reports whether it waits for nothing else.
func (s *Scheduler) runsUnder(c *claim) ([]*run, bool) {
	var out []*run
	for _, p := range c.pieces {
		n := s.nodes[p.node]
		short := p.n - s.coming(n, out)
		for _, r := range n.runs {
			if short <= 0 {
				break
			}
			if r.under == c && r.state != runStopping && !slices.Contains(out, r) {
				short -= r.on(n.id)
				out = append(out, r)
			}
		}
		if short > 0 {
			return nil, false
		}
	}
	return out, true
}
