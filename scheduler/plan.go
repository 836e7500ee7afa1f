package scheduler

import (
	"slices"
	"time"
)

// expectedRelease is a number of accelerators of a node that become available
// at a time.
type expectedRelease struct {
	at    time.Time
	node  nodeID
	count int
}

// planReservation returns the place where a job could start soonest and the
// time, by predicted run times: the unit of its span in which enough
// accelerators are released first. It also sets nextPlanAt.
func (s *Scheduler) planReservation(j *job) ([]allocation, time.Time) {
	k := j.key()
	groups := map[int32][]expectedRelease{}
	count := 0
	for _, n := range s.nodes {
		if n.capacity() == 0 || slices.Contains(j.failedNodes, n.id) {
			continue
		}
		ends := s.expectedReleases(n, j)
		count += len(ends)
		unit := unitOf(n, k.span)
		groups[unit] = append(groups[unit], ends...)
	}
	s.nextPlanAt = s.now.Add(max(minPlanInterval, time.Duration(count)*planCostPerRelease))
	var best []allocation
	var ready time.Time
	bestUnit := int32(-1)
	for unit, ends := range groups {
		place, t := s.earliestPlace(&k, ends)
		if place == nil || best != nil && (t.After(ready) || t.Equal(ready) && unit > bestUnit) {
			continue
		}
		best, ready, bestUnit = place, t, unit
	}
	return best, ready
}

// expectedReleases lists when accelerators of a node become available for a
// reservation. Jobs that may not borrow can't count on what is bound to blocks
// in use.
func (s *Scheduler) expectedReleases(n *node, j *job) []expectedRelease {
	mayBorrow := j.mayBorrow()
	have := n.capacity() - n.held + n.stopping - n.claimed - n.reserved
	if !mayBorrow {
		have = min(have, n.slackWithoutUnused()-n.reserved)
	}
	out := []expectedRelease{{s.now, n.id, have}}
	for _, r := range n.runs {
		k := r.acceleratorsOn(n.id)
		if k == 0 || !r.protected && r.state == runStopping {
			continue
		}
		if !mayBorrow && len(r.blockUses) > 0 {
			continue
		}
		out = append(out, expectedRelease{s.endOrPreemption(r, j, s.expectedEnd(r)), n.id, k})
	}
	return out
}

// expectedEnd returns when an attempt is predicted to end.
func (s *Scheduler) expectedEnd(r *run) time.Time {
	total, _ := s.runTimes.predict(&r.job.Job, s.now.Sub(r.started), endQuantile)
	return r.started.Add(total)
}

// earliestPlace accumulates the releases in one unit in order of time until the
// job fits, and returns its place and that time.
func (s *Scheduler) earliestPlace(k *queueKey, ends []expectedRelease) ([]allocation, time.Time) {
	slices.SortStableFunc(ends, func(a, b expectedRelease) int { return a.at.Compare(b.at) })
	have := map[nodeID]int{}
	sum := 0
	for _, e := range ends {
		n := s.nodes[e.node]
		u := s.footprint(k, n)
		if u == 0 {
			continue
		}
		old := max(0, have[e.node]) / u
		have[e.node] += e.count
		sum += max(0, have[e.node])/u - old
		if sum >= k.accelerators {
			return s.takeFromFullest(k, have), e.at
		}
	}
	return nil, time.Time{}
}

// takeFromFullest takes what the job needs from the nodes that have the most.
func (s *Scheduler) takeFromFullest(k *queueKey, have map[nodeID]int) []allocation {
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
	var out []allocation
	for _, id := range nodes {
		u := s.footprint(k, s.nodes[id])
		got := min(need, have[id]/u)
		if got == 0 {
			continue
		}
		out = append(out, allocation{node: id, count: got * u})
		if need -= got; need == 0 {
			break
		}
	}
	return out
}
