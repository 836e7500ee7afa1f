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
	planCost = 2 * time.Microsecond
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
	s.wantPlan = false
	if have >= s.policy.MaxReservations || have > 0 && reserved*100 >= s.size.total()*s.policy.ReservedShare {
		return
	}
	for _, j := range s.stuck(s.policy.MaxReservations - have) {
		if s.now.Before(s.planAt) {
			s.wantPlan = true
			return
		}
		reserved += j.Accelerators
		if have > 0 && reserved*100 > s.size.total()*s.policy.ReservedShare {
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
	if !j.Evictable() {
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
		if k := r.on(n.id); k > 0 && (r.firm || r.state != runStopping) {
			ends = append(ends, ending{s.endOf(r), n.id, k})
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

// ending is accelerators of a node that become available at a time.
type ending struct {
	at   time.Time
	node nodeID
	n    int
}

// plan finds where a job could start first, going by learned run times: the unit
// of its span where enough work ends soonest.
func (s *Scheduler) plan(j *job) ([]piece, time.Time) {
	k := keyOf(&j.Job)
	groups := map[int32][]ending{}
	count := 0
	for _, n := range s.nodes {
		if n.capacity() == 0 || slices.Contains(j.failed, n.id) {
			continue
		}
		ends := s.endings(n, j)
		count += len(ends)
		span := spanOf(n, k.span)
		groups[span] = append(groups[span], ends...)
	}
	s.planAt = s.now.Add(max(planEvery, time.Duration(count)*planCost))
	var best []piece
	var ready time.Time
	bestSpan := int32(-1)
	for span, ends := range groups {
		at, t := s.gather(&k, ends)
		if at == nil || best != nil && (t.After(ready) || t.Equal(ready) && span > bestSpan) {
			continue
		}
		best, ready, bestSpan = at, t, span
	}
	return best, ready
}

// endings lists when accelerators of a node become available for a reservation.
// Work that may not be evicted can't count on what is bound to guarantees.
func (s *Scheduler) endings(n *node, j *job) []ending {
	evictable := j.Evictable()
	have := n.capacity() - n.held + n.leave - n.claim - n.wait
	if !evictable {
		have = min(have, n.movable()-n.wait)
	}
	out := []ending{{s.now, n.id, have}}
	for _, r := range n.runs {
		k := r.on(n.id)
		if k == 0 || !r.firm && r.state == runStopping {
			continue
		}
		if !evictable && len(r.shares) > 0 {
			continue
		}
		out = append(out, ending{s.preemptEnd(r, j, s.endOf(r)), n.id, k})
	}
	return out
}

func (s *Scheduler) endOf(r *run) time.Time {
	total, _ := s.learned.total(&r.job.Job, s.now.Sub(r.started), endQuantile)
	return r.started.Add(total)
}

// gather accumulates the ends of work in one unit of a span until the job fits.
func (s *Scheduler) gather(k *queueKey, ends []ending) ([]piece, time.Time) {
	slices.SortStableFunc(ends, func(a, b ending) int { return a.at.Compare(b.at) })
	have := map[nodeID]int{}
	sum := 0
	for _, e := range ends {
		n := s.nodes[e.node]
		u := s.units(k, n)
		if u == 0 {
			continue
		}
		old := max(0, have[e.node]) / u
		have[e.node] += e.n
		sum += max(0, have[e.node])/u - old
		if sum >= k.accelerators {
			return s.pick(k, have), e.at
		}
	}
	return nil, time.Time{}
}

// pick takes what the job needs from the nodes that have most.
func (s *Scheduler) pick(k *queueKey, have map[nodeID]int) []piece {
	nodes := make([]nodeID, 0, len(have))
	for id, n := range have {
		if n > 0 {
			nodes = append(nodes, id)
		}
	}
	slices.SortFunc(nodes, func(a, b nodeID) int {
		if d := have[b] - have[a]; d != 0 {
			return d
		}
		return int(a - b)
	})
	need := k.accelerators
	var out []piece
	for _, id := range nodes {
		u := s.units(k, s.nodes[id])
		got := min(need, have[id]/u)
		if got == 0 {
			continue
		}
		out = append(out, piece{node: id, n: got * u})
		if need -= got; need == 0 {
			break
		}
	}
	return out
}

// reserveCPU sets a worker aside for a job without accelerators: the one with
// the most cores left among those that could ever hold it.
func (s *Scheduler) reserveCPU(j *job) {
	var best *node
	for _, n := range s.nodes {
		if !n.usable() || n.cpuFor != nil || n.cpuBudget(s.policy.CPUShare) < j.Cores || n.memBudget(s.policy.CPUShare) < j.MemoryMB {
			continue
		}
		if best == nil || n.cpuCores > best.cpuCores {
			best = n
		}
	}
	if best == nil {
		return
	}
	best.cpuFor = j
	j.cpuOn = best
	s.refreshCPU(best)
}

// dropCPU gives up the worker that is set aside for a job.
func (s *Scheduler) dropCPU(j *job) {
	if j.cpuOn == nil {
		return
	}
	n := j.cpuOn
	n.cpuFor, j.cpuOn = nil, nil
	s.refreshCPU(n)
}
