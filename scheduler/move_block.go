package scheduler

// moveBlock binds an unused block to the place where a job evicts least: where
// it is, where all is idle, or the tightest places that have slack.
func (s *Scheduler) moveBlock(b *block, k *queueKey) {
	here := b.pieces()
	cost := s.placeCost(here, k.accelerators)
	if cost == 0 {
		return
	}
	if cost = s.displace(b, k, cost); cost == 0 {
		return
	}
	here = b.pieces()
	before := s.grown
	s.detach(b)
	best := here
	for _, at := range s.blockPlaces(b.shape) {
		if c := s.placeCost(at, k.accelerators); c < cost {
			best, cost = at, c
		}
	}
	s.attach(b, best)
	s.grown = max(before, s.grown-1)
}

// blockPlaces lists places that have the slack for a shape.
func (s *Scheduler) blockPlaces(shape Shape) [][]piece {
	need := shape.Accelerators
	var out [][]piece
	add := func(at []piece) {
		if at != nil {
			out = append(out, at)
		}
	}
	add(s.steady.place(need, shape.Adjacency, s.nodes))
	if len(out) > 0 && s.evictionCost(out[0], need) == 0 {
		return out
	}
	add(s.slack.place(need, shape.Adjacency, s.nodes))
	for _, at := range s.slack.each(need, shape.Adjacency, maxPlaces) {
		add(at)
		if len(at) > 1 {
			add(s.cheapestIn(at[0].node, shape))
		}
	}
	return out
}
