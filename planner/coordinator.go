package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// attachCoordinator assigns a coordinator to a job and registers the job with
// its workers.
func (p *Planner) attachCoordinator(j *job, c *gang.Coordinator) {
	j.coord, j.attachedAt = c, clock.Now()
	for _, m := range c.Plan().Members {
		w, known := p.workerOf(m.Agent)
		if !known {
			w.lastReport.Worker.ID = scheduler.WorkerID(m.Agent)
			w.lastReport.ReceivedAt = clock.Now()
			w.up = true
		}
		w.jobs[j.stored.ID] = j
	}
}

func (p *Planner) detachCoordinator(j *job) {
	for _, m := range j.coord.Plan().Members {
		if w := p.workers[m.Agent]; w != nil {
			delete(w.jobs, j.stored.ID)
		}
	}
	if j.wakeTimer != nil {
		j.wakeTimer.Stop()
	}
	j.coord = nil
}

// stepCoordinator passes an event to a job's coordinator and carries out its
// actions. It does nothing if the attempt has ended.
func (p *Planner) stepCoordinator(j *job, ev gang.Event) {
	if p.superseded || j.coord == nil {
		return
	}
	c := j.coord
	for _, a := range c.Step(clock.Now(), ev) {
		switch a := a.(type) {
		case gang.Send:
			p.send(j, a.To, a.Message)
		case gang.Record:
			p.recordStart(j, a.Plan)
		case gang.WakeAt:
			p.scheduleCoordinatorWake(j, c, a.At)
		case gang.Started:
			p.handleStarted(j)
		case gang.Ended:
			p.handleAttemptEnded(j, a)
		}
	}
}

func (p *Planner) scheduleCoordinatorWake(j *job, c *gang.Coordinator, at time.Time) {
	if j.wakeTimer != nil {
		j.wakeTimer.Stop()
	}
	j.wakeTimer = time.AfterFunc(clock.Until(at), func() {
		p.post(func() {
			if j.coord == c {
				p.stepCoordinator(j, gang.Wake{})
			}
		})
	})
}

// send sends a message to an agent and passes the reply to the job's
// coordinator, unless j is nil. The coordinator sends lost messages again.
func (p *Planner) send(j *job, to string, m gang.Message) {
	sentAt := clock.Now()
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		reply, err := p.cfg.Agents.SendGangMessage(ctx, to, m)
		if err != nil || j == nil {
			return nil
		}
		p.post(func() { p.stepCoordinator(j, gang.ReplyReceived{From: to, Reply: reply, SentAt: sentAt}) })
		return nil
	})
}

// HandleReply handles a reply that an agent sent on its own at the end of a
// task. It is safe for concurrent use.
func (p *Planner) HandleReply(agent string, r gang.Reply) {
	p.post(func() {
		if j := p.jobs[r.Task.ID.Job]; j != nil {
			p.stepCoordinator(j, gang.ReplyReceived{From: agent, Reply: r})
		}
	})
}

func (p *Planner) handleStarted(j *job) {
	if j.phase == Starting {
		j.phase = Running
	}
	if !j.started {
		j.started = true
		p.cfg.Metrics.Observe(j.stored.Spec.Account, j.stored.Spec.Class, metrics.JobWaitTime, time.Since(j.stored.Submitted))
	}
	p.cfg.Metrics.Add(metrics.GangsStarted, 1)
	p.stepScheduler(scheduler.GangStarted{Job: scheduler.JobID(j.stored.ID), Attempt: j.attempt})
}
