package scheduler

// wholeRackCost is the cost to a claim of using a rack in which all work is
// evictable, in accelerator seconds per accelerator of the rack. Once a block
// is in use there, no gang can get the whole rack until that use ends.
const wholeRackCost = 30.0

// placeCost returns the cost of a claim in a place: the work that it evicts and
// the whole racks that it breaks up.
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

// allEvictable reports whether all work in a rack is evictable.
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
