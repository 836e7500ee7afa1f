package scheduler

const (
	// maxJobsAhead bounds how many preceding jobs in a queue are counted.
	maxJobsAhead = 1_000
	// maxUnitSizes bounds the sizes of free units that an explanation lists.
	maxUnitSizes = 8
)

// Explain returns why a job has not started, as of the last decision. It
// reports false for a job that is not known. It changes no scheduling state
// except that it counts as a use of the run times recorded for the job's class,
// and must run on the goroutine that owns the Scheduler.
//
// WaitFitsNow guarantees that the next Step starts the job unless its event or
// the passing of time changes the state first. WaitNoPlace, WaitNoCapacity and
// WaitOverShare guarantee that open capacity has no place for the job.
func (s *Scheduler) Explain(id JobID) (Explanation, bool) {
	state := s.newExplainState()
	return s.explain(id, func(q *queue, j *job) Explanation { return s.explainHead(q, j, state) })
}

// explain calls head for the first unclaimed job of a queue, so that a caller
// can cache that explanation for the other jobs of the queue.
func (s *Scheduler) explain(id JobID, head func(*queue, *job) Explanation) (Explanation, bool) {
	j := s.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	q := j.queue
	switch {
	case j.run != nil:
		return s.newExplanation(j, WaitNone), true
	case q == nil:
		e := s.newExplanation(j, WaitRetry)
		e.Until = j.notBefore
		return e, true
	case j.claim != nil && j.claim.guaranteed():
		return s.explainReclaim(j), true
	}
	if first := s.firstUnclaimed(q); first != j {
		return s.explainBehind(j, head(q, first)), true
	}
	return head(q, j), true
}

func (s *Scheduler) newExplanation(j *job, reason WaitReason) Explanation {
	return Explanation{
		Job: j.ID, Account: j.Account, Reason: reason, At: s.now,
		Accelerators: j.Accelerators, Span: j.Adjacency,
	}
}

// explainReclaim explains a job with a claim on its account's guarantee by the
// accelerators that are still to be evicted.
func (s *Scheduler) explainReclaim(j *job) Explanation {
	e := s.newExplanation(j, WaitReclaim)
	for _, p := range j.claim.allocations {
		e.Evicting += max(0, p.count-s.nodes[p.node].idle())
	}
	return e
}

// explainBehind explains a job that follows others in its queue.
func (s *Scheduler) explainBehind(j *job, first Explanation) Explanation {
	e := s.newExplanation(j, WaitBehind)
	e.First, e.FirstReason, e.Until = first.Job, first.Reason, first.Until
	for x := j.prev; x != nil; x = x.prev {
		if e.Ahead == maxJobsAhead {
			e.AheadTruncated = true
			break
		}
		e.Ahead++
	}
	return e
}

// explainHead explains the first job of a queue that holds no claim on a
// guarantee.
func (s *Scheduler) explainHead(q *queue, j *job, state *explainState) Explanation {
	switch {
	case len(s.nodeByID) == 0:
		return s.newExplanation(j, WaitNoWorkers)
	case j.claim != nil:
		e := s.newExplanation(j, WaitReserved)
		e.Until = j.claim.readyAt
		return e
	case j.cpuNode != nil:
		return s.newExplanation(j, WaitReserved)
	}
	if e, never := s.explainIfImpossible(q, j); never {
		return e
	}
	if s.startsNext(q, j, state) {
		return s.newExplanation(j, WaitFitsNow)
	}
	if j.Accelerators == 0 {
		return s.explainCores(j)
	}
	return s.explainBlocked(q, j, state)
}

func (s *Scheduler) explainCores(j *job) Explanation {
	if s.placeCPU(j.Cores, j.MemoryMB) != nil {
		return s.newExplanation(j, WaitNextDecision)
	}
	return s.newExplanation(j, WaitNoCores)
}

// explainIfImpossible explains a job that no known worker could ever hold.
// While workers may still register it is only reported as settling.
func (s *Scheduler) explainIfImpossible(q *queue, j *job) (Explanation, bool) {
	if q.sizeCheckedStamp == s.topologyGen+1 {
		return Explanation{}, false
	}
	_, detail, never := s.impossibleReason(q)
	if !never {
		return Explanation{}, false
	}
	e := s.newExplanation(j, WaitImpossible)
	e.Detail = detail
	if s.now.Before(s.settlingEnds) {
		e.Reason = WaitSettling
		e.Until = s.settlingEnds
	}
	return e, true
}
