package scheduler

import "slices"

// maxAdjacentLoss is the highest eviction cost of a claim on adjacent blocks,
// in accelerator seconds per accelerator of the job. The guarantee covers each
// block but not their adjacency, so such a claim may evict little.
const maxAdjacentLoss = 20.0

// claimAdjacentBlocks claims several unused blocks of an account for a job that
// is larger than each of them, after binding them within one unit of the job's
// span. It returns nil, with nothing changed, if there is no such place.
func (s *Scheduler) claimAdjacentBlocks(j *job, k *queueKey) *claim {
	blocks := j.account.unusedBlocksFor(k.accelerators)
	if blocks == nil || !s.fitsMinShare(k) {
		return nil
	}
	before, gen := s.capacityGen, j.account.blockGen
	var bindings [][]allocation
	for _, b := range blocks {
		bindings = append(bindings, b.allocations())
	}
	for _, b := range blocks {
		s.detach(b)
	}
	places := s.placeAdjacentBlocks(blocks, k)
	if places != nil {
		bindings = places
	}
	for i, b := range blocks {
		s.attach(b, bindings[i])
	}
	s.capacityGen, j.account.blockGen = before, gen
	if places == nil {
		return nil
	}
	return s.newClaim(j, blockUsesOf(blocks, k.accelerators))
}

// unusedBlocksFor returns the largest unused blocks that together hold need
// accelerators. It returns nil if a single block of the account could hold
// them, or if all together can't.
func (a *account) unusedBlocksFor(need int) []*block {
	var out []*block
	for _, b := range a.blocks {
		if b.shape.Accelerators >= need {
			return nil
		}
		if b.bound() && b.used == 0 {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(x, y *block) int { return y.shape.Accelerators - x.shape.Accelerators })
	for i, b := range out {
		if need -= b.shape.Accelerators; need <= 0 {
			return out[:i+1]
		}
	}
	return nil
}

// placeAdjacentBlocks returns one place per block, all within one unit of the
// job's span, where the job evicts least.
func (s *Scheduler) placeAdjacentBlocks(blocks []*block, k *queueKey) [][]allocation {
	sum := 0
	for _, b := range blocks {
		sum += b.shape.Accelerators
	}
	var best [][]allocation
	var cost float64
	for _, place := range s.bindable.listPlaces(sum, k.span, maxComparedPlaces) {
		c := s.placeCost(place, k.accelerators)
		if _, lost := s.victims(place); lost > maxAdjacentLoss*float64(k.accelerators) {
			continue
		}
		if best != nil && c >= cost {
			continue
		}
		if parts := s.splitPlace(place, blocks); parts != nil {
			best, cost = parts, c
		}
	}
	return best
}

// splitPlace divides a place between blocks so that each stays within its own
// span. It returns nil if that fails in narrowest-first order.
func (s *Scheduler) splitPlace(place []allocation, blocks []*block) [][]allocation {
	place = slices.Clone(place)
	order := slices.Clone(blocks)
	slices.SortStableFunc(order, narrowestFirst)
	out := make([][]allocation, len(blocks))
	for _, b := range order {
		taken := s.takeShape(place, b.shape)
		if taken == nil {
			return nil
		}
		out[slices.Index(blocks, b)] = taken
	}
	return out
}

// takeShape takes a shape out of a place, from the unit of its span with the
// fewest accelerators that holds it.
func (s *Scheduler) takeShape(place []allocation, shape Shape) []allocation {
	sums := map[int32]int{}
	for _, p := range place {
		sums[unitOf(s.nodes[p.node], shape.Adjacency)] += p.count
	}
	unit := int32(-1)
	for _, p := range place {
		u := unitOf(s.nodes[p.node], shape.Adjacency)
		if sums[u] >= shape.Accelerators && (unit < 0 || sums[u] < sums[unit]) {
			unit = u
		}
	}
	if unit < 0 {
		return nil
	}
	var out []allocation
	need := shape.Accelerators
	for i, p := range place {
		n := min(need, p.count)
		if n == 0 || unitOf(s.nodes[p.node], shape.Adjacency) != unit {
			continue
		}
		out = append(out, allocation{node: p.node, count: n})
		place[i].count -= n
		need -= n
	}
	return out
}

// blockUsesOf takes need accelerators from the parts of blocks, in order.
func blockUsesOf(blocks []*block, need int) []blockUse {
	var out []blockUse
	for _, b := range blocks {
		for i, p := range b.parts {
			if n := min(need, p.count); n > 0 {
				out = append(out, blockUse{b, i, n})
				need -= n
			}
		}
	}
	return out
}
