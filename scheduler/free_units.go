package scheduler

// freeUnits counts the units of a span by the accelerators that the index has
// for them, fullest first, up to limit different sizes. Its cost does not
// depend on the number of workers.
func (x *index) freeUnits(span Adjacency, limit int) []FreeUnits {
	var out []FreeUnits
	add := func(free, units int) bool {
		if free > 0 && units > 0 {
			out = append(out, FreeUnits{free, units})
		}
		return len(out) < limit
	}
	switch span {
	case AdjacentWorker:
		x.eachWorkerSize(add)
	case AdjacentRack:
		x.eachRackSize(add)
	case AdjacentZone:
		for _, z := range x.zones {
			add(z.sum, 1)
		}
	default:
		add(x.total(), 1)
	}
	return out
}

func (x *index) eachWorkerSize(add func(free, units int) bool) {
	for v := MaxWorkerAccelerators; v > 0; v-- {
		units := 0
		for _, z := range x.zones {
			units += len(z.byValue[v-1])
		}
		if !add(v, units) {
			return
		}
	}
}

func (x *index) eachRackSize(add func(free, units int) bool) {
	most := 0
	for _, z := range x.zones {
		most = max(most, len(z.racksBySum)-1)
	}
	for sum := most; sum > 0; sum-- {
		units := 0
		for _, z := range x.zones {
			if sum < len(z.racksBySum) {
				units += len(z.racksBySum[sum])
			}
		}
		if !add(sum, units) {
			return
		}
	}
}
