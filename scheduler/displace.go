package scheduler

// moveBlockDisplacing moves an unused block to where a claim evicts less although unused
// blocks of whichever account are bound there, if those find another place. It
// returns what the claim evicts now.
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

// unusedBlockPlaces lists places to which unused blocks are bound and that could hold
// a block: those of blocks of the same shape, and workers if it needs only one.
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

func (s *Scheduler) appendWorkers(x *block, need int, out [][]allocation) [][]allocation {
	for _, p := range x.parts {
		if s.nodes[p.node].slackWithoutUnused() >= need {
			out = append(out, []allocation{{node: p.node, count: need}})
		}
	}
	return out
}
