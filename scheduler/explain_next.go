package scheduler

// settlesNext reports whether the next decision looks at every queue again
// because workers have had the time to announce themselves.
func (s *Scheduler) settlesNext() bool {
	return !s.hasSettled && !s.now.Before(s.settled)
}

// startsNext reports whether the next decision certainly starts a job: it is the
// first one tried, and there is a place. Where it can't tell it reports false.
func (s *Scheduler) startsNext(q *queue, j *job, f *facts) bool {
	if f.tried != q {
		return false
	}
	if s.probeFor(j) != nil {
		return true
	}
	if j.Accelerators == 0 {
		return s.placeCPU(j.Cores, j.MemoryMB) != nil
	}
	x := &s.open
	if !j.borrows() || s.withinGuarantee(j) {
		x = &s.steady
	}
	var c changes
	if s.avoids(q, j) {
		c = without(x, j.failed)
	}
	return s.largest(x, &q.key, c) >= j.Accelerators
}

// bindsNext reports whether the next decision looks for a place for blocks, or
// wakes workers or jobs.
func (s *Scheduler) bindsNext() bool {
	if len(s.unbound) > 0 && s.packed != s.grown {
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
// before it looks at the open queue.
func (s *Scheduler) claimsNext() bool {
	for _, c := range s.claims {
		if s.idleFor(c) {
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

func (s *Scheduler) idleFor(c *claim) bool {
	for _, p := range c.pieces {
		if s.nodes[p.node].idle() < p.n {
			return false
		}
	}
	return true
}

// mayClaim reports whether a job of an account may find room in its blocks before
// open capacity is given out.
func (s *Scheduler) mayClaim(a *account) bool {
	for _, q := range a.order {
		if s.claimHead(q) == nil || q.key.accelerators == 0 || q.claimed >= s.claimStamp(a, beforeOpen) {
			continue
		}
		for _, b := range a.blocks {
			if s.serves(b, &q.key, beforeOpen) {
				return true
			}
		}
	}
	return false
}

// firstTried is the queue of which the next decision certainly tries the first job
// before it changes anything, or nil where something comes before the open queue.
func (s *Scheduler) firstTried() *queue {
	if s.settlesNext() || s.bindsNext() || s.claimsNext() {
		return nil
	}
	var first *queue
	for _, a := range s.accountList {
		if a.waiting == 0 {
			continue
		}
		q := s.nextOpen(a)
		if q != nil && (first == nil || s.ahead(s.claimHead(q), s.claimHead(first))) {
			first = q
		}
	}
	return first
}
