package scheduler

// withinGuarantee reports whether a job that may borrow fits within the unused
// guarantee of its account, together with all that the account runs outside its
// blocks.
func (s *Scheduler) withinGuarantee(j *job) bool {
	return j.mayBorrow() && j.account.usedOutsideBlocks+j.Accelerators <= j.account.unusedGuarantee()
}

// startWithinGuarantee starts such a job where it can't be evicted: on capacity
// that no block needs, which leaves the blocks movable, or else in a block of
// its account. As a borrower it could be evicted for another account while its
// own block is unused.
func (s *Scheduler) startWithinGuarantee(j *job, k *queueKey) bool {
	if place := s.withoutFailedNodes(j, func() []allocation { return s.findPlace(&s.unguaranteed, k) }); place != nil {
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

// unprotectRuns makes all protected attempts outside the blocks whose jobs may
// borrow evictable, since unbound blocks take precedence over them. It reports
// whether there were any.
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

// missesGuarantee reports whether an account has unbound blocks beyond the size
// of its own oversized jobs, which may run on the capacity of its blocks.
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

// oversizedUse returns the accelerators held outside blocks by protected jobs
// of an account that its blocks could not hold.
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
