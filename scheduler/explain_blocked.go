package scheduler

// explainBlocked explains the first job of a queue that found no place, by what the
// search for one would find now.
func (s *Scheduler) explainBlocked(q *queue, j *job, f *facts) Explanation {
	e := s.explained(j, WaitNoCapacity)
	e.Free = s.open.total()
	e.Units = s.open.freeUnits(j.Adjacency, maxUnits)
	e.Largest = s.largest(&s.open, &q.key, nil)
	if f.first != nil {
		e.First = f.first.ID
	}
	unused := WaitNone
	if e.Largest >= j.Accelerators {
		unused = s.explainUnused(q, j)
	}
	switch {
	case unused == WaitNextDecision || s.triedAgain(q, j):
		e.Reason = WaitNextDecision
	case s.yielded(q):
		e.Reason, e.Until = WaitYields, q.grace
	case s.degradedFor(&q.key, j.account) > 0:
		e.Reason, e.UnplacedBlocks = WaitDegraded, s.degradedFor(&q.key, j.account)
	case unused != WaitNone:
		e.Reason = unused
	case s.largest(&s.open, &q.key, f.reserved) >= j.Accelerators:
		e.Reason = WaitReservations
	case f.first != nil && s.overShare(j, f.first):
		e.Reason = WaitOverShare
	case e.Free >= j.Accelerators:
		e.Reason = WaitNoPlace
	}
	return e
}

// triedAgain reports whether a decision may start a job, or set capacity aside for
// it, otherwise than on open capacity: on a worker on probe, in a block, or on what
// is reserved for others until they need it.
func (s *Scheduler) triedAgain(q *queue, j *job) bool {
	if s.probeFor(j) != nil || s.claimsAgain(q, j) {
		return true
	}
	if q.blocked == s.stamp(q) {
		return false
	}
	filler, _ := s.findUnderReservation(j, &q.key)
	return filler != nil || s.findBackfill(j, &q.key) != nil
}

// claimsAgain reports whether room in the blocks of its account has turned up for a
// job since its queue was last tried there.
func (s *Scheduler) claimsAgain(q *queue, j *job) bool {
	if q.claimed >= s.claimStamp(j.account, afterOpen) {
		return false
	}
	for _, b := range j.account.blocks {
		if s.serves(b, &q.key, afterOpen) && !s.yields(j, &q.key, b) {
			return true
		}
	}
	return q.key.span == AdjacentAny && s.claimMany(j, &q.key) != nil
}

// yielded reports whether the last decision left the blocks of an account to
// larger jobs than the first one of a queue.
func (s *Scheduler) yielded(q *queue) bool {
	last := max(s.phaseStamp(beforeOpen), s.phaseStamp(afterOpen))
	return q.yieldedIn+1 >= last && q.grace.After(s.now)
}

// degradedFor counts the blocks of an account that have no place and could hold a
// job of the key.
func (s *Scheduler) degradedFor(k *queueKey, a *account) int {
	t := 0
	for _, b := range s.unbound {
		if b.account == a && b.shape.Accelerators >= k.accelerators && b.shape.Adjacency >= k.span {
			t++
		}
	}
	return t
}

// explainUnused says why a job does not use a place that any job could take.
func (s *Scheduler) explainUnused(q *queue, j *job) WaitReason {
	open, steady := changes(nil), changes(nil)
	if s.avoids(q, j) {
		open, steady = without(&s.open, j.failed), without(&s.steady, j.failed)
	}
	switch {
	case s.largest(&s.open, &q.key, open) < j.Accelerators:
		return WaitFailedWorkers
	case !j.borrows() && q.blocked == s.stamp(q) && s.largest(&s.steady, &q.key, steady) < j.Accelerators:
		// The last decision could not move the blocks away. One that comes after a
		// change of capacity may.
		return WaitGuaranteed
	}
	return WaitNextDecision
}

// avoids reports whether a job is kept off the workers on which it has failed:
// it is as long as it would fit without them.
func (s *Scheduler) avoids(q *queue, j *job) bool {
	return len(j.failed) > 0 && s.largest(&s.size, &q.key, without(&s.size, j.failed)) >= j.Accelerators
}

// reservations is what open capacity would be larger by without reservations.
func (s *Scheduler) reservations() changes {
	c := changes{}
	for _, x := range s.claims {
		if x.guaranteed() {
			continue
		}
		for _, p := range x.pieces {
			n := s.nodes[p.node]
			c[p.node] = n.free() - n.open()
		}
	}
	return c
}

// overShare reports whether first goes ahead of a job because its account has a
// lower share, and fits wherever the job does: whatever turns up for the job, the
// other one takes.
func (s *Scheduler) overShare(j, first *job) bool {
	if first.account == j.account || j.account.used == 0 || j.Urgent != first.Urgent || s.aged(j) || s.aged(first) {
		return false
	}
	if s.share(first.account) >= s.share(j.account) {
		return false
	}
	k := first.key()
	return first.Accelerators > 0 && first.Accelerators <= j.Accelerators && first.Adjacency <= j.Adjacency &&
		(first.borrows() || !j.borrows()) && s.plain(&k) && len(first.failed) == 0
}
