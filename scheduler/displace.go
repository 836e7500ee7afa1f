package scheduler

// displace moves an unused block to where a claim evicts less although unused
// blocks of whichever account are bound there, if those find another place. It
// returns what the claim evicts now.
func (s *Scheduler) displace(b *block, k *queueKey, cost float64) float64 {
	var best []piece
	for _, at := range s.takenPlaces(b) {
		if c := s.placeCost(at, k.accelerators); c < cost {
			best, cost = at, c
		}
	}
	if best == nil {
		return cost
	}
	here, before := b.pieces(), s.grown
	s.detach(b)
	if !s.clear(best, nil) {
		best = here
	}
	s.attach(b, best)
	s.grown = before
	return s.placeCost(best, k.accelerators)
}

// takenPlaces lists places to which unused blocks are bound and that could hold
// a block: those of blocks of the same shape, and workers if it needs only one.
func (s *Scheduler) takenPlaces(b *block) [][]piece {
	var out [][]piece
	for _, a := range s.accountList {
		for _, x := range a.blocks {
			if x == b || x.used > 0 || !x.bound() {
				continue
			}
			if len(out) >= maxPlaces {
				return out
			}
			if same(x.shape, b.shape) {
				out = append(out, x.pieces())
				continue
			}
			if b.shape.Adjacency == AdjacentWorker {
				out = s.workersOf(x, b.shape.Accelerators, out)
			}
		}
	}
	return out
}

func (s *Scheduler) workersOf(x *block, need int, out [][]piece) [][]piece {
	for _, p := range x.parts {
		if s.nodes[p.node].movable() >= need {
			out = append(out, []piece{{node: p.node, n: need}})
		}
	}
	return out
}
