package scheduler

import "slices"

// find returns a place for a job of the key in an index, in units of the nodes.
func (s *Scheduler) find(x *index, k *queueKey) []piece {
	if s.plain(k) {
		return x.place(k.accelerators, k.span, s.nodes)
	}
	return s.findUnits(x, k)
}

// spanOf numbers the unit of a span that a node belongs to.
func spanOf(n *node, span Adjacency) int32 {
	switch span {
	case AdjacentWorker:
		return n.id
	case AdjacentRack:
		return n.rack
	case AdjacentZone:
		return n.zone
	}
	return 0
}

// findUnits places a job that takes several units per accelerator on some
// workers. It visits every worker: such jobs are rare, and how many units they
// take differs from worker to worker, so no sum in the indexes fits.
func (s *Scheduler) findUnits(x *index, k *queueKey) []piece {
	fits := map[int32]int{}
	for _, n := range s.nodes {
		if u := s.units(k, n); u > 0 {
			fits[spanOf(n, k.span)] += int(x.val[n.id]) / u
		}
	}
	best := int32(-1)
	for span, sum := range fits {
		if sum < k.accelerators {
			continue
		}
		if best < 0 || sum < fits[best] || sum == fits[best] && span < best {
			best = span
		}
	}
	if best < 0 {
		return nil
	}
	return s.takeUnits(x, k, best)
}

func (s *Scheduler) takeUnits(x *index, k *queueKey, span int32) []piece {
	var on []*node
	for _, n := range s.nodes {
		if spanOf(n, k.span) == span && x.val[n.id] > 0 && s.units(k, n) > 0 {
			on = append(on, n)
		}
	}
	slices.SortStableFunc(on, func(a, b *node) int { return int(x.val[b.id]) - int(x.val[a.id]) })
	var out []piece
	need := k.accelerators
	for _, n := range on {
		u := s.units(k, n)
		got := min(need, int(x.val[n.id])/u)
		if got == 0 {
			continue
		}
		out = append(out, piece{node: n.id, n: got * u})
		if need -= got; need == 0 {
			break
		}
	}
	return out
}
