package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// handleAttemptEnded tells the scheduler how an attempt ended, and ends the job where
// that decides it.
func (p *Planner) handleAttemptEnded(j *job, e gang.Ended) {
	if e.Outcome == gang.Superseded {
		p.endSuperseded("an agent refused our epoch", 0)
		return
	}
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
		j.permit.mayBeUsed = false
		p.cfg.Metrics.Add(metrics.GangsAborted, 1)
		fault := p.workerAtFault(e)
		p.markMayHold(members)
		p.stepScheduler(scheduler.GangRefused{Job: id, Attempt: attempt, Worker: fault})
		p.handleNotStarted(j, e)
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

// markMayHold notes that workers may hold accelerators for an attempt that was given
// up: the message that ends the hold is on its way, or was lost.
func (p *Planner) markMayHold(members []gang.PlannedMember) {
	until := clock.Now().Add(p.doc.Document.Gang.HoldTimeout.Duration)
	for _, m := range members {
		if w := p.workers[m.Agent]; w != nil {
			w.mayHoldUntil = until
		}
	}
}

// workerAtFault is the worker that an attempt was not started for. One that refused
// while it may still hold for an attempt given up is not at fault: a wave of
// cancellations makes many such refusals at once, and counted as failures they
// would quarantine workers that are well.
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
	case gang.Stopped:
		return scheduler.Stopped
	default:
		return scheduler.Lost
	}
}

// handleNotStarted follows an attempt that was given up. The job may have ended
// meanwhile, whatever the cause was: a cancellation that is on record aborts the
// attempt before the attempt itself finds the record changed. Nobody else drops
// the job then. Or the record names another planner's attempt.
func (p *Planner) handleNotStarted(j *job, e gang.Ended) {
	switch {
	case j.stored.State.Ended():
		p.forgetJob(j, j.stored)
	case e.Cause == gang.CauseConflict && p.startedByOther(j):
		p.takeOver(j)
	}
}
