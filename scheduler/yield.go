package scheduler

// claimsBefore orders the jobs of one account that claim its blocks: urgent ones,
// then those that have waited long, then by priority. Among equals the larger one
// goes first, since a small job in a block leaves no room for it, until the
// small one has waited for ReclaimAfter.
func (s *Scheduler) claimsBefore(a, b *job) bool {
	if a.Urgent != b.Urgent || s.aged(a) || s.aged(b) || a.Priority != b.Priority {
		return s.before(a, b)
	}
	x, y := s.overdue(a), s.overdue(b)
	if x != y {
		return x
	}
	if !x && a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.seq < b.seq
}

// overdue reports whether a job need no longer leave its account's blocks to
// larger jobs.
func (s *Scheduler) overdue(j *job) bool {
	return s.now.Sub(j.Submitted) >= s.policy.ReclaimAfter
}

// yields reports whether a job does not use a block yet, because a larger job of
// the same account waits, goes first and could use it, or because the account
// already runs as much beside its blocks as they have room for. Urgent jobs and
// those as large as the block yield to none.
func (s *Scheduler) yields(j *job, k *queueKey, b *block) bool {
	if k.urgent || k.accelerators >= b.shape.Accelerators || s.overdue(j) {
		return false
	}
	if a := j.account; a.used+k.accelerators > a.room() {
		return true
	}
	for _, q := range j.account.order {
		if q.key.accelerators <= k.accelerators {
			continue
		}
		x := s.claimHead(q)
		if x != nil && s.claimsBefore(x, j) && s.serves(b, &q.key, afterOpen) {
			return true
		}
	}
	return false
}

// urgentWaits reports whether an urgent job of the same account waits that could
// use a block. It may still find open capacity, and the block is claimed after.
func (s *Scheduler) urgentWaits(j *job, b *block) bool {
	if j.Urgent {
		return false
	}
	for _, q := range j.account.order {
		if q.key.urgent && q.key.accelerators > 0 && s.claimHead(q) != nil && s.serves(b, &q.key, afterOpen) {
			return true
		}
	}
	return false
}
