package scheduler

// account is the state of one client account.
type account struct {
	policy            AccountPolicy
	declared          bool // in the active policy
	queueByKey        map[queueKey]*queue
	queueList         []*queue // the queues, oldest first, for a deterministic order
	waiting           int
	usedOutsideBlocks int // accelerators held by attempts that use no block
	cpuJobCores       int // cores in use by jobs without accelerators
	running           int
	blocks            []*block
	blockGen          uint64 // changes when unused capacity of its blocks may have grown
	evicted           EvictionTotals
}

// EvictionTotals is the work lost to evictions.
type EvictionTotals struct {
	Gangs int
	// AcceleratorSeconds sums, over the evicted gangs, the time since the last
	// checkpoint, or since the start if there is none, times the accelerators.
	AcceleratorSeconds float64
}

func (a *account) weight() float64 { return float64(max(1, a.policy.Weight)) }

func (a *account) maxQueued() int { return orInt(a.policy.MaxQueued, DefaultMaxQueued) }

// accountOf returns the state of an account and creates it if it is unknown.
func (s *Scheduler) accountOf(id AccountID) *account {
	a := s.accounts[id]
	if a == nil {
		a = &account{policy: AccountPolicy{ID: id}, queueByKey: map[queueKey]*queue{}}
		s.accounts[id] = a
		s.accountList = append(s.accountList, a)
	}
	return a
}

// weightedShare returns the dominant share of the account's use outside its
// blocks (accelerators or cores), divided by its weight.
func (s *Scheduler) weightedShare(a *account) float64 {
	acc := float64(a.usedOutsideBlocks) / float64(max(1, s.installed.total()))
	cpu := float64(a.cpuJobCores) / float64(max(1, s.cpuJobCores))
	return max(acc, cpu) / a.weight()
}
