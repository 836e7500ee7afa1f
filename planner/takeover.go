package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// fenceEvery is how often an agent is sent a fence until it reports it.
const fenceEvery = time.Second

// takeOver deals with a record that names an attempt or a permit of another
// planner.
func (p *Planner) takeOver(j *job) {
	if !j.stored.IsPermit() {
		p.resumeJob(j, planOf(j.stored.Record))
		return
	}
	if !j.cleared {
		p.hold(j)
	}
}

// hold keeps a job with a permit of another planner from being started or ended
// until it is known what was started on the permit. Jobs without permits go on.
func (p *Planner) hold(j *job) {
	if j.held {
		return
	}
	j.phase = Queued
	j.ran = true // for all that can be proved
	j.held = true
	j.heldAt = clock.Now()
	p.withhold(j)
}

// holdAgain meets a task that was started on another planner's permit and that no
// search could see, since its agent was lost then. The rest of its gang may follow.
func (p *Planner) holdAgain(t gang.Task) {
	j := p.jobs[t.ID.Job]
	if j != nil && j.cleared && j.waits() && j.stored.IsPermit() && t.ID.Epoch == j.stored.Epoch {
		j.cleared, j.incomplete = false, false
		p.hold(j)
	}
}

// occupied notes that a task of a held job has accelerators there which the
// scheduler takes for free: the worker's refusals are not its fault.
func (p *Planner) occupied(w *worker, t gang.Task) {
	if j := p.jobs[t.ID.Job]; j != nil && j.held && t.State != gang.StateEnded {
		w.holds = clock.Now().Add(p.doc.Document.Gang.HoldTimeout.Duration)
	}
}

// unhold follows a predecessor that gave the permit back unused: the job has not run.
func (p *Planner) unhold(j *job) {
	j.ran = false
	p.release([]*job{j})
}

// resolveHeld looks for what other planners started on their permits.
func (p *Planner) resolveHeld(now time.Time) {
	held := p.heldJobs()
	if len(held) == 0 {
		return
	}
	p.raiseFences(now)
	s := gang.NewSearch(p.searchConfig(), now, p.witnesses())
	var vanished []*job
	for _, j := range held {
		switch verdict, plan := s.Resolve(j.stored.ID, j.stored.Epoch, j.heldAt); verdict {
		case gang.Adoptable:
			p.adopt(j, plan)
		case gang.Incomplete:
			j.incomplete = true // its tasks are orphans from now on
		case gang.NotFound:
			j.cleared = true
			vanished = append(vanished, j)
		}
	}
	p.release(vanished)
}

func (p *Planner) heldJobs() []*job {
	var held []*job
	for _, j := range p.jobs {
		if j.held && j.ending == nil {
			held = append(held, j)
		}
	}
	return held
}

func (p *Planner) searchConfig() gang.SearchConfig {
	g := p.doc.Document.Gang
	return gang.SearchConfig{
		LossTimeout: g.LossTimeout.Duration,
		SettleTime:  gangConfig(p.cfg.Epoch, g).SettleTime,
	}
}

// adopt goes on with an attempt that all of its agents hold.
func (p *Planner) adopt(j *job, plan gang.Plan) {
	j.permit = permit{used: true, void: true}
	j.begun = true
	j.placed = plan
	j.stored.Started = time.Now()
	p.resumeJob(j, plan)
	p.cancelIfAsked(j)
}

// raiseFences makes agents refuse earlier planners, whatever they start.
func (p *Planner) raiseFences(now time.Time) {
	for id, w := range p.workers {
		if !w.up || w.seen.Incarnation == 0 || !w.fenced.IsZero() || now.Sub(w.fenceSent) < fenceEvery {
			continue
		}
		w.fenceSent = now
		if w.fenceAsked.IsZero() {
			w.fenceAsked = now
		}
		p.send(nil, id, gang.FenceMessage(p.cfg.Epoch, w.seen.Incarnation))
	}
}

func (p *Planner) witnesses() []gang.AgentView {
	var all []gang.AgentView
	for id, w := range p.workers {
		if !w.up || w.seen.Incarnation == 0 {
			continue
		}
		all = append(all, gang.AgentView{
			Agent:       id,
			Incarnation: w.seen.Incarnation,
			FencedAt:    w.fenced,
			FenceSentAt: w.fenceAsked,
			Tasks:       w.seen.Tasks,
		})
	}
	return all
}

// noteFence dates the first report that shows our fence. A restarted agent has
// forgotten it.
func (w *worker) noteFence(before AgentReport, epoch uint64) {
	if before.Incarnation != w.seen.Incarnation {
		w.fenced, w.fenceAsked = time.Time{}, time.Time{}
	}
	switch {
	case w.seen.Fence < epoch:
		w.fenced = time.Time{}
	case w.fenced.IsZero():
		w.fenced = w.seen.ReceivedAt
	}
}

// accountedOnPermit says whether a task of a job with a permit must be left alone:
// while a search may still find the rest of its gang, and while the end of the job
// is not on record, which only the agents know then.
func accountedOnPermit(j *job, id gang.ID) bool {
	if j.held {
		return id.Epoch == j.stored.Epoch && !j.incomplete
	}
	return j.ending != nil && j.ending.State == jobs.Done && id == j.placed.ID
}
