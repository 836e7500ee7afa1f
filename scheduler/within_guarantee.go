package scheduler

// withinGuarantee reports whether a job that could be evicted is within the guarantee
// of its account, together with all that the account runs beside its blocks.
func (s *Scheduler) withinGuarantee(j *job) bool {
	return j.mayBorrow() && j.account.usedOutsideBlocks+j.Accelerators <= j.account.unusedGuarantee()
}

// startWithinGuarantee starts a job that is within the guarantee of its account where
// nobody evicts it: on capacity that no block needs, which pins no block, or else
// in a block of its account. As a borrower it would lose its work to a claim or a
// reservation of another account while its own block is idle.
func (s *Scheduler) startWithinGuarantee(j *job, k *queueKey) bool {
	if place := s.withoutFailedNodes(j, func() []allocation { return s.find(&s.unguaranteed, k) }); place != nil {
		s.start(j, place, nil, true)
		return true
	}
	c, _ := s.findClaim(j, k, afterOpen)
	if c == nil {
		return false
	}
	s.applyClaim(c)
	return true
}

// unprotectRuns makes borrowers of all attempts that could be evicted and run beside
// the blocks without being evictable. They stand in the way when workers fail or
// a policy adds guarantees: a block that has no place goes first.
func (s *Scheduler) unprotectRuns() bool {
	found := false
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if !r.protected || len(r.blockUses) > 0 || r.state == runStopping || !r.job.Job.mayBorrow() {
				continue
			}
			s.unprotect(r)
			found = true
		}
	}
	return found
}

// missesGuarantee reports whether an account misses a block that has no place: it does not
// run jobs of that size on what its blocks were bound to.
func (s *Scheduler) missesGuarantee() bool {
	missing := map[*account]int{}
	for _, b := range s.unbound {
		missing[b.account] += b.shape.Accelerators
	}
	for a, n := range missing {
		if n > s.oversizedUse(a) {
			return true
		}
	}
	return false
}

// oversizedUse is the size of the jobs of an account that are larger than its blocks and
// may use what these are bound to.
func (s *Scheduler) oversizedUse(a *account) int {
	t := 0
	for _, n := range s.nodes {
		for _, r := range n.runs {
			if r.job.account == a && r.protected && len(r.blockUses) == 0 && r.job.oversizedAccount() != nil {
				t += r.acceleratorsOn(n.id)
			}
		}
	}
	return t
}

func (s *Scheduler) unprotect(r *run) {
	r.protected = false
	for _, p := range r.held {
		n := s.nodes[p.node]
		n.protected -= p.count
		n.evictable += p.count
		s.refreshIndexes(n)
	}
}
