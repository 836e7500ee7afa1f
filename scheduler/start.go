package scheduler

import (
	"math/bits"
	"time"
)

// start begins an attempt on idle accelerators. With uses it runs in blocks of
// its account. It is never evicted then, nor if it is protected.
func (s *Scheduler) start(j *job, place []allocation, uses []blockUse, protected bool) {
	s.dequeue(j)
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	j.lastAttempt++
	r := &run{job: j, attempt: j.lastAttempt, blockUses: uses, started: s.now}
	r.protected = len(uses) > 0 || protected
	j.run = r
	key := j.key()
	for _, p := range place {
		s.holdLowest(r, p, s.footprint(&key, s.nodes[p.node]))
	}
	s.countRun(r, 1)
	s.starts++
	s.emit(StartGang{Job: j.ID, Attempt: r.attempt, Placement: s.placement(r)})
}

// holdLowest gives an attempt the lowest idle accelerators of a node.
func (s *Scheduler) holdLowest(r *run, p allocation, units int) {
	n := s.nodes[p.node]
	h := heldAllocation{node: p.node, count: p.count, granted: p.count / max(1, units)}
	idle := ^n.usedMask
	for range p.count {
		bit := idle & -idle
		h.mask |= bit
		idle &^= bit
	}
	s.hold(r, h)
}

// hold adds held accelerators to the counts of their node. Within blocks they
// are counted as protected by useBlocks instead.
func (s *Scheduler) hold(r *run, h heldAllocation) {
	n := s.nodes[h.node]
	r.held = append(r.held, h)
	n.runs = append(n.runs, r)
	n.usedMask |= h.mask
	n.held += h.count
	switch {
	case len(r.blockUses) > 0:
	case r.protected:
		n.protected += h.count
	default:
		n.evictable += h.count
	}
	if r.job.Accelerators == 0 {
		n.freeCPUCores -= r.job.Cores
		n.freeCPUMem -= r.job.MemoryMB
		s.refreshCPU(n)
	}
	s.refreshIndexes(n)
}

// release removes an attempt that has ended from all counts.
func (s *Scheduler) release(r *run) {
	s.countRun(r, -1)
	for _, h := range r.held {
		s.releaseHeld(r, h)
	}
	s.useBlocks(r.blockUses, -1)
	if r.state == runStopping && r.stopReason == StopReclaim {
		s.evictionsInProgress--
	}
	r.job.run = nil
}

func (s *Scheduler) releaseHeld(r *run, h heldAllocation) {
	n := s.nodes[h.node]
	n.removeRun(r)
	n.usedMask &^= h.mask
	n.held -= h.count
	switch {
	case len(r.blockUses) > 0:
	case r.protected:
		n.protected -= h.count
	case r.state == runStopping:
		n.stopping -= h.count
	default:
		n.evictable -= h.count
	}
	if r.job.Accelerators == 0 {
		n.freeCPUCores += r.job.Cores
		n.freeCPUMem += r.job.MemoryMB
		s.refreshCPU(n)
	}
	s.refreshIndexes(n)
}

// countRun adds an attempt to the counts of its account, or removes it if sign
// is -1.
func (s *Scheduler) countRun(r *run, sign int) {
	a := r.job.account
	a.running += sign
	if len(r.blockUses) == 0 {
		a.usedOutsideBlocks += sign * r.size()
	}
	if r.job.Accelerators == 0 {
		a.cpuJobCores += sign * r.job.Cores
	}
}

func (s *Scheduler) placement(r *run) Placement {
	out := make(Placement, len(r.held))
	for i, h := range r.held {
		out[i] = Grant{Worker: s.nodes[h.node].ID, Accelerators: lowestBits(h.mask, h.granted)}
	}
	return out
}

// lowestBits lists the positions of the lowest count set bits of a mask.
func lowestBits(mask uint64, count int) []int {
	out := make([]int, 0, count)
	for ; mask != 0 && len(out) < count; mask &= mask - 1 {
		out = append(out, bits.TrailingZeros64(mask))
	}
	return out
}

// stopRun asks to stop an attempt. It does nothing if the attempt is already
// stopping.
func (s *Scheduler) stopRun(r *run, reason StopReason, checkpoint bool) {
	if r.state == runStopping {
		return
	}
	if !r.protected {
		for _, p := range r.held {
			n := s.nodes[p.node]
			n.evictable -= p.count
			n.stopping += p.count
			s.refreshIndexes(n)
		}
	}
	r.state = runStopping
	r.stopReason = reason
	if reason == StopReclaim {
		s.evictionsInProgress++
	}
	s.emit(StopGang{Job: r.job.ID, Attempt: r.attempt, Checkpoint: checkpoint, Reason: reason})
}

func (s *Scheduler) gangStarted(e GangStarted) {
	r := s.currentRun(e.Job, e.Attempt)
	if r == nil || r.state != runStarting {
		return
	}
	r.state = runRunning
	r.started = s.now
}

func (s *Scheduler) checkpointTaken(e CheckpointTaken) {
	j := s.jobs[e.Job]
	if j != nil && j.run != nil && e.At.After(j.run.lastCheckpoint) {
		j.run.lastCheckpoint = e.At
	}
}

// currentRun returns the current attempt of a job, or nil if the event refers
// to another one.
func (s *Scheduler) currentRun(id JobID, attempt Attempt) *run {
	j := s.jobs[id]
	if j == nil || j.run == nil || j.run.attempt != attempt {
		return nil
	}
	return j.run
}

// backoff doubles a delay with each try, up to 64 times the first.
func backoff(first time.Duration, tries int) time.Duration {
	return first << min(max(0, tries-1), 6)
}
