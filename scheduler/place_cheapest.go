package scheduler

import "slices"

// maxComparedNodes bounds the workers of one unit whose eviction costs are
// compared.
const maxComparedNodes = 256

// cheapestPlaceAround returns a place for a shape in the unit of its span
// around a node, on the workers with the lowest eviction cost per accelerator.
// It returns nil if the workers compared don't hold the shape.
func (s *Scheduler) cheapestPlaceAround(center nodeID, shape Shape) []allocation {
	type candidate struct {
		allocation
		cost float64
	}
	var candidates []candidate
	for _, id := range s.nodesInUnit(s.nodes[center], shape.Adjacency) {
		p := allocation{node: id, count: min(int(s.bindable.values[id]), shape.Accelerators)}
		cost := s.placeEvictionCost([]allocation{p}, p.count)
		candidates = append(candidates, candidate{p, cost / float64(p.count)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return b.count - a.count
	})
	need := shape.Accelerators
	var out []allocation
	for _, o := range candidates {
		k := min(need, o.count)
		out = append(out, allocation{node: o.node, count: k})
		if need -= k; need == 0 {
			return out
		}
	}
	return nil
}

// nodesInUnit lists up to maxComparedNodes workers with bindable capacity in
// the unit of a span around a node, or at most in its zone, those with the most
// first.
func (s *Scheduler) nodesInUnit(n *node, span Adjacency) []nodeID {
	p := &s.bindable.zones[n.zone].pool
	if span == AdjacentRack {
		p = s.bindable.racks[n.rack]
	}
	var out []nodeID
	for v := p.largest(); v > 0; v-- {
		list := p.byValue[v-1]
		out = append(out, list[:min(len(list), maxComparedNodes-len(out))]...)
	}
	return out
}
