package gang

import (
	"slices"
	"time"
)

// simPlaceAfter is how long an attempt runs on a permit before its placement is
// recorded.
const simPlaceAfter = 10 * time.Second

// simPermit is what a planner knows of the permit that it holds for a job.
type simPermit struct {
	ran  bool // an attempt on it may have started
	void bool // the placement may be on record, or the permit was given back
}

// simHeld is a job whose record is a permit of another planner.
type simHeld struct {
	epoch      uint64
	since      time.Time
	incomplete bool
	cleared    bool
}

func (p *simPlanner) permit(job int) *simPermit {
	if p.permits[job] == nil {
		p.permits[job] = &simPermit{}
	}
	return p.permits[job]
}

// usable says whether the job may be started on this planner's own permit, as far
// as the planner can see.
func (p *simPlanner) usable(job int) bool {
	rec := p.view[job]
	return rec.state == simPermitted && rec.permit == p.epoch && !rec.cancel && !p.permit(job).void
}

// writePermit asks for a permit for a job that has never been started.
func (p *simPlanner) writePermit(job int) {
	expect := p.view[job].revision
	p.call(func() {
		rec := &p.w.store.records[job]
		if rec.state != simQueued || rec.revision != expect {
			return
		}
		*rec = simRecord{revision: expect + 1, state: simPermitted, permit: p.epoch, attempts: 1}
		p.w.truth.permits[simGrant{job, p.epoch}] = true
	}, func(bool) {})
}

// returnPermits gives back what was never used, at the end of the planner's life.
func (p *simPlanner) returnPermits() {
	for job, rec := range p.view {
		used := slices.ContainsFunc(p.runs, func(r *simRun) bool { return r.job == job && r.used })
		if !p.usable(job) || p.permit(job).ran || used {
			continue
		}
		p.permit(job).void = true
		p.call(func() {
			now := &p.w.store.records[job]
			if now.state == simPermitted && now.revision == rec.revision {
				*now = simRecord{revision: rec.revision + 1}
				p.w.stats.returned++
			}
		}, func(bool) {})
	}
}

// place records where an attempt runs that was started on a permit.
func (p *simPlanner) place(r *simRun) {
	if r.placing || !r.co.Running() || p.view[r.job].state != simPermitted {
		return
	}
	plan := r.co.Plan()
	if plan.ID.Epoch == p.epoch && p.w.now.Sub(r.began) < simPlaceAfter {
		return
	}
	r.placing = true
	p.permit(r.job).void = true
	expect := p.view[r.job].revision
	p.call(func() {
		rec := &p.w.store.records[r.job]
		if rec.state == simPermitted && rec.revision == expect {
			rec.revision++
			rec.state, rec.plan = simStarting, plan
		}
	}, func(bool) { r.placing = false })
}

// resolve looks for what another planner started on its permit.
func (p *simPlanner) resolve(job int) {
	rec := p.view[job]
	h := p.held[job]
	if h == nil || h.epoch != rec.permit {
		h = &simHeld{epoch: rec.permit, since: p.w.now}
		p.held[job] = h
	}
	if h.cleared {
		p.afterSearch(job)
		return
	}
	p.raiseFences()
	s := NewSearch(SearchConfig{LossTimeout: simLoss, SettleTime: simSettle}, p.w.now, p.witnesses())
	verdict, plan := s.Resolve(p.w.jobs[job].name, rec.permit, h.since)
	switch verdict {
	case Adoptable:
		p.w.stats.found++
		delete(p.held, job)
		co := ResumeCoordinator(p.keepDone(), plan)
		p.start(&simRun{job: job, co: co, onPermit: true})
	case Incomplete:
		h.incomplete = true
	case NotFound:
		h.cleared = true
	}
}

// afterSearch goes on with a job of which the search found nothing.
func (p *simPlanner) afterSearch(job int) {
	p.w.stats.vanished++
	if p.view[job].cancel {
		p.endPermitted(job, false)
		return
	}
	if plan, ok := p.plan(job); ok {
		p.launch(job, NewCoordinator(p.config(), plan))
	}
}

