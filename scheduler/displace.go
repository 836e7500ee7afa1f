package scheduler

// moveBlockDisplacing moves an unused block to a place where a claim costs
// less, although unused blocks of any account are bound there, if those can be
// bound elsewhere. It returns the cost of the claim afterwards.
func (s *Scheduler) moveBlockDisplacing(b *block, k *queueKey, cost float64) float64 {
	var best []allocation
	for _, place := range s.unusedBlockPlaces(b) {
		if c := s.placeCost(place, k.accelerators); c < cost {
			best, cost = place, c
		}
	}
	if best == nil {
		return cost
	}
	current, before := b.allocations(), s.capacityGen
	s.detach(b)
	if !s.moveBlocksAside(best, nil) {
		best = current
	}
	s.attach(b, best)
	s.capacityGen = before
	return s.placeCost(best, k.accelerators)
}

// unusedBlockPlaces lists places of other unused blocks that could hold a
// block: those of blocks of the same shape, and single workers if the block
// must lie on one.
func (s *Scheduler) unusedBlockPlaces(b *block) [][]allocation {
	var out [][]allocation
	for _, a := range s.accountList {
		for _, x := range a.blocks {
			if x == b || x.used > 0 || !x.bound() {
				continue
			}
			if len(out) >= maxComparedPlaces {
				return out
			}
			if sameShape(x.shape, b.shape) {
				out = append(out, x.allocations())
				continue
			}
			if b.shape.Adjacency == AdjacentWorker {
				out = s.appendWorkers(x, b.shape.Accelerators, out)
			}
		}
	}
	return out
}

// appendWorkers appends the workers of an unused block that would hold need
// accelerators if all unused blocks on them moved.
func (s *Scheduler) appendWorkers(x *block, need int, out [][]allocation) [][]allocation {
	for _, p := range x.parts {
		if s.nodes[p.node].slackWithoutUnused() >= need {
			out = append(out, []allocation{{node: p.node, count: need}})
		}
	}
	return out
}
