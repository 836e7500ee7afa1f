package scheduler

// settlingEndsNext reports whether the next decision ends settling and
// therefore tries every queue again.
func (s *Scheduler) settlingEndsNext() bool {
	return !s.settlingDone && !s.now.Before(s.settlingEnds)
}

// startsNext reports whether the next decision is certain to start a job: the
// job is tried first, and there is a place for it.
func (s *Scheduler) startsNext(q *queue, j *job, state *explainState) bool {
	if state.triedQueue != q {
		return false
	}
	if s.probeFor(j) != nil {
		return true
	}
	if j.Accelerators == 0 {
		return s.placeCPU(j.Cores, j.MemoryMB) != nil
	}
	x := &s.open
	if !j.mayBorrow() || s.withinGuarantee(j) {
		x = &s.unguaranteed
	}
	var deltas indexDeltas
	if s.avoidsFailedNodes(q, j) {
		deltas = withoutNodes(x, j.failedNodes)
	}
	return s.largestFit(x, &q.key, deltas) >= j.Accelerators
}

// bindsNext reports whether the next decision tries to bind blocks, ends a
// quarantine or queues a delayed job.
func (s *Scheduler) bindsNext() bool {
	if len(s.unbound) > 0 && s.repackGen != s.capacityGen {
		return true
	}
	if len(s.delayed) > 0 && !s.delayed[0].notBefore.After(s.now) {
		return true
	}
	for _, n := range s.quarantined {
		if !n.health.probing && !n.health.until.After(s.now) {
			return true
		}
	}
	return false
}

// claimsNext reports whether the next decision may start a claim, or make one
// before it starts jobs on open capacity.
func (s *Scheduler) claimsNext() bool {
	for _, c := range s.claims {
		if s.claimIsIdle(c) {
			return true
		}
	}
	for _, a := range s.accountList {
		if len(a.blocks) > 0 && a.waiting > 0 && s.mayClaim(a) {
			return true
		}
	}
	return false
}

// claimIsIdle reports whether no attempt holds the capacity of a claim.
func (s *Scheduler) claimIsIdle(c *claim) bool {
	for _, p := range c.allocations {
		if s.nodes[p.node].idle() < p.count {
			return false
		}
	}
	return true
}

// mayClaim reports whether a job of an account may claim one of its blocks
// before open capacity is given out.
func (s *Scheduler) mayClaim(a *account) bool {
	for _, q := range a.queueList {
		if s.firstUnclaimed(q) == nil || q.key.accelerators == 0 || q.noClaimStamp >= s.claimStamp(a, beforeOpen) {
			continue
		}
		for _, b := range a.blocks {
			if s.fitsBlock(b, &q.key, beforeOpen) {
				return true
			}
		}
	}
	return false
}

// firstTriedQueue returns the queue whose first job the next decision is
// certain to try before anything else changes, or nil if there is none.
func (s *Scheduler) firstTriedQueue() *queue {
	if s.settlingEndsNext() || s.bindsNext() || s.claimsNext() {
		return nil
	}
	var first *queue
	for _, a := range s.accountList {
		if a.waiting == 0 {
			continue
		}
		q := s.nextOpen(a)
		if q != nil && (first == nil || s.precedesAcrossAccounts(s.firstUnclaimed(q), s.firstUnclaimed(first))) {
			first = q
		}
	}
	return first
}
