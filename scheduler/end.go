package scheduler

import (
	"fmt"
	"time"
)

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
	case e.Outcome == Lost:
		s.lost(r)
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
	if strikes >= s.policy.JobFailureWorkers || j.failures >= s.policy.MaxAttempts {
		s.acquit(j)
		s.endJob(j, RejectFaulty, fmt.Sprintf("failed %d times, on %d healthy workers", j.failures, strikes))
		return
	}
	s.requeue(r)
}

// earlyLoss is how soon after its start an attempt has to be lost for that to speak
// against its job. Jobs that run for weeks see many workers go.
const earlyLoss = 10 * time.Minute

// lost tries an attempt again that went with a worker, unless that has happened too
// often.
//
// The failure it guards against: a job that takes down the workers that start it
// never fails, since nothing of it is left to say so, and would go on to the next
// worker for ever.
func (s *Scheduler) lost(r *run) {
	j := r.job
	if r.state != runStarting && s.now.Sub(r.started) >= earlyLoss {
		j.losses = 0
		s.requeue(r)
		return
	}
	j.losses++
	if j.losses >= s.policy.MaxAttempts {
		s.endJob(j, RejectFaulty, fmt.Sprintf("lost with its workers %d times in a row", j.losses))
		return
	}
	s.requeue(r)
}

// requeue lets the job of an ended attempt wait again, at its old place.
func (s *Scheduler) requeue(r *run) {
	j := r.job
	s.emit(JobRequeued{Job: j.ID, Attempt: r.attempt})
	if n := j.failures + j.losses; n > 0 {
		s.delay(j, s.now.Add(backoff(s.policy.RetryAfter, n)))
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
