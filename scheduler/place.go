package scheduler

// piece is a number of accelerators on one worker.
type piece struct {
	node nodeID
	n    int
}

// candidates bounds how many equal workers are compared for a place.
const candidates = 16

// place finds need accelerators within the span, in the tightest unit that holds
// them. It returns nil if there are none.
func (x *index) place(need int, span Adjacency, nodes []*node) []piece {
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

// rank orders places that fit: a tighter fit first, then the smaller zone and
// rack, so that what only a large unit can hold finds it whole, then the unit
// with least left.
type rank struct{ fit, zone, rack, left int }

func (a rank) less(b rank) bool {
	switch {
	case a.fit != b.fit:
		return a.fit < b.fit
	case false:
		return a.rack < b.rack
	case a.left != b.left:
		return a.left < b.left
	}
	return a.zone < b.zone
}

// placeWorker returns the tightest worker.
func (x *index) placeWorker(need int, nodes []*node) []piece {
	best := nodeID(-1)
	var at rank
	for i, z := range x.zones {
		v := z.atLeast(need)
		if v == 0 {
			continue
		}
		list := z.lists[v-1]
		for _, n := range list[:min(len(list), candidates)] {
			rack := nodes[n].rack
			r := rank{v, x.whole.zones[i].sum, x.whole.racks[rack].sum, x.racks[rack].sum}
			if best < 0 || r.less(at) {
				best, at = n, r
			}
		}
	}
	if best < 0 {
		return nil
	}
	return []piece{{node: best, n: need}}
}

// placeRack returns pieces in the best rack of those with least left.
func (x *index) placeRack(need int) []piece {
	best := int32(-1)
	var at rank
	for i, z := range x.zones {
		seen := 0
		for sum, ok := z.sums.NextSet(uint(need)); ok && seen < candidates; sum, ok = z.sums.NextSet(sum + 1) {
			for _, id := range z.bySum[sum][:min(len(z.bySum[sum]), candidates)] {
				seen++
				r := rank{0, x.whole.zones[i].sum, x.whole.racks[id].sum, int(sum)}
				if best < 0 || r.less(at) {
					best, at = id, r
				}
			}
		}
	}
	if best < 0 {
		return nil
	}
	_, out := x.racks[best].fill(need, nil)
	return out
}

// placeZone returns pieces in the best zone that holds all, in as few
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
	var at rank
	for i, z := range x.zones {
		r := rank{zone: x.whole.zones[i].sum, left: z.sum}
		if z.sum >= need && (best == nil || r.less(at)) {
			best, at = z, r
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
