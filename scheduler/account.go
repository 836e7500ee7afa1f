package scheduler

// account is the state of one client account.
type account struct {
	policy  AccountPolicy
	known   bool // in the policy in force
	queues  map[queueKey]*queue
	order   []*queue // the queues, oldest first, for a deterministic walk
	waiting int
	used    int // accelerators in use beyond the guarantee
	cores   int // cores in use by jobs without accelerators
	running int
	blocks  []*block
	gen     uint64 // changes when the room in its blocks may have grown
	evicted EvictionTotals
}

// EvictionTotals is the work lost to evictions.
type EvictionTotals struct {
	Gangs int
	// AcceleratorSeconds is the time since the last checkpoint, or since the
	// start, times the accelerators.
	AcceleratorSeconds float64
}

func (a *account) weight() float64 { return float64(max(1, a.policy.Weight)) }

func (a *account) maxQueued() int { return orInt(a.policy.MaxQueued, DefaultMaxQueued) }

func (s *Scheduler) accountOf(id AccountID) *account {
	a := s.accounts[id]
	if a == nil {
		a = &account{policy: AccountPolicy{ID: id}, queues: map[queueKey]*queue{}}
		s.accounts[id] = a
		s.accountList = append(s.accountList, a)
	}
	return a
}

// share is the dominant use beyond the guarantee, divided by the weight.
func (s *Scheduler) share(a *account) float64 {
	acc := float64(a.used) / float64(max(1, s.size.total()))
	cpu := float64(a.cores) / float64(max(1, s.cores))
	return max(acc, cpu) / a.weight()
}