// endPermitted ends a cancelled job that has a permit and no attempt.
func (p *simPlanner) endPermitted(job int, claim bool) {
	expect := p.view[job].revision
	p.call(func() {
		rec := &p.w.store.records[job]
		if rec.state != simPermitted || rec.revision != expect {
			return
		}
		rec.revision++
		rec.state = simFinal
		if claim {
			p.w.tellNotRun(job)
		}
	}, func(bool) {})
}

func (p *simPlanner) raiseFences() {
	for i, a := range p.w.agents {
		if p.known[i] != 0 && p.fenced[i].IsZero() {
			p.sendTo(a, FenceMessage(p.epoch, p.known[i]))
			if p.asked[i].IsZero() {
				p.asked[i] = p.w.now
			}
		}
	}
}

func (p *simPlanner) witnesses() []AgentView {
	var all []AgentView
	for i, a := range p.w.agents {
		if p.known[i] != 0 && p.w.now.Sub(p.heard[i]) <= simLoss {
			all = append(all, AgentView{a.name, p.known[i], p.fenced[i], p.asked[i], p.tasks[i]})
		}
	}
	return all
}

// noteReport keeps what a search needs of a report; late ones of an earlier life
// count for nothing.
func (p *simPlanner) noteReport(i int, r Reported) {
	if r.Incarnation < p.known[i] {
		return
	}
	if r.Incarnation > p.known[i] {
		p.fenced[i], p.asked[i] = time.Time{}, time.Time{}
	}
	p.known[i] = r.Incarnation
	p.tasks[i] = r.Tasks
	switch {
	case r.Fence < p.epoch:
		p.fenced[i] = time.Time{}
	case p.fenced[i].IsZero():
		p.fenced[i] = p.w.now
	}
	for _, t := range r.Tasks {
		p.holdAgain(t)
	}
}

// holdAgain meets a task that a search could not see.
func (p *simPlanner) holdAgain(t Task) {
	job := p.w.jobIndex(t.ID.Job)
	if h := p.held[job]; h != nil && h.cleared && h.epoch == t.ID.Epoch && !p.runsJob(job) {
		delete(p.held, job)
	}
}

// accountsOnPermit says whether a task must be left alone for the sake of a permit.
func (p *simPlanner) accountsOnPermit(id ID) bool {
	job := p.w.jobIndex(id.Job)
	rec := p.view[job]
	if rec.state != simPermitted || rec.permit != id.Epoch {
		return false
	}
	for _, r := range p.runs {
		if r.job == job {
			return r.co.Plan().ID == id && r.outcome != nil && r.outcome.Outcome == Done
		}
	}
	if rec.permit == p.epoch {
		return false
	}
	h := p.held[job]
	return h == nil || !h.cleared && !h.incomplete
}

func (p *simPlanner) keepDone() Config {
	c := p.config()
	c.RetainSucceeded = true
	return c
}

// simGrant names a permit: a job and the epoch of the planner that may start it.
type simGrant struct {
	job   int
	epoch uint64
}

// cancel is a caller's cancellation through an entry that reaches the store.
func (w *world) cancel(job int) {
	rec := &w.store.records[job]
	switch {
	case w.store.down || rec.state == simFinal || rec.cancel:
		return
	case rec.state == simQueued && rec.attempts == 0:
		w.tellNotRun(job)
		rec.state = simFinal
	case rec.state == simQueued:
		rec.state = simFinal
	default:
		rec.cancel = true
	}
	rec.revision++
}

// tellNotRun tells a caller that the job did not run and will not.
func (w *world) tellNotRun(job int) {
	name := w.jobs[job].name
	if ran := w.truth.ran[name]; len(ran) > 0 {
		w.fail("job %s told not run after it ran as %v", name, ran)
	}
	w.truth.told[name] = true
	w.stats.told++
}

func (w *world) jobIndex(name string) int {
	return slices.IndexFunc(w.jobs, func(j simJob) bool { return j.name == name })
}
