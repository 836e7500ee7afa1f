package gang

import (
	"slices"
	"time"
)

// simPlacementDelay is how long an attempt runs on a permit before its
// placement is recorded.
const simPlacementDelay = 10 * time.Second

// simPermit is the state of a permit at the planner that holds it.
type simPermit struct {
	mayHaveStarted bool // an attempt on it may have started
	void           bool // the placement may be recorded, or the permit was returned
}

// simUnresolved is a job whose record is a permit of another planner.
type simUnresolved struct {
	epoch      uint64
	since      time.Time
	incomplete bool
	notFound   bool
}

func (p *simPlanner) permit(job int) *simPermit {
	if p.permits[job] == nil {
		p.permits[job] = &simPermit{}
	}
	return p.permits[job]
}

// permitUsable reports whether the job may be started on this planner's own
// permit, according to the records that it has read.
func (p *simPlanner) permitUsable(job int) bool {
	rec := p.records[job]
	return rec.state == simPermitted && rec.permitEpoch == p.epoch && !rec.cancelRequested && !p.permit(job).void
}

// writePermit writes a permit for a job that has never been started.
func (p *simPlanner) writePermit(job int) {
	expect := p.records[job].revision
	p.storeCall(func() {
		rec := &p.sim.store.records[job]
		if rec.state != simQueued || rec.revision != expect {
			return
		}
		*rec = simRecord{revision: expect + 1, state: simPermitted, permitEpoch: p.epoch, attempts: 1}
		p.sim.history.permits[simPermitKey{job, p.epoch}] = true
	}, func(bool) {})
}

// returnPermits returns unused permits at the end of the planner's term.
func (p *simPlanner) returnPermits() {
	for job, rec := range p.records {
		used := slices.ContainsFunc(p.runs, func(r *simRun) bool { return r.job == job && r.mayHaveStarted })
		if !p.permitUsable(job) || p.permit(job).mayHaveStarted || used {
			continue
		}
		p.permit(job).void = true
		p.storeCall(func() {
			current := &p.sim.store.records[job]
			if current.state == simPermitted && current.revision == rec.revision {
				*current = simRecord{revision: rec.revision + 1}
				p.sim.stats.permitsReturned++
			}
		}, func(bool) {})
	}
}

// recordPlacement records the placement of an attempt that was started on a
// permit.
func (p *simPlanner) recordPlacement(r *simRun) {
	if r.placing || !r.coord.Running() || p.records[r.job].state != simPermitted {
		return
	}
	plan := r.coord.Plan()
	if plan.ID.Epoch == p.epoch && p.sim.now.Sub(r.startedAt) < simPlacementDelay {
		return
	}
	r.placing = true
	p.permit(r.job).void = true
	expect := p.records[r.job].revision
	p.storeCall(func() {
		rec := &p.sim.store.records[r.job]
		if rec.state == simPermitted && rec.revision == expect {
			rec.revision++
			rec.state, rec.plan = simStarting, plan
		}
	}, func(bool) { r.placing = false })
}

// resolvePermit searches for attempts that another planner started on its
// permit.
func (p *simPlanner) resolvePermit(job int) {
	rec := p.records[job]
	u := p.unresolved[job]
	if u == nil || u.epoch != rec.permitEpoch {
		u = &simUnresolved{epoch: rec.permitEpoch, since: p.sim.now}
		p.unresolved[job] = u
	}
	if u.notFound {
		p.afterSearch(job)
		return
	}
	p.raiseFences()
	search := NewSearch(SearchConfig{LossTimeout: simLossTimeout, FenceWait: simFenceWait}, p.sim.now, p.agentViews())
	result, plan := search.Resolve(p.sim.jobs[job].name, rec.permitEpoch, u.since)
	switch result {
	case Adoptable:
		p.sim.stats.adoptable++
		delete(p.unresolved, job)
		co := ResumeCoordinator(p.permitConfig(), plan)
		p.start(&simRun{job: job, coord: co, onPermit: true})
	case Incomplete:
		u.incomplete = true
	case NotFound:
		u.notFound = true
	}
}

// afterSearch ends or starts a job of which the search found no attempt.
func (p *simPlanner) afterSearch(job int) {
	p.sim.stats.notFound++
	if p.records[job].cancelRequested {
		p.endPermitted(job, false)
		return
	}
	if plan, ok := p.plan(job); ok {
		p.startRecorded(job, NewCoordinator(p.config(), plan))
	}
}

