package scheduler

// block is one guaranteed shape of an account. It is unbound while no workers
// can hold it.
type block struct {
	account      *account
	shape        Shape
	parts        []part // empty while unbound
	used         int
	unboundIndex int // position in Scheduler.unbound, or -1 while bound
}

// part is the portion of a block on one worker: of its count accelerators, used
// are taken by jobs of the account.
type part struct {
	node  nodeID
	count int
	used  int
}

func (b *block) bound() bool { return len(b.parts) > 0 }

// unused returns the accelerators of a bound block that no job uses.
func (b *block) unused() int {
	if !b.bound() {
		return 0
	}
	return b.shape.Accelerators - b.used
}

// acceleratorsOn returns the size of the block's part on a node.
func (b *block) acceleratorsOn(id nodeID) int {
	for _, p := range b.parts {
		if p.node == id {
			return p.count
		}
	}
	return 0
}

// sameShape reports whether two shapes are equal except for their count.
func sameShape(a, b Shape) bool {
	return a.Accelerators == b.Accelerators && a.Adjacency == b.Adjacency
}

// attach binds a block to a place. The caller has checked that the nodes have
// enough slack.
func (s *Scheduler) attach(b *block, place []allocation) {
	s.removeUnbound(b)
	b.account.blockGen++
	for _, p := range place {
		b.parts = append(b.parts, part{node: p.node, count: p.count})
		n := s.nodes[p.node]
		n.bound += p.count
		n.blocks = append(n.blocks, b)
		s.refreshIndexes(n)
	}
}

// detach unbinds a block. Attempts that use it go on outside the guarantee:
// evictable ones become borrowers, the others stay protected.
func (s *Scheduler) detach(b *block) {
	var others []*block
	if b.used > 0 {
		others = s.dropBlockUsers(b)
	}
	for _, p := range b.parts {
		n := s.nodes[p.node]
		n.bound -= p.count
		n.removeBlock(b)
		s.refreshIndexes(n)
	}
	b.parts = nil
	s.addUnbound(b)
	for _, other := range others {
		s.detachIfOvercommitted(other)
	}
}

// detachIfOvercommitted unbinds a block if a node of it has less capacity than
// protected work and blocks need. That happens when a protected attempt leaves
// the block but stays on its nodes; the block would seem available although it
// could not be claimed.
func (s *Scheduler) detachIfOvercommitted(b *block) {
	for _, p := range b.parts {
		if n := s.nodes[p.node]; n.bound > 0 && n.protected+n.bound > n.capacity() {
			s.detach(b)
			s.retryRepack()
			return
		}
	}
}

// addUnbound adds a block to the list of unbound blocks.
func (s *Scheduler) addUnbound(b *block) {
	if b.unboundIndex >= 0 {
		return
	}
	b.unboundIndex = len(s.unbound)
	s.unbound = append(s.unbound, b)
}

// removeUnbound removes a block from the list of unbound blocks.
func (s *Scheduler) removeUnbound(b *block) {
	if b.unboundIndex < 0 {
		return
	}
	last := len(s.unbound) - 1
	moved := s.unbound[last]
	s.unbound[b.unboundIndex] = moved
	moved.unboundIndex = b.unboundIndex
	s.unbound = s.unbound[:last]
	b.unboundIndex = -1
}

// dropBlockUsers removes every attempt and claim from a block. It returns the
// other blocks that these attempts used.
func (s *Scheduler) dropBlockUsers(b *block) []*block {
	var others []*block
	for _, p := range b.parts {
		for _, r := range append([]*run(nil), s.nodes[p.node].runs...) {
			if r.usesBlock(b) {
				for _, use := range r.blockUses {
					if use.block != b {
						others = append(others, use.block)
					}
				}
				s.leaveGuarantee(r)
			}
		}
	}
	for _, c := range append([]*claim(nil), s.claims...) {
		if c.usesBlock(b) {
			s.dropClaim(c)
		}
	}
	return others
}

func (r *run) usesBlock(b *block) bool { return anyUses(r.blockUses, b) }

func (c *claim) usesBlock(b *block) bool { return anyUses(c.blockUses, b) }

func anyUses(uses []blockUse, b *block) bool {
	for _, use := range uses {
		if use.block == b {
			return true
		}
	}
	return false
}

// useBlocks moves accelerators of blocks from unused to used, or back if sign
// is -1.
func (s *Scheduler) useBlocks(uses []blockUse, sign int) {
	for _, use := range uses {
		p := &use.block.parts[use.part]
		p.used += sign * use.count
		use.block.used += sign * use.count
		n := s.nodes[p.node]
		n.bound -= sign * use.count
		n.protected += sign * use.count
		s.refreshIndexes(n)
		if sign < 0 {
			use.block.account.blockGen++
		}
	}
}

// leaveGuarantee removes an attempt from the blocks that it uses. It stays
// protected only if its job may not be evicted.
func (s *Scheduler) leaveGuarantee(r *run) {
	s.useBlocks(r.blockUses, -1)
	r.blockUses = nil
	r.protected = !r.job.Evictable()
	r.job.account.usedOutsideBlocks += r.size()
	for _, p := range r.held {
		n := s.nodes[p.node]
		switch {
		case r.protected:
			n.protected += p.count
		case r.state == runStopping:
			n.stopping += p.count
		default:
			n.evictable += p.count
		}
		s.refreshIndexes(n)
	}
}

// size returns the accelerators that the attempt holds.
func (r *run) size() int {
	t := 0
	for _, p := range r.held {
		t += p.count
	}
	return t
}
