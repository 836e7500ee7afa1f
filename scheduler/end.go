package scheduler

import "fmt"

// gangRefused takes back an attempt that did not start. The job goes back to its
// place in the queue after a short delay, so that a stale plan is not repeated
// at once.
func (s *Scheduler) gangRefused(e GangRefused) {
	r := s.runOf(e.Job, e.Attempt)
	if r == nil {
		return
	}
	s.release(r)
	if n := s.nodeByID[e.Worker]; n != nil {
		s.refused(n, r.job)
	}
	if r.job.cancelled {
		s.endJob(r.job, RejectCancelled, "cancelled before it started")
		return
	}
	r.job.failures++
	s.requeue(r)
}

// gangEnded decides what becomes of the job of an attempt that has ended.
func (s *Scheduler) gangEnded(e GangEnded) {
	r := s.runOf(e.Job, e.Attempt)
	if r == nil {
		return
	}
	j := r.job
	if e.Outcome == Done {
		s.succeeded(r)
		s.release(r)
		s.forgetJob(j)
		return
	}
	if r.state == runStopping && r.stop == StopReclaim {
		s.evictedRun(r, e.Checkpointed)
	}
	s.release(r)
	switch {
	case j.cancelled:
		s.endJob(j, RejectCancelled, "cancelled while it ran")
	case !j.Evictable():
		s.endJob(j, RejectNotRepeatable, "the attempt ended early and the job must not run twice")
	case e.Outcome == Failed:
		s.failed(r, e.Worker)
	default:
		s.requeue(r)
	}
}

// failed charges a failure to the worker or to the job, and tries again unless
// the job is at fault.
func (s *Scheduler) failed(r *run, worker WorkerID) {
	j := r.job
	j.failures++
	s.blame(r, worker)
	strikes := s.healthyStrikes(j)
	if strikes >= s.policy.JobStrikes || j.failures >= s.policy.MaxAttempts {
		s.acquit(j)
		s.endJob(j, RejectFaulty, fmt.Sprintf("failed %d times, on %d healthy workers", j.failures, strikes))
		return
	}
	s.requeue(r)
}

// requeue lets the job of an ended attempt wait again, at its old place.
func (s *Scheduler) requeue(r *run) {
	j := r.job
	s.emit(RequeuedJob{Job: j.ID, Attempt: r.attempt})
	if j.failures > 0 {
		s.delay(j, s.now.Add(backoff(s.policy.RetryAfter, j.failures)))
		return
	}
	s.enqueue(j)
}

// endJob reports the one reason with which a job ends and forgets the job.
func (s *Scheduler) endJob(j *job, why RejectReason, detail string) {
	s.emit(RejectJob{Job: j.ID, Reason: why, Detail: detail})
	s.forgetJob(j)
}

func (s *Scheduler) forgetJob(j *job) {
	s.dequeue(j)
	s.undelay(j)
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	s.dropCPU(j)
	delete(s.jobs, j.ID)
}
