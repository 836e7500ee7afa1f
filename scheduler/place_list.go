package scheduler

// maxComparedPlaces bounds how many places are compared by cost.
const maxComparedPlaces = 128

// listPlaces lists places for need accelerators in different units of a span,
// up to limit for workers and racks.
func (x *index) listPlaces(need int, span Adjacency, limit int) [][]allocation {
	var out [][]allocation
	for _, z := range x.zones {
		switch span {
		case AdjacentWorker:
			out = z.appendWorkerPlaces(need, limit, out)
		case AdjacentRack:
			out = x.appendRackPlaces(z, need, limit, out)
		default:
			if z.sum >= need {
				_, p := x.takeFromZone(z, need, nil)
				out = append(out, p)
			}
		}
	}
	return out
}

func (z *zonePool) appendWorkerPlaces(need, limit int, out [][]allocation) [][]allocation {
	for v := need; v <= MaxWorkerAccelerators; v++ {
		for _, n := range z.byValue[v-1] {
			if len(out) >= limit {
				return out
			}
			out = append(out, []allocation{{node: n, count: need}})
		}
	}
	return out
}

func (x *index) appendRackPlaces(z *zonePool, need, limit int, out [][]allocation) [][]allocation {
	for sum, ok := z.nonEmptySums.NextSet(uint(need)); ok; sum, ok = z.nonEmptySums.NextSet(sum + 1) {
		for _, r := range z.racksBySum[sum] {
			if len(out) >= limit {
				return out
			}
			_, p := x.racks[r].take(need, nil)
			out = append(out, p)
		}
	}
	return out
}
