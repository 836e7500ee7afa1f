package planner

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// attach gives a job its coordinator and lists it with its workers.
func (p *Planner) attach(j *job, c *gang.Coordinator) {
	j.coord = c
	for _, m := range c.Plan().Members {
		w := p.workers[m.Agent]
		if w == nil {
			w = &worker{jobs: make(map[string]*job)}
			w.seen.Worker.ID = scheduler.WorkerID(m.Agent)
			w.seen.At = clock.Now()
			w.up = true
			p.workers[m.Agent] = w
		}
		w.jobs[j.stored.ID] = j
	}
}

func (p *Planner) detach(j *job) {
	for _, m := range j.coord.Plan().Members {
		if w := p.workers[m.Agent]; w != nil {
			delete(w.jobs, j.stored.ID)
		}
	}
	if j.timer != nil {
		j.timer.Stop()
	}
	j.coord = nil
}

// coordinate gives a job's coordinator an event and carries out its actions. A
// job whose attempt has ended meanwhile ignores it.
func (p *Planner) coordinate(j *job, ev gang.Event) {
	if p.over || j.coord == nil {
		return
	}
	c := j.coord
	for _, a := range c.Step(clock.Now(), ev) {
		switch a := a.(type) {
		case gang.Send:
			p.send(j, a.To, a.Message)
		case gang.Record:
			p.record(j, a.Plan)
		case gang.WakeAt:
			p.wakeCoordinator(j, c, a.At)
		case gang.Started:
			p.started(j)
		case gang.Ended:
			p.attemptEnded(j, a)
		}
	}
}

func (p *Planner) wakeCoordinator(j *job, c *gang.Coordinator, at time.Time) {
	if j.timer != nil {
		j.timer.Stop()
	}
	j.timer = time.AfterFunc(clock.Until(at), func() {
		p.post(func() {
			if j.coord == c {
				p.coordinate(j, gang.Wake{})
			}
		})
	})
}

// send sends a message to an agent and hands the reply to the job's coordinator,
// if j is not nil. What is lost the coordinator sends again.
func (p *Planner) send(j *job, to string, m gang.Message) {
	p.t.Go(func() error {
		ctx, cancel := p.context(sendTimeout)
		defer cancel()
		reply, err := p.cfg.Agents.Gang(ctx, to, m)
		if err != nil || j == nil {
			return nil
		}
		p.post(func() { p.coordinate(j, gang.ReplyReceived{From: to, Reply: reply}) })
		return nil
	})
}

// Replied takes a reply that an agent sent by itself, at the end of a task. It
// is safe for concurrent use.
func (p *Planner) Replied(agent string, r gang.Reply) {
	p.post(func() {
		if j := p.jobs[r.Task.ID.Job]; j != nil {
			p.coordinate(j, gang.ReplyReceived{From: agent, Reply: r})
		}
	})
}

// record writes the start of an attempt over the record that it was decided on.
//
// The failure this guards against: between the decision and the write the watch
// brings a later form of the record, a cancellation or another planner's start,
// and writing over that one succeeds. A caller told "cancelled before it started"
// then sees the job run, or a job that may be running is started again.
func (p *Planner) record(j *job, plan gang.Plan) {
	if j.stored.Rev != j.decided {
		result := gang.RecordConflict
		if names(j.stored.Record, plan.ID) {
			result = gang.RecordWritten // our own earlier try, seen by the watch first
		}
		p.post0(func() { p.recordedAs(j, plan.ID, result) })
		return
	}
	next := j.stored
	next.State = jobs.Starting
	next.Attempt = uint64(j.attempt)
	next.Epoch = plan.ID.Epoch
	next.Number = plan.ID.Number
	next.Members = membersOf(plan)
	next.Started = time.Now()
	p.t.Go(func() error {
		ctx, cancel := p.context(sendTimeout)
		defer cancel()
		got, err := p.cfg.Jobs.Update(ctx, next)
		p.post(func() { p.recorded(j, plan.ID, got, err) })
		return nil
	})
}

