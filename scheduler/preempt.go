package scheduler

import "time"

// preemptSizeRatio is how many times larger than a victim that loses work a gang must
// be to evict it without a guarantee. Above 1 it excludes cycles: a victim never evicts
// what evicted it.
const preemptSizeRatio = 2

// maxPreemptions is how often one job that loses work by it may be evicted without a guarantee.
func (s *Scheduler) maxPreemptions() int {
	if s.policy.Objective == Fragmentation {
		return 6
	}
	return 2
}

// minPreemptGain is how much larger than the loss the delay that is saved must be,
// in accelerator seconds: whoever weighs fragmentation more pays more work for
// whole blocks.
func (s *Scheduler) minPreemptGain() float64 {
	if s.policy.Objective == Fragmentation {
		return 0.3
	}
	return 2
}

// preemptible reports whether a gang may evict a run without a guarantee.
func (s *Scheduler) preemptible(r *run, j *job) bool {
	if r.backfilled != nil && r.backfilled == j.claim {
		return !r.protected
	}
	return !r.protected && r.state == runRunning && !r.job.Urgent &&
		r.job.Priority <= j.Priority && s.mayPreemptBySize(j, r.job) && !r.coveredByGuarantee()
}

// mayPreemptBySize reports whether a gang is large enough to evict a job. One that can
// checkpoint loses nothing, so any larger gang may evict it, as often as that
// costs less than the wait.
func (s *Scheduler) mayPreemptBySize(gang, victim *job) bool {
	if victim.Checkpointable {
		return victim.Accelerators < gang.Accelerators
	}
	return victim.Accelerators*preemptSizeRatio <= gang.Accelerators && victim.evictions < s.maxPreemptions()
}

// endOrPreemption is the time at which a run counts as ended when a gang plans its
// place: its likely end, or earlier if evicting it costs less than waiting.
func (s *Scheduler) endOrPreemption(r *run, j *job, end time.Time) time.Time {
	if !s.preemptible(r, j) {
		return end
	}
	delay := s.minPreemptGain() * s.runEvictionCost(r) / float64(j.Accelerators)
	preemptedAt := s.now.Add(time.Duration(delay * float64(time.Second)))
	if preemptedAt.Before(end) {
		return preemptedAt
	}
	return end
}

// preempt evicts the work on the place of a reservation if that completes it and
// loses less than the wait that it saves.
func (s *Scheduler) preempt(c *claim) {
	victims, cost := s.preemptVictims(c)
	if len(victims) == 0 || !guaranteesMetWithout(victims) {
		return
	}
	saved := c.readyAt.Sub(s.now).Seconds() * float64(c.job.Accelerators)
	if s.minPreemptGain()*cost > saved || s.evictionsInProgress+len(victims) > s.policy.MaxEvictions {
		return
	}
	for _, r := range victims {
		s.stopRun(r, StopReclaim, r.job.Checkpointable)
	}
	c.readyAt = s.now
}

// preemptVictims returns whom a reservation has to evict to be complete, or
// nothing if evictions alone don't complete it.
func (s *Scheduler) preemptVictims(c *claim) ([]*run, float64) {
	var out []*run
	total := 0.0
	for _, p := range c.allocations {
		n := s.nodes[p.node]
		short := p.count - s.availableSoon(n, out)
		if short <= 0 {
			continue
		}
		for _, r := range s.cheapestVictims(n, out, short) {
			if !s.preemptible(r, c.job) {
				return nil, 0
			}
			short -= r.acceleratorsOn(n.id)
			out = append(out, r)
			total += s.runEvictionCost(r)
		}
		if short > 0 {
			return nil, 0
		}
	}
	return out, total
}
