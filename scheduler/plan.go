package scheduler

import (
	"slices"
	"time"
)

// ending is accelerators of a node that become available at a time.
type ending struct {
	at   time.Time
	node nodeID
	n    int
}

// plan finds where a job could start first, going by learned run times: the unit
// of its span where enough work ends soonest.
func (s *Scheduler) plan(j *job) ([]piece, time.Time) {
	k := j.key()
	groups := map[int32][]ending{}
	count := 0
	for _, n := range s.nodes {
		if n.capacity() == 0 || slices.Contains(j.failed, n.id) {
			continue
		}
		ends := s.endings(n, j)
		count += len(ends)
		span := spanOf(n, k.span)
		groups[span] = append(groups[span], ends...)
	}
	s.planAt = s.now.Add(max(planEvery, time.Duration(count)*planCost))
	var best []piece
	var ready time.Time
	bestSpan := int32(-1)
	for span, ends := range groups {
		at, t := s.gather(&k, ends)
		if at == nil || best != nil && (t.After(ready) || t.Equal(ready) && span > bestSpan) {
			continue
		}
		best, ready, bestSpan = at, t, span
	}
	return best, ready
}

// endings lists when accelerators of a node become available for a reservation.
// Work that may not be evicted can't count on what is bound to guarantees.
func (s *Scheduler) endings(n *node, j *job) []ending {
	borrows := j.borrows()
	have := n.capacity() - n.held + n.leave - n.claim - n.wait
	if !borrows {
		have = min(have, n.movable()-n.wait)
	}
	out := []ending{{s.now, n.id, have}}
	for _, r := range n.runs {
		k := r.on(n.id)
		if k == 0 || !r.protected && r.state == runStopping {
			continue
		}
		if !borrows && len(r.shares) > 0 {
			continue
		}
		out = append(out, ending{s.preemptEnd(r, j, s.endOf(r)), n.id, k})
	}
	return out
}

func (s *Scheduler) endOf(r *run) time.Time {
	total, _ := s.learned.total(&r.job.Job, s.now.Sub(r.started), endQuantile)
	return r.started.Add(total)
}

// gather accumulates the ends of work in one unit of a span until the job fits.
func (s *Scheduler) gather(k *queueKey, ends []ending) ([]piece, time.Time) {
	slices.SortStableFunc(ends, func(a, b ending) int { return a.at.Compare(b.at) })
	have := map[nodeID]int{}
	sum := 0
	for _, e := range ends {
		n := s.nodes[e.node]
		u := s.units(k, n)
		if u == 0 {
			continue
		}
		old := max(0, have[e.node]) / u
		have[e.node] += e.n
		sum += max(0, have[e.node])/u - old
		if sum >= k.accelerators {
			return s.pick(k, have), e.at
		}
	}
	return nil, time.Time{}
}

// pick takes what the job needs from the nodes that have most.
func (s *Scheduler) pick(k *queueKey, have map[nodeID]int) []piece {
	nodes := make([]nodeID, 0, len(have))
	for id, n := range have {
		if n > 0 {
			nodes = append(nodes, id)
		}
	}
	slices.SortFunc(nodes, func(a, b nodeID) int {
		if d := have[b] - have[a]; d != 0 {
			return d
		}
		return int(a - b)
	})
	need := k.accelerators
	var out []piece
	for _, id := range nodes {
		u := s.units(k, s.nodes[id])
		got := min(need, have[id]/u)
		if got == 0 {
			continue
		}
		out = append(out, piece{node: id, n: got * u})
		if need -= got; need == 0 {
			break
		}
	}
	return out
}
