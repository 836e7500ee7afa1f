package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// restartCost is what any eviction costs, in accelerator seconds per
	// accelerator, besides the work it loses: the time to stop and start again.
	restartCost = 2.0
	// reservedCapacityCost is what a claim is charged per accelerator that is reserved for
	// a waiting gang, in accelerator seconds.
	reservedCapacityCost = 60.0
	// repeatEvictionFactor makes each further eviction of the same job dearer, so that
	// evictions don't fall on one job over and over.
	repeatEvictionFactor = 1.0
)

// lostWork is the accelerator seconds that an eviction of the run would lose.
// A run that can checkpoint loses only what the checkpoint does not cover.
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

// runEvictionCost is the cost by which victims are chosen.
func (s *Scheduler) runEvictionCost(r *run) float64 {
	cost := restartCost * float64(r.size())
	if !r.job.Checkpointable {
		cost += s.lostWork(r)
	}
	return cost * (1 + repeatEvictionFactor*float64(r.job.evictions))
}

// victims returns the evictions that make the pieces available, and their cost.
// It goes node by node and counts no run twice.
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

// availableSoon is what a claim may count on at a node: idle accelerators and those
// being stopped, less earlier claims, plus what the chosen victims hold there.
func (s *Scheduler) availableSoon(n *node, chosen []*run) int {
	available := max(0, n.capacity()-n.held+n.stopping-n.claimed)
	for _, r := range chosen {
		available += r.acceleratorsOn(n.id)
	}
	return available
}

func (r *run) acceleratorsOn(id nodeID) int {
	for _, p := range r.held {
		if p.node == id {
			return p.count
		}
	}
	return 0
}

// cheapestVictims chooses the evictable runs of a node that free at least short accelerators
// there at the least cost: a knapsack over at most [MaxWorkerAccelerators].
func (s *Scheduler) cheapestVictims(n *node, chosen []*run, short int) []*run {
	cost := make([]float64, short+1) // least cost to free i accelerators
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

// placeEvictionCost is what a job of need accelerators would evict in a place that
// may be larger than the job.
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

// openForClaim is what a claim could take of a node without touching a reservation.
func (s *Scheduler) openForClaim(n *node) int {
	if n.reserved == 0 {
		return n.capacity()
	}
	return n.open()
}

// sendEvictions sends the evictions of claims, oldest claim first, as far as the
// bound on those in progress allows.
func (s *Scheduler) sendEvictions() {
	for _, c := range s.claims {
		if c.guaranteed() {
			s.evictFor(c)
		}
	}
}

// evictFor sends evictions of one claim. It chooses the victims afresh, since
// work may have ended in the meantime.
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

// claimVictims chooses whom a claim evicts. The claim itself counts among those of
// its nodes, so it is taken out while choosing.
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

// recordEviction records what an eviction lost.
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
