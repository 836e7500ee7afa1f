package scheduler

// moveToCheapestPlace binds an unused block to the place where a job evicts least: where
// it is, where all is idle, or the tightest places that have slack.
func (s *Scheduler) moveToCheapestPlace(b *block, k *queueKey) {
	here := b.allocations()
	cost := s.placeCost(here, k.accelerators)
	if cost == 0 {
		return
	}
	if cost = s.moveBlockDisplacing(b, k, cost); cost == 0 {
		return
	}
	here = b.allocations()
	before := s.capacityGen
	s.detach(b)
	best := here
	for _, at := range s.blockPlaces(b.shape) {
		if c := s.placeCost(at, k.accelerators); c < cost {
			best, cost = at, c
		}
	}
	s.attach(b, best)
	s.capacityGen = max(before, s.capacityGen-1)
}

// blockPlaces lists places that have the slack for a shape.
func (s *Scheduler) blockPlaces(shape Shape) [][]allocation {
	need := shape.Accelerators
	var out [][]allocation
	add := func(at []allocation) {
		if at != nil {
			out = append(out, at)
		}
	}
	add(s.unguaranteed.findPlace(need, shape.Adjacency, s.nodes))
	if len(out) > 0 && s.placeEvictionCost(out[0], need) == 0 {
		return out
	}
	add(s.bindable.findPlace(need, shape.Adjacency, s.nodes))
	for _, at := range s.bindable.listPlaces(need, shape.Adjacency, maxComparedPlaces) {
		add(at)
		if len(at) > 1 {
			add(s.cheapestPlaceAround(at[0].node, shape))
		}
	}
	return out
}
