package scheduler

// explainState are what the explanations of all jobs share at one state. Their cost is
// linear in queues and claims.
type explainState struct {
	steps uint64
	// firstJob goes firstJob when open capacity turns up; nil if no job waits for it.
	firstJob *job
	// triedQueue is the queue whose first job the next decision tries before anything
	// else changes; nil if that is not certain.
	triedQueue *queue
	// reservedDeltas is what open capacity would be larger by without reservations.
	reservedDeltas indexDeltas
}

func (s *Scheduler) newExplainState() *explainState {
	return &explainState{
		steps:          s.steps,
		firstJob:       s.firstWaiting(),
		triedQueue:     s.firstTriedQueue(),
		reservedDeltas: s.reservedDeltas(),
	}
}

// firstWaiting is the job that goes first when open capacity turns up, or nil.
func (s *Scheduler) firstWaiting() *job {
	var first *job
	for _, a := range s.accountList {
		if j := s.firstOfAccount(a); j != nil && (first == nil || s.precedesOverall(j, first)) {
			first = j
		}
	}
	return first
}

func (s *Scheduler) firstOfAccount(a *account) *job {
	var first *job
	for _, q := range a.queueList {
		if j := s.firstUnclaimed(q); j != nil && (first == nil || s.precedesInAccount(j, first)) {
			first = j
		}
	}
	return first
}