// endPermitted ends a cancelled job that has a permit and no running attempt.
func (p *simPlanner) endPermitted(job int, claimNotRun bool) {
	expect := p.records[job].revision
	p.storeCall(func() {
		rec := &p.sim.store.records[job]
		if rec.state != simPermitted || rec.revision != expect {
			return
		}
		rec.revision++
		rec.state = simEnded
		if claimNotRun {
			p.sim.reportNotRun(job)
		}
	}, func(bool) {})
}

func (p *simPlanner) raiseFences() {
	for i, a := range p.sim.agents {
		if p.incarnations[i] != 0 && p.fencedAt[i].IsZero() {
			p.sendTo(a, FenceMessage(p.epoch, p.incarnations[i]))
			if p.fenceSentAt[i].IsZero() {
				p.fenceSentAt[i] = p.sim.now
			}
		}
	}
}

func (p *simPlanner) agentViews() []AgentView {
	var views []AgentView
	for i, a := range p.sim.agents {
		if p.incarnations[i] != 0 && p.sim.now.Sub(p.lastReportAt[i]) <= simLossTimeout {
			views = append(views, AgentView{a.name, p.incarnations[i], p.fencedAt[i], p.fenceSentAt[i], p.tasks[i]})
		}
	}
	return views
}

// applyReport stores what a search needs of a report. Reports of earlier
// incarnations are ignored.
func (p *simPlanner) applyReport(i int, r Reported) {
	if r.Incarnation < p.incarnations[i] {
		return
	}
	if r.Incarnation > p.incarnations[i] {
		p.fencedAt[i], p.fenceSentAt[i] = time.Time{}, time.Time{}
	}
	p.incarnations[i] = r.Incarnation
	p.tasks[i] = r.Tasks
	switch {
	case r.Fence < p.epoch:
		p.fencedAt[i] = time.Time{}
	case p.fencedAt[i].IsZero():
		p.fencedAt[i] = p.sim.now
	}
	for _, t := range r.Tasks {
		p.resolveAgain(t)
	}
}

// resolveAgain repeats the search for a job if a task of it is reported after
// the search found none.
func (p *simPlanner) resolveAgain(t Task) {
	job := p.sim.jobIndex(t.ID.Job)
	if u := p.unresolved[job]; u != nil && u.notFound && u.epoch == t.ID.Epoch && !p.hasRun(job) {
		delete(p.unresolved, job)
	}
}

// keepsTaskForPermit reports whether a task must not be stopped because a
// search or the recording of its outcome still needs it.
func (p *simPlanner) keepsTaskForPermit(id ID) bool {
	job := p.sim.jobIndex(id.Job)
	rec := p.records[job]
	if rec.state != simPermitted || rec.permitEpoch != id.Epoch {
		return false
	}
	for _, r := range p.runs {
		if r.job == job {
			return r.coord.Plan().ID == id && r.outcome != nil && r.outcome.Outcome == Done
		}
	}
	if rec.permitEpoch == p.epoch {
		return false
	}
	u := p.unresolved[job]
	return u == nil || !u.notFound && !u.incomplete
}

func (p *simPlanner) permitConfig() Config {
	c := p.config()
	c.RetainSucceeded = true
	return c
}

// simPermitKey identifies a permit by its job and the epoch of the planner
// that holds it.
type simPermitKey struct {
	job   int
	epoch uint64
}

// cancel cancels a job at the store on behalf of a caller.
func (s *simulation) cancel(job int) {
	rec := &s.store.records[job]
	switch {
	case s.store.down || rec.state == simEnded || rec.cancelRequested:
		return
	case rec.state == simQueued && rec.attempts == 0:
		s.reportNotRun(job)
		rec.state = simEnded
	case rec.state == simQueued:
		rec.state = simEnded
	default:
		rec.cancelRequested = true
	}
	rec.revision++
}

// reportNotRun records that a job was reported to its caller as not run.
func (s *simulation) reportNotRun(job int) {
	name := s.jobs[job].name
	if ran := s.history.attemptsByJob[name]; len(ran) > 0 {
		s.fail("job %s is reported as not run after it ran as %v", name, ran)
	}
	s.history.reportedNotRun[name] = true
	s.stats.reportedNotRun++
}

func (s *simulation) jobIndex(name string) int {
	return slices.IndexFunc(s.jobs, func(j simJob) bool { return j.name == name })
}
