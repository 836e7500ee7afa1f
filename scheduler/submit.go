package scheduler

import "fmt"

// maxFailedNodes bounds the failed workers that are remembered per job.
const maxFailedNodes = 8

func (s *Scheduler) newJob(spec Job) *job {
	s.seq++
	j := &job{Job: spec, account: s.accountOf(spec.Account), lastAttempt: spec.LastAttempt, seq: s.seq, delayIndex: -1}
	if j.Submitted.IsZero() {
		j.Submitted = s.now
	}
	s.jobs[j.ID] = j
	return j
}

// submit queues a job or rejects it at once.
func (s *Scheduler) submit(spec Job) {
	if _, ok := s.jobs[spec.ID]; ok {
		return
	}
	a := s.accounts[spec.Account]
	if a == nil || !a.declared {
		s.emit(RejectJob{spec.ID, RejectUnknownAccount, fmt.Sprintf("account %q is not in the policy", spec.Account)})
		return
	}
	if !validJob(&spec) {
		s.emit(RejectJob{spec.ID, RejectInvalid, "a size is negative or the adjacency is unknown"})
		return
	}
	if a.waiting >= a.maxQueued() {
		s.emit(RejectJob{spec.ID, RejectQueueFull, fmt.Sprintf("%d jobs of the account wait", a.waiting)})
		return
	}
	s.enqueue(s.newJob(spec))
}

func validJob(j *Job) bool {
	return j.Accelerators >= 0 && j.Cores >= 0 && j.MemoryMB >= 0 &&
		j.Adjacency <= AdjacentWorker && j.Accelerators+j.Cores+j.MemoryMB > 0
}

// cancel withdraws a job. Its cost does not depend on the number of waiting
// jobs.
func (s *Scheduler) cancel(id JobID) {
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	if j.run == nil {
		s.endJob(j, RejectCancelled, "cancelled while it waited")
		return
	}
	j.cancelled = true
	s.stopRun(j.run, StopCancelled, false)
}
