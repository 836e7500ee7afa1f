package scheduler

import "slices"

// restore rebuilds an attempt that agents hold, after a takeover. What agents
// report is the truth: the attempt is entered even where it breaks a guarantee,
// which then shows as degraded.
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
	s.undelay(j)
	s.dropCPU(j)
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	j.last = max(j.last, e.Attempt)
	r := &run{job: j, attempt: e.Attempt, state: runRunning, started: e.Started, protected: !j.Evictable()}
	j.run = r
	pieces, ok := s.restoredPieces(e, r)
	if !ok {
		// Two attempts can't hold one accelerator at an agent, so one of the
		// reports is stale. The attempt is stopped and holds nothing here.
		s.stopRun(r, StopConflict, false)
		s.countRun(r, 1)
		return
	}
	for _, h := range pieces {
		s.hold(r, h)
	}
	s.countRun(r, 1)
	s.settleRestored(r)
	if e.Stopping {
		s.stopSilently(r)
	}
}

// restoredPieces turns the grants of a report into pieces. It reports false if
// one overlaps an accelerator that is in use.
func (s *Scheduler) restoredPieces(e JobRestored, r *run) ([]held, bool) {
	var out []held
	for _, g := range e.Placement {
		n := s.nodeByID[g.Worker]
		if n == nil {
			n = s.addNode(Worker{ID: g.Worker})
			n.ID = g.Worker
		}
		h := held{node: n.id, granted: len(g.Accelerators)}
		for _, a := range g.Accelerators {
			if a < 0 || a >= MaxWorkerAccelerators {
				return nil, false
			}
			h.mask |= 1 << a
		}
		if n.used&h.mask != 0 || r.on(n.id) > 0 {
			return nil, false
		}
		h.n = len(numbers(h.mask, MaxWorkerAccelerators))
		out = append(out, h)
	}
	return out, true
}

// settleRestored puts a restored attempt into a block of its account if one can
// be bound around it. Otherwise it is a borrower; if it may not be evicted,
// blocks that stand in its way move or lose their place.
func (s *Scheduler) settleRestored(r *run) {
	if s.adopt(r) {
		return
	}
	if !r.protected {
		return
	}
	for _, h := range r.pieces {
		n := s.nodes[h.node]
		for n.bound > 0 && n.protected+n.bound > n.capacity() {
			s.detach(n.blocks[len(n.blocks)-1])
			s.unpacked()
		}
	}
}

// adopt binds an unused block of the same size around a restored attempt.
func (s *Scheduler) adopt(r *run) bool {
	for _, b := range r.job.account.blocks {
		if b.used > 0 || b.shape.Accelerators != r.size() || !s.spans(r, b.shape.Adjacency) {
			continue
		}
		s.moveAround(b, r)
		return true
	}
	return false
}

func (s *Scheduler) spans(r *run, span Adjacency) bool {
	for _, h := range r.pieces {
		n := s.nodes[h.node]
		if !n.usable() || spanOf(n, span) != spanOf(s.nodes[r.pieces[0].node], span) {
			return false
		}
	}
	return len(r.pieces) > 0
}

// moveAround binds a block exactly where an attempt runs and lets the attempt
// use it. Blocks of others that stand there move away.
func (s *Scheduler) moveAround(b *block, r *run) {
	if b.bound() {
		s.detach(b)
	}
	s.countRun(r, -1)
	var at []piece
	for _, h := range r.pieces {
		n := s.nodes[h.node]
		if r.protected {
			n.protected -= h.n
		} else {
			n.evictable -= h.n
		}
		for n.bound > 0 && n.protected+n.bound+h.n > n.capacity() {
			s.detach(n.blocks[len(n.blocks)-1])
			s.unpacked()
		}
		at = append(at, piece{node: h.node, n: h.n})
	}
	s.attach(b, at)
	r.protected = true
	for i, p := range at {
		r.shares = append(r.shares, share{b, i, p.n})
	}
	s.takeShares(r.shares, 1)
	s.countRun(r, 1)
}

// stopSilently marks an attempt as stopping without asking agents again.
func (s *Scheduler) stopSilently(r *run) {
	sent := len(s.actions)
	s.stopRun(r, StopReclaim, false)
	s.actions = slices.Delete(s.actions, sent, len(s.actions))
}
