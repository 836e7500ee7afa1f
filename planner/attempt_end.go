package planner

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// handleAttemptEnded reports the end of an attempt to the scheduler, and ends
// the job if the outcome is final.
func (p *Planner) handleAttemptEnded(j *job, e gang.Ended) {
	if e.Outcome == gang.Superseded {
		p.endSuperseded("an agent refused this planner's epoch", 0)
		return
	}
	p.logUnsuccessful(j, e)
	id, attempt := scheduler.JobID(j.stored.ID), j.attempt
	members := j.coord.Plan().Members
	if e.MayBeRecorded {
		j.endedAttempt = j.coord.Plan().ID
	}
	p.detachCoordinator(j)
	j.lastEnded = e
	j.keepCheckpoint(e)
	if e.Cause == gang.CauseRefused {
		p.cfg.Metrics.Add(metrics.ReservationsRefused, 1)
	}
	if e.Outcome == gang.NotStarted {
		j.permit.mayHaveBeenUsed = false
		p.cfg.Metrics.Add(metrics.GangsAborted, 1)
		atFault := p.workerAtFault(e)
		p.markMayHold(members)
		if p.mustBeTakenOver(j) {
			p.withhold(j) // the scheduler could start it again at once
		}
		p.stepScheduler(scheduler.GangRefused{Job: id, Attempt: attempt, Worker: atFault})
		p.handleNotStarted(j)
		return
	}
	j.mayHaveStarted = true
	switch {
	case e.Outcome == gang.Done:
		p.endJob(j, jobs.Done, "")
	case p.retriesExhausted(j, e):
		p.endJob(j, jobs.Failed, reasonRetries)
		p.withdrawJob(j.stored.ID)
	}
	ended := scheduler.GangEnded{Job: id, Attempt: attempt, Outcome: schedulerOutcome(e.Outcome)}
	if e.CauseAgent != "" {
		ended.Worker = scheduler.WorkerID(e.CauseAgent)
	}
	if e.Checkpointed() {
		ended.Checkpointed = time.Now()
	}
	p.stepScheduler(ended)
}

// logUnsuccessful logs why an attempt did not start or did not run to its end.
// Refused reservations are only counted, since there may be many.
func (p *Planner) logUnsuccessful(j *job, e gang.Ended) {
	if e.Outcome == gang.Done || e.Cause == gang.CauseAborted || e.Cause == gang.CauseRefused {
		return
	}
	log := p.cfg.Log.WithFields(logrus.Fields{"job": j.stored.ID, "attempt": j.attempt, "outcome": e.Outcome.String(), "cause": e.Cause.String()})
	if e.CauseAgent != "" {
		log = log.WithField("agent", e.CauseAgent)
	}
	log.Info("attempt ended")
}

// markMayHold records that workers may still hold accelerators for an aborted
// attempt: the message that ends the hold may be under way or lost.
func (p *Planner) markMayHold(members []gang.PlannedMember) {
	until := clock.Now().Add(p.doc.Document.Gang.HoldTimeout.Duration)
	for _, m := range members {
		if w := p.workers[m.Agent]; w != nil {
			w.mayHoldUntil = until
		}
	}
}

// workerAtFault returns the worker because of which an attempt was not
// started, or "" if none is at fault. A worker that refuses while it may still
// hold accelerators for an aborted attempt is not at fault: many cancellations
// at once cause many such refusals, and counting them would quarantine healthy
// workers.
func (p *Planner) workerAtFault(e gang.Ended) scheduler.WorkerID {
	w := p.workers[e.CauseAgent]
	if w != nil && e.Cause == gang.CauseRefused && clock.Now().Before(w.mayHoldUntil) {
		return ""
	}
	return scheduler.WorkerID(e.CauseAgent)
}

func schedulerOutcome(o gang.Outcome) scheduler.Outcome {
	switch o {
	case gang.Done:
		return scheduler.Done
	case gang.Failed:
		return scheduler.Failed
	case gang.StartFailed:
		return scheduler.StartFailed
	case gang.Stopped:
		return scheduler.Stopped
	default:
		return scheduler.Lost
	}
}

// handleNotStarted follows up on an attempt that did not start. The job may
// have ended meanwhile, for instance by a cancellation, and is dropped then.
// If the record names another planner's attempt, that one is taken over,
// whatever ended this one: a refusal may come before this planner's write
// fails because of that record.
func (p *Planner) handleNotStarted(j *job) {
	switch {
	case j.stored.State.Ended():
		p.forgetJob(j, j.stored)
	case p.mustBeTakenOver(j):
		p.takeOver(j)
	}
}
