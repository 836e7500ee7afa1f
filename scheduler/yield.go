package scheduler

// claimsBefore orders the jobs of one account that claim its blocks: urgent
// ones first, then aged ones, then by priority. Among equals the larger job
// precedes until the smaller one has waited for ReclaimAfter, since a small job
// can make a block too small for a larger one.
func (s *Scheduler) claimsBefore(a, b *job) bool {
	if a.Urgent != b.Urgent || s.aged(a) || s.aged(b) || a.Priority != b.Priority {
		return s.precedesInAccount(a, b)
	}
	x, y := s.yieldExpired(a), s.yieldExpired(b)
	if x != y {
		return x
	}
	if !x && a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.seq < b.seq
}

// yieldExpired reports whether a job has waited for ReclaimAfter and need not
// yield blocks any longer.
func (s *Scheduler) yieldExpired(j *job) bool {
	return s.now.Sub(j.Submitted) >= s.policy.ReclaimAfter
}

// yieldsBlock reports whether a job does not use a block yet, because a larger
// job of the account precedes it and could use the block, or because the
// account would run more outside its blocks than is unused in them. Urgent jobs
// and those as large as the block never yield.
func (s *Scheduler) yieldsBlock(j *job, k *queueKey, b *block) bool {
	if k.urgent || k.accelerators >= b.shape.Accelerators || s.yieldExpired(j) {
		return false
	}
	if a := j.account; a.usedOutsideBlocks+k.accelerators > a.unusedGuarantee() {
		return true
	}
	for _, q := range j.account.queueList {
		if q.key.accelerators <= k.accelerators {
			continue
		}
		x := s.firstUnclaimed(q)
		if x != nil && s.claimsBefore(x, j) && s.fitsBlock(b, &q.key, afterOpen) {
			return true
		}
	}
	return false
}

// urgentJobWaits reports whether an urgent job of the account waits that could
// use a block. That job may still find open capacity, in which case the block
// is claimed afterwards.
func (s *Scheduler) urgentJobWaits(j *job, b *block) bool {
	if j.Urgent {
		return false
	}
	for _, q := range j.account.queueList {
		if q.key.urgent && q.key.accelerators > 0 && s.firstUnclaimed(q) != nil && s.fitsBlock(b, &q.key, afterOpen) {
			return true
		}
	}
	return false
}
