package scheduler

import "slices"

// findPlace returns a place in an index for a job of the key, in accelerators
// scaled by its footprint, or nil.
func (s *Scheduler) findPlace(x *index, k *queueKey) []allocation {
	if s.fitsMinShare(k) {
		return x.findPlace(k.accelerators, k.span, s.nodes)
	}
	return s.findByFootprint(x, k)
}

// unitOf returns the number of the unit of a span that a node belongs to.
func unitOf(n *node, span Adjacency) int32 {
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

// findByFootprint places a job whose footprint may exceed 1. It visits every
// worker, since the footprint differs between workers and the sums in the
// indexes don't apply. Such jobs are rare.
func (s *Scheduler) findByFootprint(x *index, k *queueKey) []allocation {
	capacity := map[int32]int{}
	for _, n := range s.nodes {
		if u := s.footprint(k, n); u > 0 {
			capacity[unitOf(n, k.span)] += int(x.values[n.id]) / u
		}
	}
	best := int32(-1)
	for unit, sum := range capacity {
		if sum < k.accelerators {
			continue
		}
		if best < 0 || sum < capacity[best] || sum == capacity[best] && unit < best {
			best = unit
		}
	}
	if best < 0 {
		return nil
	}
	return s.takeByFootprint(x, k, best)
}

func (s *Scheduler) takeByFootprint(x *index, k *queueKey, unit int32) []allocation {
	var nodes []*node
	for _, n := range s.nodes {
		if unitOf(n, k.span) == unit && x.values[n.id] > 0 && s.footprint(k, n) > 0 {
			nodes = append(nodes, n)
		}
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return int(x.values[b.id]) - int(x.values[a.id]) })
	var out []allocation
	need := k.accelerators
	for _, n := range nodes {
		u := s.footprint(k, n)
		got := min(need, int(x.values[n.id])/u)
		if got == 0 {
			continue
		}
		out = append(out, allocation{node: n.id, count: got * u})
		if need -= got; need == 0 {
			break
		}
	}
	return out
}
