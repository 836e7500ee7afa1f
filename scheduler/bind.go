package scheduler

import "slices"

// rebindUnbound looks for workers for every unbound block, once per growth of
// capacity. If greedy binding fails, it gives up reservations of jobs that may
// not borrow, then rebinds all unused blocks, and then, if an account misses a
// guarantee, makes protected attempts outside the blocks evictable where their
// jobs may borrow.
func (s *Scheduler) rebindUnbound() {
	if len(s.unbound) == 0 || s.repackGen == s.capacityGen {
		return
	}
	s.bindAll(slices.Clone(s.unbound))
	if len(s.unbound) > 0 && s.dropReservations() {
		s.bindAll(slices.Clone(s.unbound))
	}
	if len(s.unbound) > 0 {
		s.repack()
	}
	if s.missesGuarantee() && s.unprotectRuns() {
		s.bindAll(slices.Clone(s.unbound))
		s.repack()
	}
	s.repackGen = s.capacityGen
}

// retryRepack makes the next decision try the unbound blocks again although no
// capacity has grown, because a block that has just been unbound may fit on
// other workers.
func (s *Scheduler) retryRepack() { s.repackGen = s.capacityGen - 1 }

// dropReservations drops the reservations of jobs that may not borrow, since
// these keep blocks from being bound. It reports whether there were any.
func (s *Scheduler) dropReservations() bool {
	dropped := false
	for _, c := range slices.Clone(s.claims) {
		if !c.guaranteed() && !c.job.mayBorrow() {
			s.dropClaim(c)
			dropped = true
		}
	}
	return dropped
}

// tryMoveBlocksFrom binds the unused blocks on some nodes elsewhere, where that
// is possible.
func (s *Scheduler) tryMoveBlocksFrom(place []allocation) {
	before := s.capacityGen
	for _, p := range place {
		for _, b := range slices.Clone(s.nodes[p.node].blocks) {
			if b.used > 0 {
				continue
			}
			old := b.allocations()
			s.detach(b)
			if !s.bind(b) {
				s.attach(b, old)
			}
		}
	}
	s.capacityGen = before + 1
}

func (s *Scheduler) bindAll(blocks []*block) {
	slices.SortStableFunc(blocks, narrowestFirst)
	for _, b := range blocks {
		s.bind(b)
	}
}

// narrowestFirst orders blocks by the narrowest span and then by the largest
// size.
func narrowestFirst(a, b *block) int {
	if d := int(b.shape.Adjacency) - int(a.shape.Adjacency); d != 0 {
		return d
	}
	return b.shape.Accelerators - a.shape.Accelerators
}

// bind binds an unbound block. It reports false if no workers can hold it.
func (s *Scheduler) bind(b *block) bool {
	place := s.bindable.findPlace(b.shape.Accelerators, b.shape.Adjacency, s.nodes)
	if place == nil {
		return false
	}
	s.attach(b, place)
	return true
}

// repack unbinds every unused block and binds all of them again. It keeps the
// result only if fewer blocks are left unbound.
func (s *Scheduler) repack() {
	before := len(s.unbound)
	var moved []*block
	var old [][]allocation
	for _, a := range s.accountList {
		for _, b := range a.blocks {
			if b.bound() && b.used == 0 {
				moved = append(moved, b)
				old = append(old, b.allocations())
			}
		}
	}
	if len(moved) == 0 {
		return
	}
	all := append(slices.Clone(s.unbound), moved...)
	for _, b := range moved {
		s.detach(b)
	}
	s.bindAll(all)
	if len(s.unbound) < before {
		return
	}
	for _, b := range all {
		if b.bound() {
			s.detach(b)
		}
	}
	for i, b := range moved {
		s.attach(b, old[i])
	}
}

func (b *block) allocations() []allocation {
	out := make([]allocation, len(b.parts))
	for i, p := range b.parts {
		out[i] = allocation{node: p.node, count: p.count}
	}
	return out
}

// moveBlocksAside moves unused blocks off the nodes of a place where they leave
// too little slack for work that may not be evicted. It reports false, with
// nothing changed, if one of them can't be bound elsewhere. Blocks of own may
// stay unbound: a job of that account that is larger than each of them uses
// their capacity, since otherwise it would wait for its own account forever.
func (s *Scheduler) moveBlocksAside(place []allocation, own *account) bool {
	before := s.capacityGen
	var moved []*block
	var old [][]allocation
	for _, p := range place {
		n := s.nodes[p.node]
		for i := 0; i < len(n.blocks) && n.slack() < p.count; {
			b := n.blocks[i]
			if b.used > 0 {
				i++
				continue
			}
			moved = append(moved, b)
			old = append(old, b.allocations())
			s.detach(b)
		}
		if n.slack() < p.count {
			s.restoreBindings(moved, old)
			s.capacityGen = before
			return false
		}
	}
	s.addProtected(place, 1)
	s.bindAll(slices.Clone(moved))
	if own != nil {
		moved, old = s.rebindOwnBlocks(own, moved, old)
	}
	s.addProtected(place, -1)
	for _, b := range moved {
		if !b.bound() && b.account != own {
			s.restoreBindings(moved, old)
			s.capacityGen = before
			return false
		}
	}
	return true
}

// rebindOwnBlocks also unbinds the unused blocks of own if blocks of other
// accounts are still unbound, binds those first, and then its own. It returns
// moved and old with the blocks that it unbound added.
func (s *Scheduler) rebindOwnBlocks(own *account, moved []*block, old [][]allocation) ([]*block, [][]allocation) {
	othersUnbound := func(b *block) bool { return !b.bound() && b.account != own }
	if !slices.ContainsFunc(moved, othersUnbound) {
		return moved, old
	}
	for _, b := range own.blocks {
		if b.bound() && b.used == 0 && !slices.Contains(moved, b) {
			moved = append(moved, b)
			old = append(old, b.allocations())
			s.detach(b)
		}
	}
	var unplacedOwn []*block
	for _, b := range moved {
		if othersUnbound(b) {
			s.bind(b)
		} else if !b.bound() {
			unplacedOwn = append(unplacedOwn, b)
		}
	}
	s.bindAll(unplacedOwn)
	return moved, old
}

// addProtected adds the allocations to the protected accelerators of their
// nodes, or subtracts them if sign is -1.
func (s *Scheduler) addProtected(place []allocation, sign int) {
	for _, p := range place {
		n := s.nodes[p.node]
		n.protected += sign * p.count
		s.refreshIndexes(n)
	}
}

// restoreBindings binds the moved blocks to their old places again.
func (s *Scheduler) restoreBindings(moved []*block, old [][]allocation) {
	for _, b := range moved {
		if b.bound() {
			s.detach(b)
		}
	}
	for i, b := range moved {
		s.attach(b, old[i])
	}
}
