package scheduler

// aged reports whether a job has waited so long that it precedes the fair
// order.
func (s *Scheduler) aged(j *job) bool {
	return s.now.Sub(j.Submitted) >= s.policy.AgeAfter
}

// precedesInAccount orders the jobs of one account: urgent ones first, then
// aged ones, then by priority, and then by size if the objective is
// Fragmentation.
func (s *Scheduler) precedesInAccount(a, b *job) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if x, y := s.aged(a), s.aged(b); x != y {
		return x
	} else if x {
		return a.seq < b.seq
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if s.policy.Objective == Fragmentation && a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.seq < b.seq
}

// precedesAcrossAccounts orders the first jobs of different accounts: urgent ones
// first, then aged ones, then by the weighted share of their accounts.
func (s *Scheduler) precedesAcrossAccounts(a, b *job) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if x, y := s.aged(a), s.aged(b); x != y {
		return x
	} else if x {
		return a.seq < b.seq
	}
	if x, y := s.weightedShare(a.account), s.weightedShare(b.account); x != y {
		return x < y
	}
	return a.seq < b.seq
}
