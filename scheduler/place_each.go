package scheduler

// maxPlaces bounds how many places are compared by what a claim would evict.
const maxPlaces = 128

// each lists up to limit places in different units of a span.
func (x *index) each(need int, span Adjacency, limit int) [][]piece {
	var out [][]piece
	for _, z := range x.zones {
		switch span {
		case AdjacentWorker:
			out = z.eachWorker(need, limit, out)
		case AdjacentRack:
			out = x.eachRack(z, need, limit, out)
		default:
			if z.sum >= need {
				_, p := x.fillZone(z, need, nil)
				out = append(out, p)
			}
		}
	}
	return out
}

func (z *zonePool) eachWorker(need, limit int, out [][]piece) [][]piece {
	for v := need; v <= MaxWorkerAccelerators; v++ {
		for _, n := range z.lists[v-1] {
			if len(out) >= limit {
				return out
			}
			out = append(out, []piece{{node: n, n: need}})
		}
	}
	return out
}

func (x *index) eachRack(z *zonePool, need, limit int, out [][]piece) [][]piece {
	for sum, ok := z.sums.NextSet(uint(need)); ok; sum, ok = z.sums.NextSet(sum + 1) {
		for _, r := range z.bySum[sum] {
			if len(out) >= limit {
				return out
			}
			_, p := x.racks[r].fill(need, nil)
			out = append(out, p)
		}
	}
	return out
}
