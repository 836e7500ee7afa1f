package scheduler

import (
	"fmt"
	"time"
)

// gangRefused releases an attempt that did not start. The job returns to its
// place in the queue after a delay, so that the same plan is not repeated at
// once on stale state.
func (s *Scheduler) gangRefused(e GangRefused) {
	r := s.currentRun(e.Job, e.Attempt)
	if r == nil {
		return
	}
	s.release(r)
	if n := s.nodeByID[e.Worker]; n != nil {
		s.recordRefusal(n, r.job)
	}
	if r.job.cancelled {
		s.endJob(r.job, RejectCancelled, "cancelled before it started")
		return
	}
	r.job.failures++
	s.requeue(r)
}

// gangEnded releases an attempt that has ended and finishes, rejects or
// requeues its job.
func (s *Scheduler) gangEnded(e GangEnded) {
	r := s.currentRun(e.Job, e.Attempt)
	if r == nil {
		return
	}
	j := r.job
	if e.Outcome == Done {
		s.attemptSucceeded(r)
		s.release(r)
		s.forgetJob(j)
		return
	}
	if r.state == runStopping && r.stopReason == StopReclaim {
		s.recordEviction(r, e.Checkpointed)
	}
	s.release(r)
	switch {
	case j.cancelled:
		s.endJob(j, RejectCancelled, "cancelled while it ran")
	case !j.Evictable():
		s.endJob(j, RejectNotRepeatable, "the attempt ended early and the job must not run twice")
	case e.Outcome == Failed:
		s.attemptFailed(r, e.Worker)
	case e.Outcome == StartFailed:
		s.startFailed(r, e.Worker)
	case e.Outcome == Lost:
		s.attemptLost(r)
	default:
		s.requeue(r)
	}
}

// attemptFailed records a failure with the worker and the job. It rejects the
// job if it has failed too often or on too many healthy workers, and otherwise
// requeues it.
func (s *Scheduler) attemptFailed(r *run, worker WorkerID) {
	j := r.job
	j.failures++
	s.recordFailure(r, worker)
	failedWorkers := s.countHealthyWorkerFailures(j)
	if failedWorkers >= s.policy.JobFailureWorkers || j.failures >= s.policy.MaxAttempts {
		s.clearWorkerFailures(j)
		s.endJob(j, RejectFaulty, fmt.Sprintf("failed %d times, on %d healthy workers", j.failures, failedWorkers))
		return
	}
	s.requeue(r)
}

// startFailed records a failure with the worker and requeues the job after a
// delay. The job is not rejected however often this happens: it has not failed.
func (s *Scheduler) startFailed(r *run, worker WorkerID) {
	if n := s.nodeByID[worker]; n != nil {
		s.recordRefusal(n, r.job)
	}
	r.job.startFailures++
	s.requeue(r)
}

// earlyLossPeriod is how soon after its start the loss of an attempt counts
// against its job. Long jobs outlive many workers, so later losses don't count.
const earlyLossPeriod = 10 * time.Minute

// attemptLost requeues the job of an attempt that was lost with a worker. It
// rejects the job if early losses repeat: a job that crashes the workers it
// starts on never reports a failure.
func (s *Scheduler) attemptLost(r *run) {
	j := r.job
	if r.state != runStarting && s.now.Sub(r.started) >= earlyLossPeriod {
		j.earlyLosses = 0
		s.requeue(r)
		return
	}
	j.earlyLosses++
	if j.earlyLosses >= s.policy.MaxAttempts {
		s.endJob(j, RejectFaulty, fmt.Sprintf("lost with its workers %d times in a row", j.earlyLosses))
		return
	}
	s.requeue(r)
}

// requeue makes the job of an ended attempt wait again, at its old position and
// after a backoff if it has failed or was lost early.
func (s *Scheduler) requeue(r *run) {
	j := r.job
	s.emit(JobRequeued{Job: j.ID, Attempt: r.attempt})
	if n := j.failures + j.earlyLosses + j.startFailures; n > 0 {
		s.delay(j, s.now.Add(backoff(s.policy.RetryAfter, n)))
		return
	}
	s.enqueue(j)
}

// endJob emits the final rejection of a job and forgets the job.
func (s *Scheduler) endJob(j *job, reason RejectReason, detail string) {
	s.emit(RejectJob{Job: j.ID, Reason: reason, Detail: detail})
	s.forgetJob(j)
}

func (s *Scheduler) forgetJob(j *job) {
	s.dequeue(j)
	s.removeDelayed(j)
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	s.dropCPUReservation(j)
	delete(s.jobs, j.ID)
}