func (p *Planner) recorded(j *job, id gang.ID, got jobs.Stored, err error) {
	if j.coord == nil || j.coord.Plan().ID != id {
		return
	}
	result := gang.RecordUnknown
	switch {
	case err == nil:
		result = gang.RecordWritten
		j.stored = got
	case eris.Is(err, jobs.ErrConflict) && names(got.Record, id):
		// An earlier try of this write took effect after its reply was lost.
		result = gang.RecordWritten
		j.stored = got
	case eris.Is(err, jobs.ErrConflict), eris.Is(err, jobs.ErrNotFound):
		result = gang.RecordConflict
		p.adoptRecord(j, got, err)
	}
	p.coordinate(j, gang.Recorded{Result: result})
}

// recordedAs tells the attempt what is known of its record without a write.
func (p *Planner) recordedAs(j *job, id gang.ID, r gang.RecordResult) {
	if j.coord != nil && j.coord.Plan().ID == id {
		p.coordinate(j, gang.Recorded{Result: r})
	}
}

func names(r jobs.Record, id gang.ID) bool {
	return r.Epoch == id.Epoch && r.Number == id.Number && r.State == jobs.Starting
}

// adoptRecord takes over a record that someone else has changed: an entry that
// cancelled the job, or a planner with a higher epoch.
func (p *Planner) adoptRecord(j *job, got jobs.Stored, err error) {
	if eris.Is(err, jobs.ErrNotFound) {
		return
	}
	if got.Epoch > p.cfg.Epoch {
		p.superseded("a job's record names a higher epoch", got.Epoch)
		return
	}
	p.changed(got)
}

func (p *Planner) started(j *job) {
	if j.phase == Starting {
		j.phase = Running
	}
	if !j.begun {
		j.begun = true
		p.cfg.Metrics.Observe(j.stored.Spec.Account, j.stored.Spec.Class, metrics.JobWaited, time.Since(j.stored.Submitted))
	}
	p.cfg.Metrics.Add(metrics.GangsStarted, 1)
	p.decide(scheduler.GangStarted{Job: scheduler.JobID(j.stored.ID), Attempt: j.attempt})
}

// attemptEnded tells the scheduler how an attempt ended, and ends the job where
// that decides it.
func (p *Planner) attemptEnded(j *job, e gang.Ended) {
	if e.Outcome == gang.Superseded {
		p.superseded("an agent refused our epoch", 0)
		return
	}
	id, attempt := scheduler.JobID(j.stored.ID), j.attempt
	members := j.coord.Plan().Members
	p.detach(j)
	j.last = e
	j.keepCheckpoint(e)
	if e.Cause == gang.CauseRefused {
		p.cfg.Metrics.Add(metrics.ReservationsRefused, 1)
	}
	if e.Outcome == gang.NotStarted {
		p.cfg.Metrics.Add(metrics.GangsAborted, 1)
		fault := p.atFault(e)
		p.mayHold(members)
		p.decide(scheduler.GangRefused{Job: id, Attempt: attempt, Worker: fault})
		p.afterNotStarted(j, e)
		return
	}
	switch {
	case e.Outcome == gang.Done:
		p.end(j, jobs.Done, "")
	case p.failedTooOften(j, e):
		p.end(j, jobs.Failed, reasonRetries)
		p.decide(scheduler.JobsCancelled{IDs: []scheduler.JobID{id}})
	}
	ended := scheduler.GangEnded{Job: id, Attempt: attempt, Outcome: outcomeOf(e.Outcome)}
	if e.Fault != "" {
		ended.Worker = scheduler.WorkerID(e.Fault)
	}
	if e.Checkpointed() {
		ended.Checkpointed = time.Now()
	}
	p.decide(ended)
}

// mayHold notes that workers may hold accelerators for an attempt that was given
// up: the message that ends the hold is on its way, or was lost.
func (p *Planner) mayHold(members []gang.Placed) {
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
	w := p.workers[e.Fault]
	if w != nil && e.Cause == gang.CauseRefused && clock.Now().Before(w.holds) {
		return ""
	}
	return scheduler.WorkerID(e.Fault)
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
		p.resumeJob(j)
	}
}
