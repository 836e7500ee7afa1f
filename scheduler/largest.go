package scheduler

// indexDeltas are differences to the value that an index gives some workers. A search
// that asks "what if" uses them in place of changing the index.
type indexDeltas map[nodeID]int

// sumByUnit sums the changes by unit of a span.
func (s *Scheduler) sumByUnit(span Adjacency, c indexDeltas) map[int32]int {
	out := make(map[int32]int, len(c))
	for id, d := range c {
		out[unitOf(s.nodes[id], span)] += d
	}
	return out
}

// withoutNodes takes workers out of an index.
func withoutNodes(x *index, nodes []nodeID) indexDeltas {
	c := make(indexDeltas, len(nodes))
	for _, id := range nodes {
		c[id] = -int(x.values[id])
	}
	return c
}

// largestFit is how many accelerators of a key the unit of its span with most of
// them holds, in an index with changes. A job of the key has a place exactly if
// it needs no more. Its cost depends on the changes and the sizes of units, not on
// the number of workers, unless the job takes several units per accelerator.
func (s *Scheduler) largestFit(x *index, k *queueKey, c indexDeltas) int {
	if !s.fitsMinShare(k) {
		return s.largestByFootprint(x, k, c)
	}
	units := s.sumByUnit(k.span, c)
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
		return int(x.values[id])
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
	for v := z.largest(); v > 0; v-- {
		if anyOutside(z.byValue[v-1], changed) {
			return v
		}
	}
	return 0
}

func (z *zonePool) largestRack(changed map[int32]int) int {
	sum, ok := z.nonEmptySums.PreviousSet(uint(max(0, len(z.racksBySum)-1)))
	for ; ok && sum > 0; sum, ok = z.nonEmptySums.PreviousSet(sum - 1) {
		if anyOutside(z.racksBySum[sum], changed) {
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

// largestByFootprint is largest for a job that takes several units per accelerator on
// some workers. It visits every worker, as the search for a place does.
func (s *Scheduler) largestByFootprint(x *index, k *queueKey, c indexDeltas) int {
	fits := map[int32]int{}
	for _, n := range s.nodes {
		if u := s.footprint(k, n); u > 0 {
			fits[unitOf(n, k.span)] += (int(x.values[n.id]) + c[n.id]) / u
		}
	}
	most := 0
	for _, sum := range fits {
		most = max(most, sum)
	}
	return most
}
