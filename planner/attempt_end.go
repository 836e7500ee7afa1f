package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// attemptEnded tells the scheduler how an attempt ended, and ends the job where
// that decides it.
func (p *Planner) attemptEnded(j *job, e gang.Ended) {
	if e.Outcome == gang.Superseded {
		p.superseded("an agent refused our epoch", 0)
		return
	}
	id, attempt := scheduler.JobID(j.stored.ID), j.attempt
	members := j.coord.Plan().Members
	if e.MayBeRecorded {
		j.over = j.coord.Plan().ID
	}
	p.detach(j)
	j.last = e
	j.keepCheckpoint(e)
	if e.Cause == gang.CauseRefused {
		p.cfg.Metrics.Add(metrics.ReservationsRefused, 1)
	}
	if e.Outcome == gang.NotStarted {
		j.permit.used = false
		p.cfg.Metrics.Add(metrics.GangsAborted, 1)
		fault := p.atFault(e)
		p.mayHold(members)
		p.decide(scheduler.GangRefused{Job: id, Attempt: attempt, Worker: fault})
		p.afterNotStarted(j, e)
		return
	}
	j.ran = true
	switch {
	case e.Outcome == gang.Done:
		p.end(j, jobs.Done, "")
	case p.failedTooOften(j, e):
		p.end(j, jobs.Failed, reasonRetries)
		p.withdraw(j.stored.ID)
	}
	ended := scheduler.GangEnded{Job: id, Attempt: attempt, Outcome: outcomeOf(e.Outcome)}
	if e.CauseAgent != "" {
		ended.Worker = scheduler.WorkerID(e.CauseAgent)
	}
	if e.Checkpointed() {
		ended.Checkpointed = time.Now()
	}
	p.decide(ended)
}

// mayHold notes that workers may hold accelerators for an attempt that was given
// up: the message that ends the hold is on its way, or was lost.
func (p *Planner) mayHold(members []gang.PlannedMember) {
	until := clock.Now().Add(p.doc.Document.Gang.HoldTimeout.Duration)
	for _, m := range members {
		if w := p.workers[m.Agent]; w != nil {
			w.holds = until
		}
	}
}

// atFault is the worker that an attempt was not started for. One that refused
// while it may still hold for an attempt given up is not at fault: a wave of
// cancellations makes many such refusals at once, and counted as failures they
// would quarantine workers that are well.
func (p *Planner) atFault(e gang.Ended) scheduler.WorkerID {
	w := p.workers[e.CauseAgent]
	if w != nil && e.Cause == gang.CauseRefused && clock.Now().Before(w.holds) {
		return ""
	}
	return scheduler.WorkerID(e.CauseAgent)
}

func outcomeOf(o gang.Outcome) scheduler.Outcome {
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

// afterNotStarted follows an attempt that was given up. The job may have ended
// meanwhile, whatever the cause was: a cancellation that is on record aborts the
// attempt before the attempt itself finds the record changed. Nobody else drops
// the job then. Or the record names another planner's attempt.
func (p *Planner) afterNotStarted(j *job, e gang.Ended) {
	switch {
	case j.stored.State.Ended():
		p.forget(j, j.stored)
	case e.Cause == gang.CauseConflict && p.startedElsewhere(j):
		p.takeOver(j)
	}
}
