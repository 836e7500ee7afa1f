package planner

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// stepScheduler passes an event to the scheduler and carries out its
// decisions. An action may lead to further events, each in a Step of its own.
func (p *Planner) stepScheduler(ev scheduler.Event) {
	for _, a := range p.sched.Step(time.Now(), ev) {
		p.execute(a)
	}
}

func (p *Planner) execute(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartGang:
		p.startGang(a)
	case scheduler.StopGang:
		p.stopGang(a)
	case scheduler.RejectJob:
		p.endRejected(a)
	case scheduler.JobRequeued:
		p.handleRequeued(a)
	case scheduler.WakeAt:
		p.schedulerTimer.Reset(time.Until(a.At))
	case scheduler.GuaranteeDegraded:
		p.guaranteeLog(a.Account, a.Shape).WithField("missing", a.Missing).Warn("guarantee degraded: blocks of accelerators can't be placed")
	case scheduler.GuaranteeRestored:
		p.guaranteeLog(a.Account, a.Shape).Info("guarantee restored")
	case scheduler.QuarantineWorker:
		p.cfg.Log.WithFields(logrus.Fields{"agent": a.Worker, "until": a.Until}).Warn("worker quarantined: repeated failures on it")
	case scheduler.WorkerHealthy:
		p.cfg.Log.WithField("agent", a.Worker).Info("worker healthy again")
	}
}

func (p *Planner) guaranteeLog(account scheduler.AccountID, s scheduler.Shape) *logrus.Entry {
	return p.cfg.Log.WithFields(logrus.Fields{
		"account":      account,
		"accelerators": s.Accelerators,
		"adjacent":     s.Adjacency.String(),
	})
}

// startGang creates the coordinator of a new attempt and starts it.
func (p *Planner) startGang(a scheduler.StartGang) {
	j := p.jobs[string(a.Job)]
	plan, ok := p.planAttempt(j, a)
	if !ok {
		p.stepSchedulerLater(scheduler.GangRefused{Job: a.Job, Attempt: a.Attempt})
		return
	}
	j.attempt = a.Attempt
	j.baseRevision = j.stored.Rev
	j.phase = Starting
	p.attachCoordinator(j, gang.NewCoordinator(p.attemptConfig(j), plan))
	p.postFromLoop(func() { p.stepCoordinator(j, gang.Begin{}) })
}

// withdrawJob removes a job from the scheduler, which stops the job's attempt
// if there is one.
func (p *Planner) withdrawJob(id string) {
	p.stepScheduler(scheduler.JobsCancelled{IDs: []scheduler.JobID{scheduler.JobID(id)}})
}

// stepSchedulerLater passes an event to the scheduler after the actions in
// progress.
func (p *Planner) stepSchedulerLater(ev scheduler.Event) {
	p.postFromLoop(func() { p.stepScheduler(ev) })
}

// postFromLoop is post for the loop's goroutine, which must not block on its
// own queue.
func (p *Planner) postFromLoop(f func()) {
	select {
	case p.work <- f:
	default:
		go p.post(f)
	}
}

// planAttempt converts a placement into a plan for the agents. It returns
// false if a worker is unknown, the job is ending or has an attempt already,
// also one of another planner, or its start can't be recorded now.
func (p *Planner) planAttempt(j *job, a scheduler.StartGang) (gang.Plan, bool) {
	if j == nil || j.coord != nil || j.finalRecord != nil || p.mustBeTakenOver(j) || p.storeUnavailable && !p.permitUsable(j) {
		return gang.Plan{}, false
	}
	p.lastAttemptNumber++
	plan := gang.Plan{ID: gang.ID{Job: string(a.Job), Epoch: p.cfg.Epoch, Number: p.lastAttemptNumber}}
	for i, g := range a.Placement {
		w := p.workers[string(g.Worker)]
		if w == nil {
			return gang.Plan{}, false
		}
		spec, err := cbor.Marshal(taskSpec(j.stored.Record, i, len(a.Placement)))
		if err != nil {
			return gang.Plan{}, false
		}
		plan.Members = append(plan.Members, gang.PlannedMember{
			Agent:        string(g.Worker),
			Incarnation:  w.lastReport.Incarnation,
			Accelerators: g.Accelerators,
			Spec:         spec,
		})
	}
	return plan, true
}

func taskSpec(r jobs.Record, member, members int) target.TaskSpec {
	return target.TaskSpec{
		Account:        r.Spec.Account,
		Class:          r.Spec.Class,
		Member:         member,
		Members:        members,
		Repeatable:     r.Spec.Repeatable,
		Checkpointable: r.Spec.Checkpointable,
		Payload:        r.Spec.Payload,
		Restore:        restoreCheckpoint(r),
	}
}

func (p *Planner) stopGang(a scheduler.StopGang) {
	if a.Reason == scheduler.StopReclaim {
		p.evict(a)
		return
	}
	p.stopNow(a)
}

func (p *Planner) stopNow(a scheduler.StopGang) {
	j := p.jobs[string(a.Job)]
	if j == nil || j.coord == nil || j.attempt != a.Attempt {
		return
	}
	j.phase = Stopping
	p.postFromLoop(func() { p.stepCoordinator(j, gang.Abort{Checkpoint: a.Checkpoint}) })
}

func (p *Planner) handleRequeued(a scheduler.JobRequeued) {
	if j := p.jobs[string(a.Job)]; j != nil && j.coord == nil {
		j.phase = Queued
	}
}

// endRejected ends a job that the scheduler will not start again.
func (p *Planner) endRejected(a scheduler.RejectJob) {
	j := p.jobs[string(a.Job)]
	if j == nil || j.withheld {
		return
	}
	if j.exceeded != nil && a.Reason == scheduler.RejectCancelled {
		p.endJob(j, j.exceeded.state, j.exceeded.reason)
		return
	}
	p.endJob(j, finalState(a.Reason, j), a.Reason.String()+": "+a.Detail)
}

// finalState returns the final state of a job that the scheduler has given up.
// A job that is not repeatable and was lost while it ran may have done its
// work, so its state is unknown and not failed.
func finalState(r scheduler.RejectReason, j *job) jobs.State {
	switch r {
	case scheduler.RejectCancelled:
		return jobs.Cancelled
	case scheduler.RejectFaulty:
		return jobs.Failed
	case scheduler.RejectNotRepeatable:
		if j.lastEnded.Outcome == gang.Lost {
			return jobs.Unknown
		}
		return jobs.Failed
	}
	// Rejected tells the caller that the job did not run.
	if j.mayHaveRun() {
		return jobs.Failed
	}
	return jobs.Rejected
}
