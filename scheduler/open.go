package scheduler

import "slices"

// stamp is the capacity generation that decides whether a queue is worth trying
// again.
func (s *Scheduler) stamp(q *queue) uint64 {
	if q.key.accelerators == 0 {
		return s.grownCPU + 1
	}
	return s.grown + 1
}

// nextOpen returns the queue of an account that goes first among those that may
// find a place.
func (s *Scheduler) nextOpen(a *account) *queue {
	var best *queue
	for _, q := range a.order {
		j := s.claimHead(q)
		if j == nil || q.blocked == s.stamp(q) {
			continue
		}
		if best == nil || s.before(j, s.claimHead(best)) {
			best = q
		}
	}
	return best
}

// startOpen starts jobs on open capacity until nothing that waits fits.
func (s *Scheduler) startOpen() {
	heads := s.heads[:0]
	for _, a := range s.accountList {
		if a.waiting == 0 {
			continue
		}
		if q := s.nextOpen(a); q != nil {
			heads = append(heads, q)
		}
	}
	for len(heads) > 0 {
		i := s.firstOf(heads)
		q := heads[i]
		if s.rejectImpossible(q) || !s.tryOpen(q) {
			q.blocked = s.stamp(q)
		}
		if heads[i] = s.nextOpen(q.account); heads[i] == nil {
			heads = slices.Delete(heads, i, i+1)
		}
	}
	s.heads = heads[:0]
}

func (s *Scheduler) firstOf(heads []*queue) int {
	best := 0
	for i := 1; i < len(heads); i++ {
		if s.ahead(s.claimHead(heads[i]), s.claimHead(heads[best])) {
			best = i
		}
	}
	return best
}

// tryOpen starts the first job of a queue if there is a place for it.
func (s *Scheduler) tryOpen(q *queue) bool {
	j := s.claimHead(q)
	if j == nil {
		return false
	}
	if n := s.probeFor(j); n != nil {
		s.startProbe(j, n)
		return true
	}
	if j.Accelerators == 0 {
		return s.tryCPU(j)
	}
	if s.withinGuarantee(j) && s.startWithinGuarantee(j, &q.key) {
		return true
	}
	protected := !j.borrows()
	at := s.avoiding(j, func() []piece { return s.findOpen(j, &q.key, protected) })
	if at == nil {
		at = s.findBackfill(j, &q.key)
	}
	var under *claim
	if at == nil {
		at, under = s.findUnderReservation(j, &q.key)
	}
	if at == nil {
		return false
	}
	s.start(j, at, nil, protected)
	j.run.under = under
	return true
}

// findOpen looks for a place beyond the guarantees. Capacity that is reserved
// for the job itself counts as open.
func (s *Scheduler) findOpen(j *job, k *queueKey, protected bool) []piece {
	before := s.grown
	if j.claim != nil {
		s.countClaim(j.claim, -1)
		defer func() {
			if j.claim != nil {
				s.countClaim(j.claim, 1)
			}
			s.grown = before
		}()
	}
	if !protected {
		return s.find(&s.open, k)
	}
	if at := s.find(&s.steady, k); at != nil {
		return at
	}
	at := s.find(&s.open, k)
	if at == nil || !s.clear(at, j.beyondBlocks()) {
		return nil
	}
	return at
}

// findBackfill looks for a worker whose reserved capacity is idle for longer
// than the job is likely to run, so that the reservation is not delayed.
func (s *Scheduler) findBackfill(j *job, k *queueKey) []piece {
	run, known := s.learned.total(&j.Job, 0, backfillQuantile)
	if !known {
		return nil
	}
	end := s.now.Add(run)
	for _, c := range s.claims {
		if c.guaranteed() || c.job == j || end.After(c.ready) {
			continue
		}
		for _, p := range c.pieces {
			n := s.nodes[p.node]
			need := j.Accelerators * s.units(k, n)
			if need == 0 || n.free() < need || !j.borrows() && n.slack() < need {
				continue
			}
			return []piece{{node: n.id, n: need}}
		}
	}
	return nil
}

// avoiding runs a search with the workers on which the job has failed taken out
// of the indexes, as long as the job would fit without them.
func (s *Scheduler) avoiding(j *job, search func() []piece) []piece {
	if len(j.failed) == 0 {
		return search()
	}
	before := s.grown
	size := make([]int, len(j.failed))
	for i, id := range j.failed {
		size[i] = int(s.size.val[id])
		for _, x := range s.indexes() {
			x.set(s.nodes[id], 0)
		}
	}
	k := j.key()
	fits := s.find(&s.size, &k) != nil
	var at []piece
	if fits {
		at = search()
	}
	for i, id := range j.failed {
		s.size.set(s.nodes[id], size[i])
		s.refresh(s.nodes[id])
	}
	s.grown = before
	if !fits {
		return search()
	}
	return at
}

// tryCPU starts a job without accelerators.
func (s *Scheduler) tryCPU(j *job) bool {
	n := s.placeCPU(j.Cores, j.MemoryMB)
	if n == nil && j.cpuOn != nil && j.cpuOn.cpuCores >= j.Cores && j.cpuOn.cpuMem >= j.MemoryMB {
		n = j.cpuOn
	}
	if n == nil {
		return false
	}
	s.dropCPU(j)
	s.start(j, []piece{{node: n.id}}, nil, !j.borrows())
	return true
}
