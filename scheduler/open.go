package scheduler

import "slices"

// capacityStamp identifies the state of the capacity that the jobs of a queue
// need. A queue whose first job found no place is not tried again at the same
// stamp. It is never 0.
func (s *Scheduler) capacityStamp(q *queue) uint64 {
	if q.key.accelerators == 0 {
		return s.cpuCapacityGen + 1
	}
	return s.capacityGen + 1
}

// nextOpen returns the queue of an account whose first job precedes the others
// among those that may find a place, or nil.
func (s *Scheduler) nextOpen(a *account) *queue {
	var best *queue
	for _, q := range a.queueList {
		j := s.firstUnclaimed(q)
		if j == nil || q.noPlaceStamp == s.capacityStamp(q) {
			continue
		}
		if best == nil || s.precedesInAccount(j, s.firstUnclaimed(best)) {
			best = q
		}
	}
	return best
}

// startOpen starts jobs on open capacity, in order, until no waiting job fits.
func (s *Scheduler) startOpen() {
	heads := s.headsBuf[:0]
	for _, a := range s.accountList {
		if a.waiting == 0 {
			continue
		}
		if q := s.nextOpen(a); q != nil {
			heads = append(heads, q)
		}
	}
	for len(heads) > 0 {
		i := s.firstInOrder(heads)
		q := heads[i]
		if s.rejectImpossible(q) || !s.tryOpen(q) {
			q.noPlaceStamp = s.capacityStamp(q)
		}
		if heads[i] = s.nextOpen(q.account); heads[i] == nil {
			heads = slices.Delete(heads, i, i+1)
		}
	}
	s.headsBuf = heads[:0]
}

// firstInOrder returns the index of the queue whose first job precedes the
// others.
func (s *Scheduler) firstInOrder(heads []*queue) int {
	best := 0
	for i := 1; i < len(heads); i++ {
		if s.precedesAcrossAccounts(s.firstUnclaimed(heads[i]), s.firstUnclaimed(heads[best])) {
			best = i
		}
	}
	return best
}

// tryOpen starts the first job of a queue if there is a place for it.
func (s *Scheduler) tryOpen(q *queue) bool {
	j := s.firstUnclaimed(q)
	if j == nil {
		return false
	}
	if n := s.probeFor(j); n != nil {
		s.startProbe(j, n)
		return true
	}
	if j.Accelerators == 0 {
		return s.tryCPUJob(j)
	}
	if s.withinGuarantee(j) && s.startWithinGuarantee(j, &q.key) {
		return true
	}
	protected := !j.mayBorrow()
	place := s.withoutFailedNodes(j, func() []allocation { return s.findOpen(j, &q.key, protected) })
	if place == nil {
		place = s.findTimedBackfill(j, &q.key)
	}
	var reservation *claim
	if place == nil {
		place, reservation = s.findPreemptibleBackfill(j, &q.key)
	}
	if place == nil {
		return false
	}
	s.start(j, place, nil, protected)
	j.run.backfilled = reservation
	return true
}

// findOpen looks for a place on open capacity. What is reserved for the job
// itself counts as open. For a protected job it moves unused blocks aside if
// necessary.
func (s *Scheduler) findOpen(j *job, k *queueKey, protected bool) []allocation {
	before := s.capacityGen
	if j.claim != nil {
		s.countClaim(j.claim, -1)
		defer func() {
			if j.claim != nil {
				s.countClaim(j.claim, 1)
			}
			s.capacityGen = before
		}()
	}
	if !protected {
		return s.findPlace(&s.open, k)
	}
	if place := s.findPlace(&s.unguaranteed, k); place != nil {
		return place
	}
	place := s.findPlace(&s.open, k)
	if place == nil || !s.moveBlocksAside(place, j.oversizedAccount()) {
		return nil
	}
	return place
}

// findTimedBackfill looks for a worker whose reserved capacity stays idle
// longer than the job is likely to run, so that the reservation is not delayed.
func (s *Scheduler) findTimedBackfill(j *job, k *queueKey) []allocation {
	run, known := s.runTimes.predict(&j.Job, 0, backfillQuantile)
	if !known {
		return nil
	}
	end := s.now.Add(run)
	for _, c := range s.claims {
		if c.guaranteed() || c.job == j || end.After(c.readyAt) {
			continue
		}
		for _, p := range c.allocations {
			n := s.nodes[p.node]
			need := j.Accelerators * s.footprint(k, n)
			if need == 0 || n.free() < need || !j.mayBorrow() && n.slack() < need {
				continue
			}
			return []allocation{{node: n.id, count: need}}
		}
	}
	return nil
}

// withoutFailedNodes runs a search with the workers on which the job has failed
// removed from the indexes, as long as the other workers could hold the job.
func (s *Scheduler) withoutFailedNodes(j *job, search func() []allocation) []allocation {
	if len(j.failedNodes) == 0 {
		return search()
	}
	before := s.capacityGen
	size := make([]int, len(j.failedNodes))
	for i, id := range j.failedNodes {
		size[i] = int(s.installed.values[id])
		for _, x := range s.indexes() {
			x.set(s.nodes[id], 0)
		}
	}
	k := j.key()
	fits := s.findPlace(&s.installed, &k) != nil
	var place []allocation
	if fits {
		place = search()
	}
	for i, id := range j.failedNodes {
		s.installed.set(s.nodes[id], size[i])
		s.refreshIndexes(s.nodes[id])
	}
	s.capacityGen = before
	if !fits {
		return search()
	}
	return place
}

// tryCPUJob starts a job without accelerators if a worker has the cores and
// memory left.
func (s *Scheduler) tryCPUJob(j *job) bool {
	n := s.placeCPU(j.Cores, j.MemoryMB)
	if n == nil && j.cpuNode != nil && j.cpuNode.freeCPUCores >= j.Cores && j.cpuNode.freeCPUMem >= j.MemoryMB {
		n = j.cpuNode
	}
	if n == nil {
		return false
	}
	s.dropCPUReservation(j)
	s.start(j, []allocation{{node: n.id}}, nil, !j.mayBorrow())
	return true
}
