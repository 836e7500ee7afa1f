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
	// replanAfter is how often a reservation looks for an earlier place.
	replanAfter = 10 * time.Second
	// planCost paces planning at large sizes: after a plan that looked at n ends
	// of work, the next one waits n times this long.
	planCost = 20 * time.Microsecond
	// moveGain is the percentage of its remaining wait below which the wait at
	// another place must lie for a reservation to move: one that moves often
	// drains one place after the other.
	moveGain = 50
	// planEvery is the shortest time between two plans.
	planEvery = 100 * time.Millisecond
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
			s.recall(c)
		}
	}
	s.wantPlan = false
	if have >= s.policy.MaxReservations || have > 0 && reserved*100 >= s.size.total()*s.policy.ReservedSharePercent {
		return
	}
	for _, j := range s.stuck(s.policy.MaxReservations - have) {
		if s.now.Before(s.planAt) {
			s.wantPlan = true
			return
		}
		reserved += j.Accelerators
		if have > 0 && reserved*100 > s.size.total()*s.policy.ReservedSharePercent {
			return
		}
		s.reserveFor(j)
		have++
	}
}

// stuck lists the first jobs of queues that found no place, oldest first.
func (s *Scheduler) stuck(limit int) []*job {
	var out []*job
	for _, a := range s.accountList {
		for _, q := range a.order {
			j := s.claimHead(q)
			if j == nil || j.claim != nil || j.cpuOn != nil || !s.mayReserve(j) {
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
	return s.now.Sub(j.Submitted) >= s.policy.ReserveAfter && !s.now.Before(j.planAfter)
}

func (s *Scheduler) reserveFor(j *job) {
	if j.Accelerators == 0 {
		s.reserveCPU(j)
		return
	}
	at, ready := s.plan(j)
	if at == nil {
		j.planAfter = s.now.Add(replanAfter)
		return
	}
	c := &claim{job: j, pieces: at, ready: ready}
	s.addClaim(c)
	if !j.borrows() {
		s.moveAway(at)
	}
	s.expect(c)
	s.preempt(c)
}

// replan moves reservations whose time has passed, or that a better place has
// turned up for.
func (s *Scheduler) replan() {
	for _, c := range slices.Clone(s.claims) {
		if c.guaranteed() || s.now.Before(s.planAt) {
			continue
		}
		late := s.now.After(c.ready) && s.now.Sub(c.made) >= time.Second
		if !late && s.now.Sub(c.made) < replanAfter {
			continue
		}
		s.moveReservation(c)
	}
}

func (s *Scheduler) moveReservation(c *claim) {
	before := s.grown
	s.countClaim(c, -1)
	old := c.pieces
	s.expect(c)
	stay := c.ready
	if at, _ := s.plan(c.job); at != nil {
		c.pieces = at
		s.expect(c)
	}
	if c.ready.Sub(s.now) > stay.Sub(s.now)*moveGain/100 {
		c.pieces, c.ready = old, stay
	}
	c.made = s.now
	s.countClaim(c, 1)
	s.grown = before + 1
	s.preempt(c)
}

// expect sets when a reservation is likely to be complete without evictions.
func (s *Scheduler) expect(c *claim) {
	c.ready = s.now
	for _, p := range c.pieces {
		if t := s.readyAt(s.nodes[p.node], p.n); t.After(c.ready) {
			c.ready = t
		}
	}
}

// readyAt is when a node is likely to have need accelerators without work.
func (s *Scheduler) readyAt(n *node, need int) time.Time {
	have := n.capacity() - n.held + n.leave - n.claim
	var ends []ending
	for _, r := range n.runs {
		if k := r.on(n.id); k > 0 && (r.protected || r.state != runStopping) {
			end := s.endOf(r)
			if r.under != nil && r.under.on(n.id) {
				end = s.now
			}
			ends = append(ends, ending{end, n.id, k})
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return a.at.Compare(b.at) })
	at := s.now
	for _, e := range ends {
		if have >= need {
			break
		}
		have += e.n
		at = e.at
	}
	return at
}
