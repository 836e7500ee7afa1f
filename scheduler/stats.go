package scheduler

// Stats is a summary of the state of a scheduler.
type Stats struct {
	// Workers that may be given work, and their accelerators.
	Workers      int
	Accelerators int
	// Free accelerators are held by no attempt, Reserved ones are set aside.
	Free     int
	Reserved int
	// Fragmentation is the free accelerators in pieces too small for the jobs
	// that wait, averaged over those jobs by their size.
	Fragmentation float64
	Quarantined   int
	// UnplacedBlocks is the guaranteed blocks that fit nowhere now.
	UnplacedBlocks int
	// Evicting is the evictions in progress.
	Evicting int
	Starts   uint64
	Accounts []AccountStats
}

// AccountStats is the part of one account.
type AccountStats struct {
	ID AccountID
	// Waiting counts jobs by class, Running all attempts.
	Waiting map[string]int
	Running int
	// Borrowed accelerators are in use beyond the guarantee.
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

// demand is what matters for the pieces that a waiting job can use.
type demand struct {
	accelerators int
	span         Adjacency
}

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

// unusableFree is the free accelerators in units of a span that have too few.
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
