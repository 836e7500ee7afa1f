package scheduler

// block is one guaranteed shape of an account. It is bound to workers that can
// hold it, or unbound while there are none.
type block struct {
	account      *account
	shape        Shape
	parts        []part // empty while unbound
	used         int
	unboundIndex int // position in Scheduler.unbound while unbound, else -1
}

// part is the piece of a block on one worker. Of its n accelerators, used are
// taken by jobs of the account itself.
type part struct {
	node  nodeID
	count int
	used  int
}

func (b *block) bound() bool { return len(b.parts) > 0 }

func (b *block) unused() int {
	if !b.bound() {
		return 0
	}
	return b.shape.Accelerators - b.used
}

// acceleratorsOn is the part of the block acceleratorsOn a node.
func (b *block) acceleratorsOn(id nodeID) int {
	for _, p := range b.parts {
		if p.node == id {
			return p.count
		}
	}
	return 0
}

// sameShape reports whether two shapes differ in no more than their count.
func sameShape(a, b Shape) bool {
	return a.Accelerators == b.Accelerators && a.Adjacency == b.Adjacency
}

// attach binds a block to workers. The caller has checked that they have slack.
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

// detach unbinds a block. Attempts that used it go on without a guarantee: those
// that may be evicted become borrowers, others stay protected.
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

// detachIfOvercommitted unbinds a block that an attempt has left which stays protected where
// the block is. Block and attempt would both count on the same accelerators, and
// the guarantee would show as whole although it could not be claimed.
func (s *Scheduler) detachIfOvercommitted(b *block) {
	for _, p := range b.parts {
		if n := s.nodes[p.node]; n.bound > 0 && n.protected+n.bound > n.capacity() {
			s.detach(b)
			s.retryRepack()
			return
		}
	}
}

// addUnbound puts a block on the list of those that have no place.
func (s *Scheduler) addUnbound(b *block) {
	if b.unboundIndex >= 0 {
		return
	}
	b.unboundIndex = len(s.unbound)
	s.unbound = append(s.unbound, b)
}

// removeUnbound takes a block off the list of those that have no place.
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

// dropBlockUsers takes every attempt and claim out of a block. It returns the other
// blocks that these attempts used.
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

// useBlocks moves accelerators from the unused to the used part of blocks.
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

// leaveGuarantee turns an attempt that uses blocks into one that does not.
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

// size is the accelerators that the attempt holds.
func (r *run) size() int {
	t := 0
	for _, p := range r.held {
		t += p.count
	}
	return t
}
