package scheduler

import "time"

// claim is capacity set aside for one job until it starts or is cancelled. A
// claim on a guarantee has shares and waits for the evictions it asked for; a
// reservation has none and waits for work to end.
type claim struct {
	job    *job
	pieces []piece
	shares []share
	ready  time.Time // when a reservation is expected to be complete
	made   time.Time
}

func (c *claim) guaranteed() bool { return len(c.shares) > 0 }

func (c *claim) on(id nodeID) bool {
	for _, p := range c.pieces {
		if p.node == id {
			return true
		}
	}
	return false
}

// addClaim sets capacity aside. Capacity of a claim on a guarantee counts as
// protected from now on, through its shares.
func (s *Scheduler) addClaim(c *claim) {
	c.made = s.now
	c.job.claim = c
	s.claims = append(s.claims, c)
	s.takeShares(c.shares, 1)
	s.countClaim(c, 1)
}

func (s *Scheduler) countClaim(c *claim, sign int) {
	for _, p := range c.pieces {
		n := s.nodes[p.node]
		if c.guaranteed() {
			n.claim += sign * p.n
		} else {
			n.wait += sign * p.n
			if !c.job.borrows() {
				n.waitProtected += sign * p.n
			}
		}
		s.refresh(n)
	}
}

// dropClaim gives the capacity back. Evictions are chosen when they are sent, so
// those not sent yet go with the claim and a cancelled demand causes no more.
func (s *Scheduler) dropClaim(c *claim) {
	s.forgetClaim(c)
	s.takeShares(c.shares, -1)
}

func (s *Scheduler) forgetClaim(c *claim) {
	for i, x := range s.claims {
		if x == c {
			s.claims = append(s.claims[:i], s.claims[i+1:]...)
			break
		}
	}
	s.countClaim(c, -1)
	c.job.claim = nil
}

// startClaims starts every claim whose capacity is idle.
func (s *Scheduler) startClaims() {
	for i := 0; i < len(s.claims); {
		c := s.claims[i]
		if !s.complete(c) {
			i++
			continue
		}
		s.startClaim(c)
	}
}

// complete reports whether the capacity of a claim is idle. A reservation
// leaves alone what claims on guarantees are waiting for.
func (s *Scheduler) complete(c *claim) bool {
	for _, p := range c.pieces {
		n := s.nodes[p.node]
		have := n.idle()
		if !c.guaranteed() {
			have = n.free()
		}
		if have < p.n {
			return false
		}
	}
	return c.guaranteed() || c.job.borrows() || s.clear(c.pieces, c.job.beyondBlocks())
}

func (s *Scheduler) startClaim(c *claim) {
	s.forgetClaim(c)
	s.start(c.job, c.pieces, c.shares, !c.job.borrows())
}
