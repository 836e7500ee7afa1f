package scheduler

// explainState is what the explanations of all jobs share after one decision.
// Computing it is linear in queues and claims.
type explainState struct {
	// steps is Scheduler.steps at that decision.
	steps uint64
	// firstJob gets open capacity first, or is nil if no job waits for it.
	firstJob *job
	// triedQueue is the queue whose first job the next decision is certain to
	// try before anything else changes, or nil.
	triedQueue *queue
	// reservedDeltas is by how much open capacity would grow without
	// reservations.
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

// firstWaiting returns the job that gets open capacity first, or nil.
func (s *Scheduler) firstWaiting() *job {
	var first *job
	for _, a := range s.accountList {
		if j := s.firstOfAccount(a); j != nil && (first == nil || s.precedesAcrossAccounts(j, first)) {
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
