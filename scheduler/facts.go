package scheduler

// facts are what the explanations of all jobs share at one state. Their cost is
// linear in queues and claims.
type facts struct {
	steps uint64
	// first goes first when open capacity turns up; nil if no job waits for it.
	first *job
	// tried is the queue whose first job the next decision tries before anything
	// else changes; nil if that is not certain.
	tried *queue
	// reserved is what open capacity would be larger by without reservations.
	reserved changes
}

func (s *Scheduler) factsNow() *facts {
	return &facts{
		steps:    s.steps,
		first:    s.firstWaiting(),
		tried:    s.firstTried(),
		reserved: s.reservations(),
	}
}

// firstWaiting is the job that goes first when open capacity turns up, or nil.
func (s *Scheduler) firstWaiting() *job {
	var first *job
	for _, a := range s.accountList {
		if j := s.firstOfAccount(a); j != nil && (first == nil || s.ahead(j, first)) {
			first = j
		}
	}
	return first
}

func (s *Scheduler) firstOfAccount(a *account) *job {
	var first *job
	for _, q := range a.order {
		if j := s.claimHead(q); j != nil && (first == nil || s.before(j, first)) {
			first = j
		}
	}
	return first
}
