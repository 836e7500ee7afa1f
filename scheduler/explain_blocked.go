package scheduler

// explainBlocked explains the first job of a queue that has no place on open
// capacity.
func (s *Scheduler) explainBlocked(q *queue, j *job, state *explainState) Explanation {
	e := s.newExplanation(j, WaitNoCapacity)
	e.Free = s.open.total()
	e.Units = s.open.freeUnits(j.Adjacency, maxUnitSizes)
	e.Largest = s.largestFit(&s.open, &q.key, nil)
	if state.firstJob != nil {
		e.First = state.firstJob.ID
	}
	unused := WaitNone
	if e.Largest >= j.Accelerators {
		unused = s.explainUnused(q, j)
	}
	switch {
	case unused == WaitNextDecision || s.mayStartAgain(q, j):
		e.Reason = WaitNextDecision
	case s.yieldedLately(q):
		e.Reason, e.Until = WaitYields, q.yieldUntil
	case s.unboundBlocksFor(&q.key, j.account) > 0:
		e.Reason, e.UnplacedBlocks = WaitDegraded, s.unboundBlocksFor(&q.key, j.account)
	case unused != WaitNone:
		e.Reason = unused
	case s.largestFit(&s.open, &q.key, state.reservedDeltas) >= j.Accelerators:
		e.Reason = WaitReservations
	case state.firstJob != nil && s.overShare(j, state.firstJob):
		e.Reason = WaitOverShare
	case e.Free >= j.Accelerators:
		e.Reason = WaitNoPlace
	}
	return e
}

// mayStartAgain reports whether a decision may start a job, or set capacity
// aside for it, by other means than open capacity: as a probe, in a block, or
// by backfilling a reservation.
func (s *Scheduler) mayStartAgain(q *queue, j *job) bool {
	if s.probeFor(j) != nil || s.mayClaimAgain(q, j) {
		return true
	}
	if q.noPlaceStamp == s.capacityStamp(q) {
		return false
	}
	place, _ := s.findPreemptibleBackfill(j, &q.key)
	return place != nil || s.findTimedBackfill(j, &q.key) != nil
}

// mayClaimAgain reports whether a job may fit into blocks of its account again,
// because their unused capacity may have grown since its queue last tried to
// claim them.
func (s *Scheduler) mayClaimAgain(q *queue, j *job) bool {
	if q.noClaimStamp >= s.claimStamp(j.account, afterOpen) {
		return false
	}
	for _, b := range j.account.blocks {
		if s.fitsBlock(b, &q.key, afterOpen) && !s.yieldsBlock(j, &q.key, b) {
			return true
		}
	}
	return q.key.span == AdjacentAny && s.claimSeveralBlocks(j, &q.key) != nil
}

// yieldedLately reports whether the first job of a queue yielded blocks of its
// account to larger jobs in the last decision.
func (s *Scheduler) yieldedLately(q *queue) bool {
	last := max(s.phaseStamp(beforeOpen), s.phaseStamp(afterOpen))
	return q.yieldedPhase+1 >= last && q.yieldUntil.After(s.now)
}

// unboundBlocksFor counts the unbound blocks of an account that could hold a
// job of the key.
func (s *Scheduler) unboundBlocksFor(k *queueKey, a *account) int {
	t := 0
	for _, b := range s.unbound {
		if b.account == a && b.shape.Accelerators >= k.accelerators && b.shape.Adjacency >= k.span {
			t++
		}
	}
	return t
}

// explainUnused returns why a job does not use a place on open capacity that
// other jobs could take.
func (s *Scheduler) explainUnused(q *queue, j *job) WaitReason {
	open, unguaranteed := indexDeltas(nil), indexDeltas(nil)
	if s.avoidsFailedNodes(q, j) {
		open, unguaranteed = withoutNodes(&s.open, j.failedNodes), withoutNodes(&s.unguaranteed, j.failedNodes)
	}
	switch {
	case s.largestFit(&s.open, &q.key, open) < j.Accelerators:
		return WaitFailedWorkers
	case !j.mayBorrow() && q.noPlaceStamp == s.capacityStamp(q) && s.largestFit(&s.unguaranteed, &q.key, unguaranteed) < j.Accelerators:
		// The last decision could not move the blocks away. A later one may,
		// once capacity has changed.
		return WaitGuaranteed
	}
	return WaitNextDecision
}

// avoidsFailedNodes reports whether a job is kept off the workers on which it
// has failed. It is, as long as the other workers could hold it.
func (s *Scheduler) avoidsFailedNodes(q *queue, j *job) bool {
	return len(j.failedNodes) > 0 && s.largestFit(&s.installed, &q.key, withoutNodes(&s.installed, j.failedNodes)) >= j.Accelerators
}

// reservedDeltas returns by how much open capacity would grow on each node
// without reservations.
func (s *Scheduler) reservedDeltas() indexDeltas {
	deltas := indexDeltas{}
	for _, x := range s.claims {
		if x.guaranteed() {
			continue
		}
		for _, p := range x.allocations {
			n := s.nodes[p.node]
			deltas[p.node] = n.free() - n.open()
		}
	}
	return deltas
}

// overShare reports whether first precedes a job because its account has a
// lower share, and fits wherever the job does, so that it takes any capacity
// that the job could use.
func (s *Scheduler) overShare(j, first *job) bool {
	if first.account == j.account || j.account.usedOutsideBlocks == 0 || j.Urgent != first.Urgent || s.aged(j) || s.aged(first) {
		return false
	}
	if s.weightedShare(first.account) >= s.weightedShare(j.account) {
		return false
	}
	k := first.key()
	return first.Accelerators > 0 && first.Accelerators <= j.Accelerators && first.Adjacency <= j.Adjacency &&
		(first.mayBorrow() || !j.mayBorrow()) && s.fitsMinShare(&k) && len(first.failedNodes) == 0
}
