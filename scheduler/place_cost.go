package scheduler

// wholeRackCost is what a claim is charged per accelerator of a rack without work
// that can't be evicted, in accelerator seconds: once a block is in use there, no
// gang that needs the rack whole finds it until that use ends.
const wholeRackCost = 30.0

// placeCost is what a claim costs in a place: the work it evicts, and the racks
// it takes from gangs that need one whole.
func (s *Scheduler) placeCost(place []allocation, need int) float64 {
	cost := s.placeEvictionCost(place, need)
	last := int32(-1)
	for _, p := range place {
		if need <= 0 {
			break
		}
		need -= p.count
		rack := s.nodes[p.node].rack
		if rack != last && s.allEvictable(rack) {
			cost += wholeRackCost * float64(s.installed.racks[rack].sum)
		}
		last = rack
	}
	return cost
}

// allEvictable reports whether all work in a rack could be evicted.
func (s *Scheduler) allEvictable(rack int32) bool {
	for _, list := range s.installed.racks[rack].byValue {
		for _, id := range list {
			if s.nodes[id].protected > 0 {
				return false
			}
		}
	}
	return true
}
