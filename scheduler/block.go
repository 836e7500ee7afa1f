package scheduler

// block is one guaranteed shape of an account. It is bound to workers that can
// hold it, or unbound while there are none.
type block struct {
	account *account
	shape   Shape
	parts   []part // empty while unbound
	used    int
	index   int // position in Scheduler.unbound while unbound, else -1
}

// part is the piece of a block on one worker. Of its n accelerators, used are
// taken by jobs of the account itself.
type part struct {
	node nodeID
	n    int
	used int
}

func (b *block) bound() bool { return len(b.parts) > 0 }

func (b *block) room() int {
	if !b.bound() {
		return 0
	}
	return b.shape.Accelerators - b.used
}

// on is the part of the block on a node.
func (b *block) on(id nodeID) int {
	for _, p := range b.parts {
		if p.node == id {
			return p.n
		}
	}
	return 0
}

// same reports whether two shapes differ in no more than their count.
func same(a, b Shape) bool {
	return a.Accelerators == b.Accelerators && a.Adjacency == b.Adjacency
}

// attach binds a block to workers. The caller has checked that they have slack.
func (s *Scheduler) attach(b *block, at []piece) {
	s.tighten(b)
	b.account.gen++
	for _, p := range at {
		b.parts = append(b.parts, part{node: p.node, n: p.n})
		n := s.nodes[p.node]
		n.bound += p.n
		n.blocks = append(n.blocks, b)
		s.refresh(n)
	}
}

// detach unbinds a block. Attempts that used it go on without a guarantee: those
// that may be evicted become borrowers, others stay protected.
func (s *Scheduler) detach(b *block) {
	var others []*block
	if b.used > 0 {
		others = s.disown(b)
	}
	for _, p := range b.parts {
		n := s.nodes[p.node]
		n.bound -= p.n
		n.dropBlock(b)
		s.refresh(n)
	}
	b.parts = nil
	s.addUnbound(b)
	for _, x := range others {
		s.detachCrowded(x)
	}
}

// detachCrowded unbinds a block that an attempt has left which stays protected where
// the block is. Block and attempt would both count on the same accelerators, and
// the guarantee would show as whole although it could not be claimed.
func (s *Scheduler) detachCrowded(b *block) {
	for _, p := range b.parts {
		if n := s.nodes[p.node]; n.bound > 0 && n.protected+n.bound > n.capacity() {
			s.detach(b)
			s.unpacked()
			return
		}
	}
}

// addUnbound puts a block on the list of those that have no place.
func (s *Scheduler) addUnbound(b *block) {
	if b.index >= 0 {
		return
	}
	b.index = len(s.unbound)
	s.unbound = append(s.unbound, b)
}

// tighten takes a block off the list of those that have no place.
func (s *Scheduler) tighten(b *block) {
	if b.index < 0 {
		return
	}
	last := len(s.unbound) - 1
	moved := s.unbound[last]
	s.unbound[b.index] = moved
	moved.index = b.index
	s.unbound = s.unbound[:last]
	b.index = -1
}

// disown takes every attempt and claim out of a block. It returns the other
// blocks that these attempts used.
func (s *Scheduler) disown(b *block) []*block {
	var others []*block
	for _, p := range b.parts {
		for _, r := range append([]*run(nil), s.nodes[p.node].runs...) {
			if r.uses(b) {
				for _, x := range r.shares {
					if x.block != b {
						others = append(others, x.block)
					}
				}
				s.leaveGuarantee(r)
			}
		}
	}
	for _, c := range append([]*claim(nil), s.claims...) {
		if c.uses(b) {
			s.dropClaim(c)
		}
	}
	return others
}

func (r *run) uses(b *block) bool { return sharesUse(r.shares, b) }

func (c *claim) uses(b *block) bool { return sharesUse(c.shares, b) }

func sharesUse(shares []share, b *block) bool {
	for _, x := range shares {
		if x.block == b {
			return true
		}
	}
	return false
}

// takeShares moves accelerators from the unused to the used part of blocks.
func (s *Scheduler) takeShares(shares []share, sign int) {
	for _, x := range shares {
		p := &x.block.parts[x.part]
		p.used += sign * x.n
		x.block.used += sign * x.n
		n := s.nodes[p.node]
		n.bound -= sign * x.n
		n.protected += sign * x.n
		s.refresh(n)
		if sign < 0 {
			x.block.account.gen++
		}
	}
}

// leaveGuarantee turns an attempt that uses blocks into one that does not.
func (s *Scheduler) leaveGuarantee(r *run) {
	s.takeShares(r.shares, -1)
	r.shares = nil
	r.protected = !r.job.Evictable()
	r.job.account.used += r.size()
	for _, p := range r.pieces {
		n := s.nodes[p.node]
		switch {
		case r.protected:
			n.protected += p.n
		case r.state == runStopping:
			n.leave += p.n
		default:
			n.evictable += p.n
		}
		s.refresh(n)
	}
}

// size is the accelerators that the attempt holds.
func (r *run) size() int {
	t := 0
	for _, p := range r.pieces {
		t += p.n
	}
	return t
}
