package scheduler

// piece is a number of accelerators on one worker.
type piece struct {
	node nodeID
	n    int
}

// candidates bounds how many equal workers are compared for a place.
const candidates = 16

// place finds need accelerators within the span. It returns nil if there are
// none. With crumbs set, a gang that accepts a wide span takes the smallest
// pieces first, which keeps large blocks whole at the price of more workers.
func (x *index) place(need int, span Adjacency, crumbs bool, nodes []*node) []piece {
	if crumbs && span <= AdjacentZone {
		return x.placeCrumbs(need, span)
	}
	if p := x.placeWorker(need, nodes); p != nil || span == AdjacentWorker {
		return p
	}
	if p := x.placeRack(need); p != nil || span == AdjacentRack {
		return p
	}
	if p := x.placeZone(need); p != nil || span == AdjacentZone {
		return p
	}
	return x.placeAny(need)
}

// placeWorker returns the tightest worker, in the rack with least left.
func (x *index) placeWorker(need int, nodes []*node) []piece {
	best, bestVal, bestSum := nodeID(-1), 0, 0
	for _, z := range x.zones {
		v := z.atLeast(need)
		if v == 0 || best >= 0 && v > bestVal {
			continue
		}
		list := z.lists[v-1]
		for _, n := range list[:min(len(list), candidates)] {
			sum := x.racks[nodes[n].rack].sum
			if best < 0 || v < bestVal || sum < bestSum {
				best, bestVal, bestSum = n, v, sum
			}
		}
	}
	if best < 0 {
		return nil
	}
	return []piece{{node: best, n: need}}
}

// placeRack returns pieces in the rack of least sum that holds all.
func (x *index) placeRack(need int) []piece {
	best, bestSum := int32(-1), 0
	for _, z := range x.zones {
		r, sum, ok := z.tightRack(need)
		if ok && (best < 0 || sum < bestSum) {
			best, bestSum = r, sum
		}
	}
	if best < 0 {
		return nil
	}
	_, out := x.racks[best].fill(need, nil)
	return out
}

// placeZone returns pieces in the zone of least sum that holds all, in as few
// racks as possible.
func (x *index) placeZone(need int) []piece {
	best := x.tightZone(need)
	if best == nil {
		return nil
	}
	_, out := x.fillZone(best, need, nil)
	return out
}

func (x *index) tightZone(need int) *zonePool {
	var best *zonePool
	for _, z := range x.zones {
		if z.sum >= need && (best == nil || z.sum < best.sum) {
			best = z
		}
	}
	return best
}

// fillZone takes racks from the fullest down; the remainder comes from the
// tightest rack that holds it.
func (x *index) fillZone(z *zonePool, need int, out []piece) (int, []piece) {
	took := 0
	sum, ok := z.sums.PreviousSet(uint(max(0, len(z.bySum)-1)))
	for ; ok && sum > 0 && took < need; sum, ok = z.sums.PreviousSet(sum - 1) {
		for _, r := range z.bySum[sum] {
			rest := need - took
			if rest == 0 {
				break
			}
			if tight, s, fits := z.tightRack(rest); fits && s < int(sum) {
				r = tight
			}
			var k int
			k, out = x.racks[r].fill(rest, out)
			took += k
		}
	}
	return took, out
}

func (x *index) placeAny(need int) []piece {
	if x.total() < need {
		return nil
	}
	var out []piece
	for _, z := range x.zones {
		var k int
		k, out = x.fillZone(z, need, out)
		if need -= k; need == 0 {
			break
		}
	}
	return out
}

func (x *index) placeCrumbs(need int, span Adjacency) []piece {
	if z := x.tightZone(need); z != nil {
		_, out := z.crumbs(need, nil)
		return out
	}
	if span == AdjacentZone || x.total() < need {
		return nil
	}
	return x.placeAny(need)
}
