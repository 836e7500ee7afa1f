package scheduler

import (
	"cmp"
	"slices"
)

// blockCost ranks a block for a claim.
type blockCost struct {
	cost   float64 // eviction cost in accelerator seconds
	pinned bool    // in use already, so the block can't be moved
	unused int     // accelerators
}

// less prefers the lowest eviction cost, then blocks that are in use already,
// then those with the fewest unused accelerators.
func (a blockCost) less(b blockCost) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.pinned != b.pinned {
		return a.pinned
	}
	return a.unused < b.unused
}

// blockCostOf ranks a block at its present place.
func (s *Scheduler) blockCostOf(b *block, k *queueKey) blockCost {
	_, cost := s.victims(allocationsOf(s.blockUsesFor(b, k)))
	return blockCost{cost: cost, pinned: b.used > 0, unused: b.unused()}
}

// orderParts lists the parts of a block, those with the most idle accelerators
// first and then those most used already, so that a job smaller than the block
// evicts as few borrowers as possible.
func (s *Scheduler) orderParts(b *block, k *queueKey) []int {
	out := make([]int, len(b.parts))
	for i := range out {
		out[i] = i
	}
	if len(out) < 2 {
		return out
	}
	idle := func(i int) int {
		p := b.parts[i]
		return min(p.count-p.used, s.nodes[p.node].free(), k.accelerators)
	}
	slices.SortStableFunc(out, func(x, y int) int {
		return cmp.Or(cmp.Compare(idle(y), idle(x)), cmp.Compare(b.parts[y].used, b.parts[x].used))
	})
	return out
}
