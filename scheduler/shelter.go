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
			if !r.firm || len(r.shares) > 0 || r.state == runStopping || !r.job.borrows() {
				continue
			}
			s.soften(r)
			found = true
		}
	}
	return found
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
