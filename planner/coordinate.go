package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
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
			w.seen.ReceivedAt = clock.Now()
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
		reply, err := p.cfg.Agents.SendGangMessage(ctx, to, m)
		if err != nil || j == nil {
			return nil
		}
		p.post(func() { p.coordinate(j, gang.ReplyReceived{From: to, Reply: reply}) })
		return nil
	})
}

// HandleReply takes a reply that an agent sent by itself, at the end of a task. It
// is safe for concurrent use.
func (p *Planner) HandleReply(agent string, r gang.Reply) {
	p.post(func() {
		if j := p.jobs[r.Task.ID.Job]; j != nil {
			p.coordinate(j, gang.ReplyReceived{From: agent, Reply: r})
		}
	})
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
