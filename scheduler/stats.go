package scheduler

// Stats summarises the state of a scheduler.
type Stats struct {
	// Workers counts those that may get work, and Accelerators what they have.
	Workers      int
	Accelerators int
	// Free accelerators are held by no attempt. Reserved ones are those of them
	// that are claimed or reserved.
	Free     int
	Reserved int
	// Fragmentation is the number of free accelerators in units too small for
	// the waiting jobs, averaged over these jobs weighted by their size.
	Fragmentation float64
	Quarantined   int
	// UnplacedBlocks counts the guaranteed blocks that are unbound now.
	UnplacedBlocks int
	// Evicting counts the evictions in progress.
	Evicting int
	Starts   uint64
	Accounts []AccountStats
}

// AccountStats summarises the state of one account.
type AccountStats struct {
	ID AccountID
	// Waiting counts jobs by class. Running counts all attempts.
	Waiting map[string]int
	Running int
	// Borrowed counts the accelerators in use outside the account's blocks.
	Borrowed int
	Evicted  EvictionTotals
}

// Stats summarises the state. Its cost is linear in workers and queues.
func (s *Scheduler) Stats() Stats {
	out := Stats{UnplacedBlocks: len(s.unbound), Evicting: s.evictionsInProgress, Starts: s.starts}
	for _, n := range s.nodes {
		if n.health.excluded && n.up {
			out.Quarantined++
		}
		if n.usable() {
			out.Workers++
			out.Accelerators += n.capacity()
			out.Free += n.idle()
			out.Reserved += min(n.idle(), n.reserved+n.claimed)
		}
	}
	for _, a := range s.accountList {
		out.Accounts = append(out.Accounts, a.stats())
	}
	out.Fragmentation = s.fragmentation()
	return out
}

func (a *account) stats() AccountStats {
	out := AccountStats{ID: a.policy.ID, Waiting: map[string]int{}, Running: a.running, Borrowed: a.usedOutsideBlocks, Evicted: a.evicted}
	for _, q := range a.queueList {
		out.Waiting[q.key.class] += q.length
	}
	return out
}

// demand is what decides which free accelerators a waiting job can use.
type demand struct {
	accelerators int
	span         Adjacency
}

// fragmentation computes Stats.Fragmentation.
func (s *Scheduler) fragmentation() float64 {
	waiting := map[demand]int{}
	weight := 0
	for _, a := range s.accountList {
		for _, q := range a.queueList {
			if q.key.accelerators > 0 {
				waiting[demand{q.key.accelerators, q.key.span}] += q.length
				weight += q.length * q.key.accelerators
			}
		}
	}
	lost := 0
	for d, n := range waiting {
		lost += n * d.accelerators * s.unusableFree(d)
	}
	if weight == 0 {
		return 0
	}
	return float64(lost) / float64(weight)
}

// unusableFree returns the free accelerators in units that have too few for a
// demand.
func (s *Scheduler) unusableFree(d demand) int {
	units := map[int32]int{}
	for _, n := range s.nodes {
		units[unitOf(n, d.span)] += n.idle()
	}
	t := 0
	for _, free := range units {
		if free < d.accelerators {
			t += free
		}
	}
	return t
}
