package scheduler

// moveToCheapestPlace binds an unused block to the place where a claim by a job
// costs least: its present one, one of other unused blocks, or one with enough
// bindable capacity.
func (s *Scheduler) moveToCheapestPlace(b *block, k *queueKey) {
	current := b.allocations()
	cost := s.placeCost(current, k.accelerators)
	if cost == 0 {
		return
	}
	if cost = s.moveBlockDisplacing(b, k, cost); cost == 0 {
		return
	}
	current = b.allocations()
	before := s.capacityGen
	s.detach(b)
	best := current
	for _, place := range s.blockPlaces(b.shape) {
		if c := s.placeCost(place, k.accelerators); c < cost {
			best, cost = place, c
		}
	}
	s.attach(b, best)
	s.capacityGen = max(before, s.capacityGen-1)
}

// blockPlaces lists places with enough bindable capacity for a shape.
func (s *Scheduler) blockPlaces(shape Shape) [][]allocation {
	need := shape.Accelerators
	var out [][]allocation
	add := func(place []allocation) {
		if place != nil {
			out = append(out, place)
		}
	}
	add(s.unguaranteed.findPlace(need, shape.Adjacency, s.nodes))
	if len(out) > 0 && s.placeEvictionCost(out[0], need) == 0 {
		return out
	}
	add(s.bindable.findPlace(need, shape.Adjacency, s.nodes))
	for _, place := range s.bindable.listPlaces(need, shape.Adjacency, maxComparedPlaces) {
		add(place)
		if len(place) > 1 {
			add(s.cheapestPlaceAround(place[0].node, shape))
		}
	}
	return out
}
