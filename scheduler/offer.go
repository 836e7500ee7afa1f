package scheduler

import (
	"cmp"
	"slices"
)

// offer is what a job would cause in a block.
type offer struct {
	cost   float64
	pinned bool // in use already, so that it could not move anyway
	room   int
}

// less prefers evicting least, then blocks that are in use already, then the
// tightest.
func (a offer) less(b offer) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.pinned != b.pinned {
		return a.pinned
	}
	return a.room < b.room
}

// offerOf judges a block where it is. One that is unused may still move to a
// place where the job evicts less.
func (s *Scheduler) offerOf(b *block, k *queueKey) offer {
	_, cost := s.victims(piecesOf(s.partsFor(b, k)))
	return offer{cost: cost, pinned: b.used > 0, room: b.room()}
}

// partOrder lists the parts of a block with the idle ones first, then those in
// use already, so that a job smaller than the block evicts no borrower for
// nothing.
func (s *Scheduler) partOrder(b *block, k *queueKey) []int {
	out := make([]int, len(b.parts))
	for i := range out {
		out[i] = i
	}
	if len(out) < 2 {
		return out
	}
	idle := func(i int) int {
		p := b.parts[i]
		return min(p.n-p.used, s.nodes[p.node].free(), k.accelerators)
	}
	slices.SortStableFunc(out, func(x, y int) int {
		return cmp.Or(cmp.Compare(idle(y), idle(x)), cmp.Compare(b.parts[y].used, b.parts[x].used))
	})
	return out
}
