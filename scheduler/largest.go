package scheduler

// changes are differences to the value that an index gives some workers. A search
// that asks "what if" uses them in place of changing the index.
type changes map[nodeID]int

// byUnit sums the changes by unit of a span.
func (s *Scheduler) byUnit(span Adjacency, c changes) map[int32]int {
	out := make(map[int32]int, len(c))
	for id, d := range c {
		out[spanOf(s.nodes[id], span)] += d
	}
	return out
}

// without takes workers out of an index.
func without(x *index, nodes []nodeID) changes {
	c := make(changes, len(nodes))
	for _, id := range nodes {
		c[id] = -int(x.val[id])
	}
	return c
}

// largest is how many accelerators of a key the unit of its span with most of
// them holds, in an index with changes. A job of the key has a place exactly if
// it needs no more. Its cost depends on the changes and the sizes of units, not on
// the number of workers, unless the job takes several units per accelerator.
func (s *Scheduler) largest(x *index, k *queueKey, c changes) int {
	if !s.plain(k) {
		return s.largestUnits(x, k, c)
	}
	units := s.byUnit(k.span, c)
	most := x.largestUnchanged(k.span, units)
	for id, d := range units {
		most = max(most, x.unitValue(k.span, id)+d)
	}
	return most
}

// unitValue is the value of one unit of a span.
func (x *index) unitValue(span Adjacency, id int32) int {
	switch span {
	case AdjacentWorker:
		return int(x.val[id])
	case AdjacentRack:
		return x.racks[id].sum
	case AdjacentZone:
		return x.zones[id].sum
	}
	return x.total()
}

// largestUnchanged is the most that a unit of a span holds among those that are
// not in changed.
func (x *index) largestUnchanged(span Adjacency, changed map[int32]int) int {
	most := 0
	for id, z := range x.zones {
		switch span {
		case AdjacentWorker:
			most = max(most, z.largestWorker(changed))
		case AdjacentRack:
			most = max(most, z.largestRack(changed))
		case AdjacentZone:
			if _, ok := changed[int32(id)]; !ok {
				most = max(most, z.sum)
			}
		}
	}
	if _, ok := changed[0]; span == AdjacentAny && !ok {
		return x.total()
	}
	return most
}

func (z *zonePool) largestWorker(changed map[int32]int) int {
	for v := z.most(); v > 0; v-- {
		if anyOutside(z.lists[v-1], changed) {
			return v
		}
	}
	return 0
}

func (z *zonePool) largestRack(changed map[int32]int) int {
	sum, ok := z.sums.PreviousSet(uint(max(0, len(z.bySum)-1)))
	for ; ok && sum > 0; sum, ok = z.sums.PreviousSet(sum - 1) {
		if anyOutside(z.bySum[sum], changed) {
			return int(sum)
		}
	}
	return 0
}

func anyOutside(ids []int32, changed map[int32]int) bool {
	for _, id := range ids {
		if _, ok := changed[id]; !ok {
			return true
		}
	}
	return false
}

// largestUnits is largest for a job that takes several units per accelerator on
// some workers. It visits every worker, as the search for a place does.
func (s *Scheduler) largestUnits(x *index, k *queueKey, c changes) int {
	fits := map[int32]int{}
	for _, n := range s.nodes {
		if u := s.units(k, n); u > 0 {
			fits[spanOf(n, k.span)] += (int(x.val[n.id]) + c[n.id]) / u
		}
	}
	most := 0
	for _, sum := range fits {
		most = max(most, sum)
	}
	return most
}
