package scheduler

import (
	"slices"
	"time"
)

const (
	// backfillQuantile is how sure a backfilled job must be to end in time.
	backfillQuantile = 0.9
	// endQuantile is the quantile of learned run times at which running work is
	// expected to end.
	endQuantile = 0.7
	// replanInterval is how often a reservation looks for an earlier place.
	replanInterval = 10 * time.Second
	// planCostPerRelease paces planning at large sizes: after a plan that looked at n ends
	// of work, the next one waits n times this long.
	planCostPerRelease = 20 * time.Microsecond
	// moveWaitPercent is the percentage of its remaining wait below which the wait at
	// another place must lie for a reservation to move: one that moves often
	// drains one place after the other.
	moveWaitPercent = 50
	// minPlanInterval is the shortest time between two plans.
	minPlanInterval = 100 * time.Millisecond
)

// reserve gives jobs that have waited longest a reservation, so that smaller
// jobs don't pass them for ever.
func (s *Scheduler) reserve() {
	have, reserved := 0, 0
	for _, c := range s.claims {
		if !c.guaranteed() {
			have++
			reserved += c.job.Accelerators
		}
	}
	s.replan()
	for _, c := range s.claims {
		if !c.guaranteed() {
			s.stopBackfilled(c)
		}
	}
	s.planPending = false
	if have >= s.policy.MaxReservations || have > 0 && reserved*100 >= s.installed.total()*s.policy.ReservedSharePercent {
		return
	}
	for _, j := range s.reservationCandidates(s.policy.MaxReservations - have) {
		if s.now.Before(s.nextPlanAt) {
			s.planPending = true
			return
		}
		reserved += j.Accelerators
		if have > 0 && reserved*100 > s.installed.total()*s.policy.ReservedSharePercent {
			return
		}
		s.reserveFor(j)
		have++
	}
}

// reservationCandidates lists the first jobs of queues that found no place, oldest first.
func (s *Scheduler) reservationCandidates(limit int) []*job {
	var out []*job
	for _, a := range s.accountList {
		for _, q := range a.queueList {
			j := s.firstUnclaimed(q)
			if j == nil || j.claim != nil || j.cpuNode != nil || !s.mayReserve(j) {
				continue
			}
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		switch {
		case a.Urgent != b.Urgent && a.Urgent:
			return -1
		case a.Urgent != b.Urgent:
			return 1
		case a.seq < b.seq:
			return -1
		}
		return 1
	})
	return out[:min(len(out), limit)]
}

// mayReserve reports whether a job has waited long enough for a reservation and
// has not just failed to get one.
func (s *Scheduler) mayReserve(j *job) bool {
	return s.now.Sub(j.Submitted) >= s.policy.ReserveAfter && !s.now.Before(j.noPlanBefore)
}

func (s *Scheduler) reserveFor(j *job) {
	if j.Accelerators == 0 {
		s.reserveCPU(j)
		return
	}
	place, ready := s.planReservation(j)
	if place == nil {
		j.noPlanBefore = s.now.Add(replanInterval)
		return
	}
	c := &claim{job: j, allocations: place, readyAt: ready}
	s.addClaim(c)
	if !j.mayBorrow() {
		s.tryMoveBlocksFrom(place)
	}
	s.updateReadyAt(c)
	s.preempt(c)
}

// replan moves reservations whose time has passed, or that a better place has
// turned up for.
func (s *Scheduler) replan() {
	for _, c := range slices.Clone(s.claims) {
		if c.guaranteed() || s.now.Before(s.nextPlanAt) {
			continue
		}
		late := s.now.After(c.readyAt) && s.now.Sub(c.plannedAt) >= time.Second
		if !late && s.now.Sub(c.plannedAt) < replanInterval {
			continue
		}
		s.moveReservation(c)
	}
}

func (s *Scheduler) moveReservation(c *claim) {
	before := s.capacityGen
	s.countClaim(c, -1)
	old := c.allocations
	s.updateReadyAt(c)
	stayReadyAt := c.readyAt
	if place, _ := s.planReservation(c.job); place != nil {
		c.allocations = place
		s.updateReadyAt(c)
	}
	if c.readyAt.Sub(s.now) > stayReadyAt.Sub(s.now)*moveWaitPercent/100 {
		c.allocations, c.readyAt = old, stayReadyAt
	}
	c.plannedAt = s.now
	s.countClaim(c, 1)
	s.capacityGen = before + 1
	s.preempt(c)
}

// updateReadyAt sets when a reservation is likely to be complete without evictions.
func (s *Scheduler) updateReadyAt(c *claim) {
	c.readyAt = s.now
	for _, p := range c.allocations {
		if t := s.nodeReadyAt(s.nodes[p.node], p.count); t.After(c.readyAt) {
			c.readyAt = t
		}
	}
}

// nodeReadyAt is when a node is likely to have need accelerators without work.
func (s *Scheduler) nodeReadyAt(n *node, need int) time.Time {
	have := n.capacity() - n.held + n.stopping - n.claimed
	var ends []expectedRelease
	for _, r := range n.runs {
		if k := r.acceleratorsOn(n.id); k > 0 && (r.protected || r.state != runStopping) {
			end := s.expectedEnd(r)
			if r.backfilled != nil && r.backfilled.includesNode(n.id) {
				end = s.now
			}
			ends = append(ends, expectedRelease{end, n.id, k})
		}
	}
	slices.SortStableFunc(ends, func(a, b expectedRelease) int { return a.at.Compare(b.at) })
	readyAt := s.now
	for _, e := range ends {
		if have >= need {
			break
		}
		have += e.count
		readyAt = e.at
	}
	return readyAt
}
