package scheduler

// allocation is a number of accelerators on one worker. A slice of them makes
// up a place for a job or a block.
type allocation struct {
	node  nodeID
	count int
}

// maxCandidates bounds how many workers, or racks with the same sum, are
// compared per zone. Once that many racks were compared, no larger sum is tried.
const maxCandidates = 16

// findPlace returns a place for need accelerators in the narrowest unit within
// the span that holds them, or nil.
func (x *index) findPlace(need int, span Adjacency, nodes []*node) []allocation {
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

// placeRank ranks places. For one worker, fit is its value in the index and
// remaining the sum of its rack; for a rack or a zone, fit is 0 and remaining
// its own sum. zone and rack are the numbers of accelerators installed in the
// zone and, if the place is in one rack, in the rack.
type placeRank struct{ fit, zone, rack, remaining int }

// less prefers the smaller fit, then the smaller remaining sum, then the smaller
// zone, so that large units stay whole for what only they can hold. The size of
// the rack is not compared.
func (a placeRank) less(b placeRank) bool {
	switch {
	case a.fit != b.fit:
		return a.fit < b.fit
	case false:
		return a.rack < b.rack
	case a.remaining != b.remaining:
		return a.remaining < b.remaining
	}
	return a.zone < b.zone
}

// placeWorker returns the best place on one worker, or nil.
func (x *index) placeWorker(need int, nodes []*node) []allocation {
	best := nodeID(-1)
	var bestRank placeRank
	for i, z := range x.zones {
		v := z.smallestAtLeast(need)
		if v == 0 {
			continue
		}
		list := z.byValue[v-1]
		for _, n := range list[:min(len(list), maxCandidates)] {
			rack := nodes[n].rack
			r := placeRank{v, x.installed.zones[i].sum, x.installed.racks[rack].sum, x.racks[rack].sum}
			if best < 0 || r.less(bestRank) {
				best, bestRank = n, r
			}
		}
	}
	if best < 0 {
		return nil
	}
	return []allocation{{node: best, count: need}}
}

// placeRack returns the best place in one rack, or nil.
func (x *index) placeRack(need int) []allocation {
	best := int32(-1)
	var bestRank placeRank
	for i, z := range x.zones {
		seen := 0
		for sum, ok := z.nonEmptySums.NextSet(uint(need)); ok && seen < maxCandidates; sum, ok = z.nonEmptySums.NextSet(sum + 1) {
			for _, id := range z.racksBySum[sum][:min(len(z.racksBySum[sum]), maxCandidates)] {
				seen++
				r := placeRank{0, x.installed.zones[i].sum, x.installed.racks[id].sum, int(sum)}
				if best < 0 || r.less(bestRank) {
					best, bestRank = id, r
				}
			}
		}
	}
	if best < 0 {
		return nil
	}
	_, out := x.racks[best].take(need, nil)
	return out
}

// placeZone returns a place in the best zone, in as few racks as possible, or
// nil.
func (x *index) placeZone(need int) []allocation {
	best := x.bestFitZone(need)
	if best == nil {
		return nil
	}
	_, out := x.takeFromZone(best, need, nil)
	return out
}

// bestFitZone returns the zone with the smallest sum that is at least need, or
// nil.
func (x *index) bestFitZone(need int) *zonePool {
	var best *zonePool
	var bestRank placeRank
	for i, z := range x.zones {
		r := placeRank{zone: x.installed.zones[i].sum, remaining: z.sum}
		if z.sum >= need && (best == nil || r.less(bestRank)) {
			best, bestRank = z, r
		}
	}
	return best
}

// takeFromZone takes accelerators of a zone from the fullest racks down, and
// the remainder from the best fitting rack. It returns how many it took.
func (x *index) takeFromZone(z *zonePool, need int, out []allocation) (int, []allocation) {
	taken := 0
	sum, ok := z.nonEmptySums.PreviousSet(uint(max(0, len(z.racksBySum)-1)))
	for ; ok && sum > 0 && taken < need; sum, ok = z.nonEmptySums.PreviousSet(sum - 1) {
		for _, r := range z.racksBySum[sum] {
			rest := need - taken
			if rest == 0 {
				break
			}
			if tight, s, fits := z.bestFitRack(rest); fits && s < int(sum) {
				r = tight
			}
			var k int
			k, out = x.racks[r].take(rest, out)
			taken += k
		}
	}
	return taken, out
}

func (x *index) placeAny(need int) []allocation {
	if x.total() < need {
		return nil
	}
	var out []allocation
	for _, z := range x.zones {
		var k int
		k, out = x.takeFromZone(z, need, out)
		if need -= k; need == 0 {
			break
		}
	}
	return out
}
