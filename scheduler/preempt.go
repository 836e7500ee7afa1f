package scheduler

import "time"

// preemptSizeRatio is how many times larger than a victim that loses work a
// gang must be to preempt it. Above 1 it excludes cycles in which a victim
// preempts the gang that preempted it.
const preemptSizeRatio = 2

// maxPreemptions returns after how many evictions a job that loses work by
// them is no longer preempted for a reservation.
func (s *Scheduler) maxPreemptions() int {
	if s.policy.Objective == Fragmentation {
		return 6
	}
	return 2
}

// minPreemptGain returns the minimum ratio of the delay saved to the work lost
// by a preemption, both in accelerator seconds. Under Fragmentation, whole
// blocks justify more lost work.
func (s *Scheduler) minPreemptGain() float64 {
	if s.policy.Objective == Fragmentation {
		return 0.3
	}
	return 2
}

// preemptible reports whether the reservation of a gang may preempt an attempt.
func (s *Scheduler) preemptible(r *run, j *job) bool {
	if r.backfilled != nil && r.backfilled == j.claim {
		return !r.protected
	}
	return !r.protected && r.state == runRunning && !r.job.Urgent &&
		r.job.Priority <= j.Priority && s.mayPreemptBySize(j, r.job) && !r.coveredByGuarantee()
}

// mayPreemptBySize reports whether a gang is large enough to preempt a job. A
// checkpointable victim loses no work, so any larger gang may preempt it, any
// number of times.
func (s *Scheduler) mayPreemptBySize(gang, victim *job) bool {
	if victim.Checkpointable {
		return victim.Accelerators < gang.Accelerators
	}
	return victim.Accelerators*preemptSizeRatio <= gang.Accelerators && victim.evictions < s.maxPreemptions()
}

// endOrPreemption returns when an attempt counts as ended in planning a
// reservation: at its expected end, or earlier if preempting it would cost less
// than waiting.
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

// preempt evicts the attempts in the way of a reservation if that completes it,
// if the wait saved outweighs the work lost, if their accounts still use as
// much as they are guaranteed, and if MaxEvictions allows all of them at once.
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

// preemptVictims returns the attempts that a reservation has to evict and their
// cost, or none if evictions alone can't complete it.
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
