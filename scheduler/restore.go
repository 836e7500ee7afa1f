package scheduler

import "slices"

// restore adds an attempt that agents hold after a takeover. Agents are the
// source of truth: the attempt is added even if it leaves blocks unbound, whose
// guarantees are then reported as degraded.
func (s *Scheduler) restore(e JobRestored) {
	j := s.jobs[e.Job.ID]
	if j == nil {
		j = s.newJob(e.Job)
	}
	if j.run != nil && j.run.attempt >= e.Attempt {
		return
	}
	if j.run != nil {
		s.release(j.run)
	}
	s.dequeue(j)
	s.removeDelayed(j)
	s.dropCPUReservation(j)
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	j.lastAttempt = max(j.lastAttempt, e.Attempt)
	r := &run{job: j, attempt: e.Attempt, state: runRunning, started: e.Started, protected: !j.Evictable()}
	j.run = r
	allocations, ok := s.restoredAllocations(e, r)
	if !ok {
		// An agent can't run two attempts on one accelerator, so one of the
		// reports is stale. The attempt is stopped and holds nothing here.
		s.stopRun(r, StopConflict, false)
		s.countRun(r, 1)
		return
	}
	for _, h := range allocations {
		s.hold(r, h)
	}
	s.countRun(r, 1)
	s.bindRestored(r)
	if e.Stopping {
		s.markStopping(r)
	}
}

// restoredAllocations converts the grants of a restored attempt. It reports
// false if an accelerator is out of range or already in use.
func (s *Scheduler) restoredAllocations(e JobRestored, r *run) ([]heldAllocation, bool) {
	var out []heldAllocation
	for _, g := range e.Placement {
		n := s.nodeByID[g.Worker]
		if n == nil {
			n = s.addNode(Worker{ID: g.Worker})
			n.ID = g.Worker
		}
		h := heldAllocation{node: n.id, granted: len(g.Accelerators)}
		for _, a := range g.Accelerators {
			if a < 0 || a >= MaxWorkerAccelerators {
				return nil, false
			}
			h.mask |= 1 << a
		}
		if n.usedMask&h.mask != 0 || r.acceleratorsOn(n.id) > 0 {
			return nil, false
		}
		h.count = len(lowestBits(h.mask, MaxWorkerAccelerators))
		out = append(out, h)
	}
	return out, true
}

// bindRestored binds an unused block of the account around a restored attempt
// if one fits. Otherwise the attempt runs outside the blocks; if it may not be
// evicted, blocks that no longer fit on its nodes are unbound.
func (s *Scheduler) bindRestored(r *run) {
	if s.bindBlockToRun(r) {
		return
	}
	if !r.protected {
		return
	}
	for _, h := range r.held {
		n := s.nodes[h.node]
		for n.bound > 0 && n.protected+n.bound > n.capacity() {
			s.detach(n.blocks[len(n.blocks)-1])
			s.retryRepack()
		}
	}
}

// bindBlockToRun binds an unused block of the same size and a fitting span
// around a restored attempt, and reports whether there is one.
func (s *Scheduler) bindBlockToRun(r *run) bool {
	for _, b := range r.job.account.blocks {
		if b.used > 0 || b.shape.Accelerators != r.size() || !s.usableWithin(r, b.shape.Adjacency) {
			continue
		}
		s.bindBlockAround(b, r)
		return true
	}
	return false
}

// usableWithin reports whether all workers of an attempt are usable and lie in
// one unit of a span.
func (s *Scheduler) usableWithin(r *run, span Adjacency) bool {
	for _, h := range r.held {
		n := s.nodes[h.node]
		if !n.usable() || unitOf(n, span) != unitOf(s.nodes[r.held[0].node], span) {
			return false
		}
	}
	return len(r.held) > 0
}

// bindBlockAround binds a block exactly where an attempt runs and puts the
// attempt into it. Other blocks that no longer fit there are unbound.
func (s *Scheduler) bindBlockAround(b *block, r *run) {
	if b.bound() {
		s.detach(b)
	}
	s.countRun(r, -1)
	var place []allocation
	for _, h := range r.held {
		n := s.nodes[h.node]
		if r.protected {
			n.protected -= h.count
		} else {
			n.evictable -= h.count
		}
		for n.bound > 0 && n.protected+n.bound+h.count > n.capacity() {
			s.detach(n.blocks[len(n.blocks)-1])
			s.retryRepack()
		}
		place = append(place, allocation{node: h.node, count: h.count})
	}
	s.attach(b, place)
	r.protected = true
	for i, p := range place {
		r.blockUses = append(r.blockUses, blockUse{b, i, p.count})
	}
	s.useBlocks(r.blockUses, 1)
	s.countRun(r, 1)
}

// markStopping marks an attempt as stopping without emitting StopGang.
func (s *Scheduler) markStopping(r *run) {
	sent := len(s.actions)
	s.stopRun(r, StopReclaim, false)
	s.actions = slices.Delete(s.actions, sent, len(s.actions))
}
