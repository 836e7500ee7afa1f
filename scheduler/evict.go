package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// restartCost is the cost of stopping and restarting an attempt, in
	// accelerator seconds per accelerator, on top of the work that it loses.
	restartCost = 2.0
	// reservedCapacityCost is the cost to a claim of taking accelerators that
	// are reserved for a waiting gang, in accelerator seconds per accelerator.
	reservedCapacityCost = 60.0
	// repeatEvictionFactor raises the cost of each further eviction of the same
	// job, so that evictions are spread over jobs.
	repeatEvictionFactor = 1.0
)

// lostWork returns the accelerator seconds that evicting the attempt would
// lose: the time since its start or its last checkpoint.
func (s *Scheduler) lostWork(r *run) float64 {
	if r.state == runStarting {
		return 0
	}
	since := r.started
	if r.lastCheckpoint.After(since) {
		since = r.lastCheckpoint
	}
	return max(0, s.now.Sub(since).Seconds()) * float64(r.size())
}

// runEvictionCost returns the cost by which victims are chosen. A
// checkpointable attempt saves its work before it stops, so only its restart
// counts.
func (s *Scheduler) runEvictionCost(r *run) float64 {
	cost := restartCost * float64(r.size())
	if !r.job.Checkpointable {
		cost += s.lostWork(r)
	}
	return cost * (1 + repeatEvictionFactor*float64(r.job.evictions))
}

// victims returns the evictions that make a place available, and their cost. It
// goes through the nodes in order and takes each attempt once.
func (s *Scheduler) victims(place []allocation) ([]*run, float64) {
	var out []*run
	total := 0.0
	for _, p := range place {
		n := s.nodes[p.node]
		short := p.count - s.availableSoon(n, out)
		if short <= 0 {
			continue
		}
		for _, r := range s.cheapestVictims(n, out, short) {
			out = append(out, r)
			total += s.runEvictionCost(r)
		}
	}
	return out, total
}

// availableSoon returns the accelerators of a node that a claim can count on:
// idle ones and those being stopped, less earlier claims, plus what the chosen
// victims hold there.
func (s *Scheduler) availableSoon(n *node, chosen []*run) int {
	available := max(0, n.capacity()-n.held+n.stopping-n.claimed)
	for _, r := range chosen {
		available += r.acceleratorsOn(n.id)
	}
	return available
}

// acceleratorsOn returns the accelerators that the attempt holds on a node.
func (r *run) acceleratorsOn(id nodeID) int {
	for _, p := range r.held {
		if p.node == id {
			return p.count
		}
	}
	return 0
}

// cheapestVictims chooses the evictable attempts that free at least short
// accelerators of a node at the lowest total cost. This is a knapsack of at
// most [MaxWorkerAccelerators] units.
func (s *Scheduler) cheapestVictims(n *node, chosen []*run, short int) []*run {
	cost := make([]float64, short+1) // lowest cost to free i accelerators
	for i := 1; i <= short; i++ {
		cost[i] = math.Inf(1)
	}
	last := make([][]*run, short+1)
	for _, r := range n.runs {
		k := r.acceleratorsOn(n.id)
		if r.protected || r.state == runStopping || k == 0 || slices.Contains(chosen, r) {
			continue
		}
		price := s.runEvictionCost(r)
		for i := short; i > 0; i-- {
			from := max(0, i-k)
			if c := cost[from] + price; c < cost[i] {
				cost[i] = c
				last[i] = append(slices.Clone(last[from]), r)
			}
		}
	}
	return last[short]
}

// placeEvictionCost returns what a job of need accelerators would evict in the
// first part of a place that may be larger than the job, plus the cost of
// reserved capacity that it would take.
func (s *Scheduler) placeEvictionCost(place []allocation, need int) float64 {
	var part []allocation
	for _, p := range place {
		if need == 0 {
			break
		}
		k := min(need, p.count)
		part = append(part, allocation{node: p.node, count: k})
		need -= k
	}
	_, cost := s.victims(part)
	for _, p := range part {
		n := s.nodes[p.node]
		cost += reservedCapacityCost * float64(max(0, p.count-s.openForClaim(n)))
	}
	return cost
}

// openForClaim returns the accelerators of a node that a claim could take
// without taking reserved ones.
func (s *Scheduler) openForClaim(n *node) int {
	if n.reserved == 0 {
		return n.capacity()
	}
	return n.open()
}

// sendEvictions sends the evictions that claims need, oldest claim first, up to
// MaxEvictions in progress.
func (s *Scheduler) sendEvictions() {
	for _, c := range s.claims {
		if c.guaranteed() {
			s.evictFor(c)
		}
	}
}

// evictFor sends the evictions of one claim. It chooses the victims again each
// time, since work may have ended in the meantime.
func (s *Scheduler) evictFor(c *claim) {
	if s.evictionsInProgress >= s.policy.MaxEvictions {
		return
	}
	for _, r := range s.claimVictims(c) {
		if s.evictionsInProgress >= s.policy.MaxEvictions {
			return
		}
		s.stopRun(r, StopReclaim, r.job.Checkpointable)
	}
}

// claimVictims chooses the victims of a claim. The claim's own accelerators are
// not counted as claimed meanwhile.
func (s *Scheduler) claimVictims(c *claim) []*run {
	for _, p := range c.allocations {
		s.nodes[p.node].claimed -= p.count
	}
	out, _ := s.victims(c.allocations)
	for _, p := range c.allocations {
		s.nodes[p.node].claimed += p.count
	}
	return out
}

// recordEviction adds the work that an eviction lost to the totals of the
// account.
func (s *Scheduler) recordEviction(r *run, checkpointed time.Time) {
	if checkpointed.After(r.lastCheckpoint) {
		r.lastCheckpoint = checkpointed
	}
	r.job.evictions++
	e := &r.job.account.evicted
	e.Gangs++
	e.AcceleratorSeconds += s.lostWork(r)
	s.stopBorrowing(r.job)
}
