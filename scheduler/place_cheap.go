package scheduler

import "slices"

// maxCompared bounds the workers of one unit that are compared by what a claim
// would evict there.
const maxCompared = 256

// cheapestIn returns a place for a shape in the unit around a node that takes
// the workers where a claim evicts least per accelerator. It returns nil if those
// compared don't hold the shape.
func (s *Scheduler) cheapestIn(around nodeID, shape Shape) []piece {
	type offer struct {
		piece
		cost float64
	}
	var offers []offer
	for _, id := range s.unitOf(s.nodes[around], shape.Adjacency) {
		p := piece{node: id, n: min(int(s.slack.val[id]), shape.Accelerators)}
		cost := s.evictionCost([]piece{p}, p.n)
		offers = append(offers, offer{p, cost / float64(p.n)})
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return b.n - a.n
	})
	need := shape.Accelerators
	var out []piece
	for _, o := range offers {
		k := min(need, o.n)
		out = append(out, piece{node: o.node, n: k})
		if need -= k; need == 0 {
			return out
		}
	}
	return nil
}

// unitOf lists workers with slack in the unit of a span around a node, those
// with most first, up to maxCompared.
func (s *Scheduler) unitOf(n *node, span Adjacency) []nodeID {
	p := &s.slack.zones[n.zone].pool
	if span == AdjacentRack {
		p = s.slack.racks[n.rack]
	}
	var out []nodeID
	for v := p.most(); v > 0; v-- {
		list := p.lists[v-1]
		out = append(out, list[:min(len(list), maxCompared-len(out))]...)
	}
	return out
}
