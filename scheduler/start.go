package scheduler

import (
	"math/bits"
	"time"
)

// start begins an attempt on pieces that are idle. With shares it runs within
// the guarantee of its account and is never evicted, nor is it if it is protected.
func (s *Scheduler) start(j *job, at []piece, shares []share, protected bool) {
	s.dequeue(j)
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	j.last++
	r := &run{job: j, attempt: j.last, shares: shares, started: s.now}
	r.protected = len(shares) > 0 || protected
	j.run = r
	key := j.key()
	for _, p := range at {
		s.holdPiece(r, p, s.units(&key, s.nodes[p.node]))
	}
	s.countRun(r, 1)
	s.starts++
	s.emit(StartGang{Job: j.ID, Attempt: r.attempt, Placement: s.placement(r)})
}

// holdPiece gives a run the lowest idle accelerators of a node.
func (s *Scheduler) holdPiece(r *run, p piece, units int) {
	n := s.nodes[p.node]
	h := held{node: p.node, n: p.n, granted: p.n / max(1, units)}
	idle := ^n.used
	for range p.n {
		bit := idle & -idle
		h.mask |= bit
		idle &^= bit
	}
	s.hold(r, h)
}

// hold enters a piece into the counts of its node. Firm pieces within a
// guarantee are counted by their shares.
func (s *Scheduler) hold(r *run, h held) {
	n := s.nodes[h.node]
	r.pieces = append(r.pieces, h)
	n.runs = append(n.runs, r)
	n.used |= h.mask
	n.held += h.n
	switch {
	case len(r.shares) > 0:
	case r.protected:
		n.protected += h.n
	default:
		n.evictable += h.n
	}
	if r.job.Accelerators == 0 {
		n.cpuCores -= r.job.Cores
		n.cpuMem -= r.job.MemoryMB
		s.refreshCPU(n)
	}
	s.refresh(n)
}

// release takes a run that has ended out of the counts.
func (s *Scheduler) release(r *run) {
	s.countRun(r, -1)
	for _, h := range r.pieces {
		s.releasePiece(r, h)
	}
	s.takeShares(r.shares, -1)
	if r.state == runStopping && r.stop == StopReclaim {
		s.stopping--
	}
	r.job.run = nil
}

func (s *Scheduler) releasePiece(r *run, h held) {
	n := s.nodes[h.node]
	n.drop(r)
	n.used &^= h.mask
	n.held -= h.n
	switch {
	case len(r.shares) > 0:
	case r.protected:
		n.protected -= h.n
	case r.state == runStopping:
		n.leave -= h.n
	default:
		n.evictable -= h.n
	}
	if r.job.Accelerators == 0 {
		n.cpuCores += r.job.Cores
		n.cpuMem += r.job.MemoryMB
		s.refreshCPU(n)
	}
	s.refresh(n)
}

// countRun enters a run into the use of its account.
func (s *Scheduler) countRun(r *run, sign int) {
	a := r.job.account
	a.running += sign
	if len(r.shares) == 0 {
		a.used += sign * r.size()
	}
	if r.job.Accelerators == 0 {
		a.cores += sign * r.job.Cores
	}
}

func (s *Scheduler) placement(r *run) Placement {
	out := make(Placement, len(r.pieces))
	for i, h := range r.pieces {
		out[i] = Grant{Worker: s.nodes[h.node].ID, Accelerators: numbers(h.mask, h.granted)}
	}
	return out
}

// numbers lists the lowest count bits of a mask.
func numbers(mask uint64, count int) []int {
	out := make([]int, 0, count)
	for ; mask != 0 && len(out) < count; mask &= mask - 1 {
		out = append(out, bits.TrailingZeros64(mask))
	}
	return out
}

// stopRun asks for the end of a run. A run is asked once: a later reason only
// replaces the first one where it decides what becomes of the job.
func (s *Scheduler) stopRun(r *run, why StopReason, checkpoint bool) {
	if r.state == runStopping {
		return
	}
	if !r.protected {
		for _, p := range r.pieces {
			n := s.nodes[p.node]
			n.evictable -= p.n
			n.leave += p.n
			s.refresh(n)
		}
	}
	r.state = runStopping
	r.stop = why
	if why == StopReclaim {
		s.stopping++
	}
	s.emit(StopGang{Job: r.job.ID, Attempt: r.attempt, Checkpoint: checkpoint, Reason: why})
}

func (s *Scheduler) gangStarted(e GangStarted) {
	r := s.runOf(e.Job, e.Attempt)
	if r == nil || r.state != runStarting {
		return
	}
	r.state = runRunning
	r.started = s.now
}

func (s *Scheduler) checkpointTaken(e CheckpointTaken) {
	j := s.jobs[e.Job]
	if j != nil && j.run != nil && e.At.After(j.run.checkpoint) {
		j.run.checkpoint = e.At
	}
}

// runOf returns the current attempt of a job, or nil if the event is stale.
func (s *Scheduler) runOf(id JobID, attempt Attempt) *run {
	j := s.jobs[id]
	if j == nil || j.run == nil || j.run.attempt != attempt {
		return nil
	}
	return j.run
}

// backoff doubles a delay for each try, up to 64 times the first.
func backoff(first time.Duration, tries int) time.Duration {
	return first << min(max(0, tries-1), 6)
}
