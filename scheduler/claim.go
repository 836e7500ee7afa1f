package scheduler

import "time"

// claim is capacity set aside for one job until the job starts or is cancelled.
// A claim on a guarantee has blockUses and waits for the evictions it asked
// for. A reservation has none and waits for work to end.
type claim struct {
	job         *job
	allocations []allocation
	blockUses   []blockUse
	readyAt     time.Time // expected completion of a reservation
	plannedAt   time.Time // when the place was chosen or last reconsidered
}

func (c *claim) guaranteed() bool { return len(c.blockUses) > 0 }

func (c *claim) includesNode(id nodeID) bool {
	for _, p := range c.allocations {
		if p.node == id {
			return true
		}
	}
	return false
}

// addClaim sets capacity aside. The capacity of a claim on a guarantee counts
// as protected from now on, through its blockUses.
func (s *Scheduler) addClaim(c *claim) {
	c.plannedAt = s.now
	c.job.claim = c
	s.claims = append(s.claims, c)
	s.useBlocks(c.blockUses, 1)
	s.countClaim(c, 1)
}

// countClaim adds a claim to the counts of its nodes, or removes it if sign is
// -1.
func (s *Scheduler) countClaim(c *claim, sign int) {
	for _, p := range c.allocations {
		n := s.nodes[p.node]
		if c.guaranteed() {
			n.claimed += sign * p.count
		} else {
			n.reserved += sign * p.count
			if !c.job.mayBorrow() {
				n.reservedProtected += sign * p.count
			}
		}
		s.refreshIndexes(n)
	}
}

// dropClaim gives the capacity of a claim back. Victims are chosen when
// evictions are sent, so a dropped claim causes no further evictions.
func (s *Scheduler) dropClaim(c *claim) {
	s.removeClaim(c)
	s.useBlocks(c.blockUses, -1)
}

// removeClaim removes a claim from the list, the counts and its job, but keeps
// its blockUses in effect.
func (s *Scheduler) removeClaim(c *claim) {
	for i, x := range s.claims {
		if x == c {
			s.claims = append(s.claims[:i], s.claims[i+1:]...)
			break
		}
	}
	s.countClaim(c, -1)
	c.job.claim = nil
}

// startClaims starts the job of every claim whose capacity is idle.
func (s *Scheduler) startClaims() {
	for i := 0; i < len(s.claims); {
		c := s.claims[i]
		if !s.claimReady(c) {
			i++
			continue
		}
		s.startClaim(c)
	}
}

// claimReady reports whether the capacity of a claim is idle. A reservation may
// not take what claims on guarantees wait for. For a job that may not borrow it
// also moves unused blocks aside.
func (s *Scheduler) claimReady(c *claim) bool {
	for _, p := range c.allocations {
		n := s.nodes[p.node]
		have := n.idle()
		if !c.guaranteed() {
			have = n.free()
		}
		if have < p.count {
			return false
		}
	}
	return c.guaranteed() || c.job.mayBorrow() || s.moveBlocksAside(c.allocations, c.job.oversizedAccount())
}

func (s *Scheduler) startClaim(c *claim) {
	s.removeClaim(c)
	s.start(c.job, c.allocations, c.blockUses, !c.job.mayBorrow())
}
