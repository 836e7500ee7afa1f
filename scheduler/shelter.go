package scheduler

// sheltered reports whether a job that could be evicted is within the guarantee
// of its account, together with all that the account runs beside its blocks.
func (s *Scheduler) sheltered(j *job) bool {
	return j.borrows() && j.account.used+j.Accelerators <= j.account.room()
}

// startSheltered starts a job that is within the guarantee of its account where
// nobody evicts it: on capacity that no block needs, which pins no block, or else
// in a block of its account. As a borrower it would lose its work to a claim or a
// reservation of another account while its own block is idle.
func (s *Scheduler) startSheltered(j *job, k *queueKey) bool {
	if at := s.avoiding(j, func() []piece { return s.find(&s.steady, k) }); at != nil {
		s.start(j, at, nil, true)
		return true
	}
	c, _ := s.findClaim(j, k, afterOpen)
	if c == nil {
		return false
	}
	s.useClaim(c)
	return true
}

// unshelter makes borrowers of all attempts that could be evicted and run beside
// the blocks without being evictable. They stand in the way when workers fail or
// a policy adds guarantees: a block that has no place goes first.
func (s *Scheduler) unshelter() bool {
	found := false
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if !r.firm || len(r.shares) > 0 || r.state == runStopping || !r.job.Job.borrows() {
				continue
			}
			s.soften(r)
			found = true
		}
	}
	return found
}

// owes reports whether an account misses a block that has no place: it does not
// run jobs of that size on what its blocks were bound to.
func (s *Scheduler) owes() bool {
	missing := map[*account]int{}
	for _, b := range s.loose {
		missing[b.account] += b.shape.Accelerators
	}
	for a, n := range missing {
		if n > s.beyond(a) {
			return true
		}
	}
	return false
}

// beyond is the size of the jobs of an account that are larger than its blocks and
// may use what these are bound to.
func (s *Scheduler) beyond(a *account) int {
	t := 0
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if r.job.account == a && r.firm && len(r.shares) == 0 && r.job.beyondBlocks() != nil {
				t += r.on(n.id)
			}
		}
	}
	return t
}

func (s *Scheduler) soften(r *run) {
	r.firm = false
	for _, p := range r.pieces {
		n := s.nodes[p.node]
		n.firm -= p.n
		n.soft += p.n
		s.refresh(n)
	}
}
