package scheduler

import (
	"cmp"
	"slices"
)

// blockCost is what a job would cause in a block.
type blockCost struct {
	cost   float64
	pinned bool // in use already, so that it could not move anyway
	unused int
}

// less prefers evicting least, then blocks that are in use already, then the
// tightest.
func (a blockCost) less(b blockCost) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.pinned != b.pinned {
		return a.pinned
	}
	return a.unused < b.unused
}

// blockCostOf judges a block where it is. One that is unused may still move to a
// place where the job evicts less.
func (s *Scheduler) blockCostOf(b *block, k *queueKey) blockCost {
	_, cost := s.victims(allocationsOf(s.blockUsesFor(b, k)))
	return blockCost{cost: cost, pinned: b.used > 0, unused: b.unused()}
}

// orderParts lists the parts of a block with the idle ones first, then those in
// use already, so that a job smaller than the block evicts no borrower for
// nothing.
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
