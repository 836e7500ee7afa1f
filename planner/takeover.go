package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// fenceResendInterval is how often an agent is sent a fence until it reports
// it.
const fenceResendInterval = time.Second

// takeOver handles a record that names an attempt or a permit of another
// planner.
func (p *Planner) takeOver(j *job) {
	if !j.stored.IsPermit() {
		p.resumeAttempt(j, recordedPlan(j.stored.Record))
		return
	}
	if !j.notFound {
		p.markUnresolved(j)
	}
}

// markUnresolved keeps a job with a permit of another planner from being
// started or ended until it is known what was started on the permit. Jobs
// without such a permit are not affected.
func (p *Planner) markUnresolved(j *job) {
	if j.unresolved {
		return
	}
	j.phase = Queued
	j.mayHaveStarted = true // the opposite can't be proved
	j.unresolved = true
	j.unresolvedSince = clock.Now()
	p.withhold(j)
}

// markUnresolvedAgain repeats the search for a job if a task of it is reported
// after the search found none, because its agent was lost at the time. The
// rest of its gang may follow.
func (p *Planner) markUnresolvedAgain(t gang.Task) {
	j := p.jobs[t.ID.Job]
	if j != nil && j.notFound && j.isWaiting() && j.stored.IsPermit() && t.ID.Epoch == j.stored.Epoch {
		j.notFound, j.stopLeftovers = false, false
		p.markUnresolved(j)
	}
}

// markOccupied records that a task of an unresolved job uses accelerators that
// the scheduler considers free, so that refusals of the worker are not counted
// as faults.
func (p *Planner) markOccupied(w *worker, t gang.Task) {
	if j := p.jobs[t.ID.Job]; j != nil && j.unresolved && t.State != gang.StateEnded {
		w.mayHoldUntil = clock.Now().Add(p.doc.Document.Gang.HoldTimeout.Duration)
	}
}

// handlePermitReturned resubmits a job whose permit its predecessor returned
// unused, so that it has certainly not run.
func (p *Planner) handlePermitReturned(j *job) {
	j.mayHaveStarted = false
	p.resubmit([]*job{j})
}

// resolvePermits searches for attempts that other planners started on their
// permits.
func (p *Planner) resolvePermits(now time.Time) {
	unresolved := p.unresolvedJobs()
	if len(unresolved) == 0 {
		return
	}
	p.raiseFences(now)
	search := gang.NewSearch(p.searchConfig(), now, p.agentViews())
	var notFound []*job
	for _, j := range unresolved {
		switch result, plan := search.Resolve(j.stored.ID, j.stored.Epoch, j.unresolvedSince); result {
		case gang.Adoptable:
			p.adoptAttempt(j, plan)
		case gang.Incomplete:
			j.stopLeftovers = true // its tasks are now stopped as orphans
		case gang.NotFound:
			j.notFound = true
			notFound = append(notFound, j)
		}
	}
	p.resubmit(notFound)
}

func (p *Planner) unresolvedJobs() []*job {
	var unresolved []*job
	for _, j := range p.jobs {
		if j.unresolved && j.finalRecord == nil {
			unresolved = append(unresolved, j)
		}
	}
	return unresolved
}

func (p *Planner) searchConfig() gang.SearchConfig {
	g := p.doc.Document.Gang
	return gang.SearchConfig{
		LossTimeout: g.LossTimeout.Duration,
		FenceWait:   coordinatorConfig(p.cfg.Epoch, g).FenceWait,
	}
}

// adoptAttempt takes over an attempt that all of its agents know.
func (p *Planner) adoptAttempt(j *job, plan gang.Plan) {
	j.permit = permitState{mayHaveBeenUsed: true, void: true}
	j.started = true
	j.permitPlan = plan
	j.stored.Started = time.Now()
	p.resumeAttempt(j, plan)
	p.cancelIfRequested(j)
}

// raiseFences makes agents refuse messages of earlier planners.
func (p *Planner) raiseFences(now time.Time) {
	for id, w := range p.workers {
		if !w.up || w.lastReport.Incarnation == 0 || !w.fencedAt.IsZero() || now.Sub(w.fenceLastSentAt) < fenceResendInterval {
			continue
		}
		w.fenceLastSentAt = now
		if w.fenceFirstSentAt.IsZero() {
			w.fenceFirstSentAt = now
		}
		p.send(nil, id, gang.FenceMessage(p.cfg.Epoch, w.lastReport.Incarnation))
	}
}

func (p *Planner) agentViews() []gang.AgentView {
	var views []gang.AgentView
	for id, w := range p.workers {
		if !w.up || w.lastReport.Incarnation == 0 {
			continue
		}
		views = append(views, gang.AgentView{
			Agent:       id,
			Incarnation: w.lastReport.Incarnation,
			FencedAt:    w.fencedAt,
			FenceSentAt: w.fenceFirstSentAt,
			Tasks:       w.lastReport.Tasks,
		})
	}
	return views
}

// updateFence records when the agent first reported this planner's epoch as
// its fence. A restarted agent has lost its fence.
func (w *worker) updateFence(previous AgentReport, epoch uint64) {
	if previous.Incarnation != w.lastReport.Incarnation {
		w.fencedAt, w.fenceFirstSentAt = time.Time{}, time.Time{}
	}
	switch {
	case w.lastReport.Fence < epoch:
		w.fencedAt = time.Time{}
	case w.fencedAt.IsZero():
		w.fencedAt = w.lastReport.ReceivedAt
	}
}

// keepsTaskForPermit reports whether a task of a job with a permit must not be
// stopped: while a search may still find the rest of its gang, and while the
// end of the job is not recorded, since only the agents know it then.
func keepsTaskForPermit(j *job, id gang.ID) bool {
	if j.unresolved {
		return id.Epoch == j.stored.Epoch && !j.stopLeftovers
	}
	return j.finalRecord != nil && j.finalRecord.State == jobs.Done && id == j.permitPlan.ID
}
