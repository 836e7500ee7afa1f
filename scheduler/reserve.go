package scheduler

import (
	"slices"
	"time"
)

const (
	// backfillQuantile is the quantile of a job's predicted run time that must
	// end before the reservation that the job backfills is ready.
	backfillQuantile = 0.9
	// endQuantile is the quantile of run times at which running work is
	// expected to end.
	endQuantile = 0.7
	// replanInterval is how often an earlier place is sought for a reservation,
	// or for a job that got none.
	replanInterval = 10 * time.Second
	// planCostPerRelease paces planning on large topologies: the next plan
	// waits this long for each release that the last one looked at.
	planCostPerRelease = 20 * time.Microsecond
	// moveWaitPercent is the percentage of its remaining wait that the wait at
	// another place must not exceed for a reservation to move. Frequent moves
	// would drain one place after another.
	moveWaitPercent = 50
	// minPlanInterval is the shortest time between two plans.
	minPlanInterval = 100 * time.Millisecond
)

// reserve gives reservations to the jobs that have waited longest, so that
// smaller jobs don't starve them. It first updates existing reservations and
// stops backfilled work that is in their way.
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

// reservationCandidates lists up to limit first jobs of queues that may get a
// reservation, urgent ones first and then the oldest.
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
// has not failed to get one recently.
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

// replan reconsiders the places of reservations that are late or were last
// considered a replanInterval ago.
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

// moveReservation moves a reservation to a place that is ready much sooner, if
// there is one, and preempts for it if worthwhile.
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

// updateReadyAt sets when a reservation is expected to be complete without
// evictions.
func (s *Scheduler) updateReadyAt(c *claim) {
	c.readyAt = s.now
	for _, p := range c.allocations {
		if t := s.nodeReadyAt(s.nodes[p.node], p.count); t.After(c.readyAt) {
			c.readyAt = t
		}
	}
}

// nodeReadyAt returns when a node is expected to have need free accelerators.
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
