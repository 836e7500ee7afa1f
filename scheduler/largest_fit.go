package scheduler

// indexDeltas are differences to the values of an index for some workers.
// Hypothetical searches use them instead of changing the index.
type indexDeltas map[nodeID]int

// sumByUnit sums the deltas by unit of a span.
func (s *Scheduler) sumByUnit(span Adjacency, deltas indexDeltas) map[int32]int {
	out := make(map[int32]int, len(deltas))
	for id, d := range deltas {
		out[unitOf(s.nodes[id], span)] += d
	}
	return out
}

// withoutNodes returns deltas that set the values of nodes to 0.
func withoutNodes(x *index, nodes []nodeID) indexDeltas {
	deltas := make(indexDeltas, len(nodes))
	for _, id := range nodes {
		deltas[id] = -int(x.values[id])
	}
	return deltas
}

// largestFit returns the most accelerators of a job of the key that one unit of
// its span can hold, in an index with deltas. The job has a place exactly if it
// asks for no more. The cost depends on the deltas and the sizes of units, not
// on the number of workers, unless the footprint of the job differs between
// workers.
func (s *Scheduler) largestFit(x *index, k *queueKey, deltas indexDeltas) int {
	if !s.fitsMinShare(k) {
		return s.largestByFootprint(x, k, deltas)
	}
	units := s.sumByUnit(k.span, deltas)
	most := x.largestUnchanged(k.span, units)
	for id, d := range units {
		most = max(most, x.unitValue(k.span, id)+d)
	}
	return most
}

// unitValue returns the value of one unit of a span.
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

// largestUnchanged returns the largest value of a unit of a span that is not in
// changed.
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

// largestByFootprint is largestFit for a job whose footprint may exceed 1. It
// visits every worker.
func (s *Scheduler) largestByFootprint(x *index, k *queueKey, deltas indexDeltas) int {
	fits := map[int32]int{}
	for _, n := range s.nodes {
		if u := s.footprint(k, n); u > 0 {
			fits[unitOf(n, k.span)] += (int(x.values[n.id]) + deltas[n.id]) / u
		}
	}
	most := 0
	for _, sum := range fits {
		most = max(most, sum)
	}
	return most
}
