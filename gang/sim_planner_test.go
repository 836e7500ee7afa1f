package gang

import (
	"fmt"
	"slices"
	"time"
)

type simState uint8

const (
	simQueued simState = iota
	simStarting
	simPermitted
	simFinal
)

// simRecord is a job's record in the store.
type simRecord struct {
	revision int
	state    simState
	plan     Plan
	permit   uint64 // epoch of the planner that may start it
	cancel   bool   // a caller has asked for it
	attempts int
}

type simStore struct {
	down    bool
	records []simRecord
}

func (s *simStore) snapshot() []simRecord { return slices.Clone(s.records) }

// simRun is one coordinator and, after its end, the write of its outcome.
type simRun struct {
	job     int
	co      *Coordinator
	outcome *Ended
	decided int       // revision of the record
	began   time.Time // the start
	// onPermit: no record names the attempt. used: it may have started.
	onPermit, used, placing bool
}

type simPlanner struct {
	w       *world
	epoch   uint64
	paused  bool
	dead    bool
	noStore bool
	cut     map[string]bool
	view    []simRecord
	heard   []time.Time
	known   []uint64 // incarnations by agent
	fenced  []time.Time
	asked   []time.Time
	tasks   [][]Task
	permits map[int]*simPermit
	held    map[int]*simHeld
	runs    []*simRun
	number  uint64
	read    time.Time
}

func (p *simPlanner) name() string { return fmt.Sprint("planner ", p.epoch) }

// awake runs f now, or after the pause.
func (p *simPlanner) awake(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.w.after(time.Second, func() { p.awake(f) })
	default:
		f()
	}
}

// call runs an operation at the store. Its reply may be lost after it took
// effect, and it may take effect long after the planner gave it up.
func (p *simPlanner) call(op func(), done func(ok bool)) {
	w := p.w
	reach := func() bool { return !w.store.down && !p.noStore }
	if w.chaos && w.chance(0.1) {
		w.after(4*w.delay(), func() {
			if reach() {
				op()
			}
		})
		w.after(w.delay(), func() { p.awake(func() { done(false) }) })
		return
	}
	w.after(w.delay()/4, func() {
		ok := reach()
		if ok {
			op()
		}
		ok = ok && !(w.chaos && w.chance(0.1))
		w.after(w.delay()/4, func() { p.awake(func() { done(ok) }) })
	})
}

func (p *simPlanner) tick() {
	if p.paused {
		return
	}
	if p.w.now.Sub(p.read) >= 3*time.Second {
		p.read = p.w.now
		p.refresh()
	}
	for _, r := range slices.Clone(p.runs) {
		for _, m := range r.co.Plan().Members {
			if p.w.now.Sub(p.heard[p.w.agentIndex(m.Agent)]) > simLoss {
				p.step(r, MemberLost{m.Agent})
			}
		}
		p.step(r, Wake{})
	}
}

// refresh reads the records, writes outcomes, resumes and plans.
func (p *simPlanner) refresh() {
	var read []simRecord
	p.call(func() { read = p.w.store.snapshot() }, func(ok bool) {
		if !ok {
			return
		}
		p.view = read
		for _, r := range slices.Clone(p.runs) {
			switch {
			case r.outcome != nil:
				p.writeOutcome(r)
			case p.view[r.job].cancel:
				p.step(r, Abort{})
			default:
				p.place(r)
			}
		}
		for job := range p.view {
			p.take(job)
		}
	})
}

func (p *simPlanner) take(job int) {
	if p.runsJob(job) {
		return
	}
	rec := p.view[job]
	switch {
	case rec.state == simPermitted && rec.permit < p.epoch:
		p.resolve(job)
	case rec.state == simPermitted && rec.permit > p.epoch:
	case rec.state == simPermitted && rec.cancel:
		p.endPermitted(job, !p.permit(job).ran)
	case p.usable(job):
		if plan, ok := p.plan(job); ok {
			p.start(&simRun{job: job, co: NewCoordinator(p.keepDone(), plan), onPermit: true})
		}
	case rec.state == simQueued && rec.attempts == 0 && p.w.jobs[job].repeatable && p.w.chance(p.w.eager):
		p.writePermit(job)
	case rec.state == simStarting && rec.plan.ID.Epoch <= p.epoch:
		p.launch(job, ResumeCoordinator(p.config(), rec.plan))
	case rec.state == simQueued, rec.state == simPermitted:
		if plan, ok := p.plan(job); ok {
			p.launch(job, NewCoordinator(p.config(), plan))
		}
	}
}

func (p *simPlanner) launch(job int, co *Coordinator) {
	p.start(&simRun{job: job, co: co})
}

func (p *simPlanner) runsJob(job int) bool {
	return slices.ContainsFunc(p.runs, func(r *simRun) bool { return r.job == job })
}

func (p *simPlanner) start(r *simRun) {
	r.decided = p.view[r.job].revision
	p.runs = append(p.runs, r)
	p.step(r, Begin{})
}

func (p *simPlanner) config() Config {
	return Config{
		Epoch:          p.epoch,
		ResendInterval: 2 * time.Second,
		HoldTimeout:    20 * time.Second,
		LivenessWindow: simWindow,
		SettleTime:     simSettle,
		StartTimeout:   simStartWithin,
	}
}

// plan places at random: agents arbitrate.
func (p *simPlanner) plan(job int) (Plan, bool) {
	p.number++
	plan := Plan{ID: ID{p.w.jobs[job].name, p.epoch, p.number}}
	for _, i := range p.w.rng.Perm(len(p.w.agents))[:p.w.jobs[job].members] {
		if p.known[i] == 0 {
			return plan, false
		}
		gpus := p.w.rng.Perm(simGPUs)[:1+p.w.rng.IntN(simGPUs)]
		plan.Members = append(plan.Members, PlannedMember{p.w.agents[i].name, p.known[i], gpus, nil})
	}
	return plan, true
}

func (p *simPlanner) step(r *simRun, ev Event) {
	for _, act := range r.co.Step(p.w.now, ev) {
		switch act := act.(type) {
		case Send:
			p.sendTo(p.w.agents[p.w.agentIndex(act.To)], act.Message)
		case Record:
			p.record(r, act.Plan)
		case Ended:
			p.w.checkEnded(r.co.Plan().ID, act)
			r.outcome = &act
			if act.Outcome == Superseded {
				p.permit(r.job).ran = p.permit(r.job).ran || r.used
				p.drop(r)
			}
		}
	}
}

func (p *simPlanner) sendTo(a *simAgent, m Message) {
	p.w.send(p, a, func() { a.step(Received{From: p.name(), Message: m}) })
}

func (p *simPlanner) record(r *simRun, plan Plan) {
	if r.onPermit {
		p.recordOnPermit(r)
		return
	}
	result := RecordUnknown
	expect := r.decided
	write := func() {
		rec := &p.w.store.records[r.job]
		if (rec.state == simQueued || rec.state == simPermitted) && rec.revision == expect {
			*rec = simRecord{revision: expect + 1, state: simStarting, plan: plan, cancel: rec.cancel, attempts: rec.attempts + 1}
			p.w.truth.recorded[plan.ID] = true
		}
		result = RecordConflict
		if rec.state == simStarting && rec.plan.ID == plan.ID {
			result = RecordWritten
		}
	}
	p.call(write, func(ok bool) {
		if !ok {
			result = RecordUnknown
		}
		p.step(r, Recorded{result})
	})
}

// recordOnPermit lets an attempt start without a write if the permit still holds,
// as far as the planner can see.
func (p *simPlanner) recordOnPermit(r *simRun) {
	result := RecordConflict
	if p.usable(r.job) && p.view[r.job].revision == r.decided {
		r.used, r.began = true, p.w.now
		p.w.stats.onPermit++
		result = RecordWritten
	}
	p.w.after(0, func() { p.awake(func() { p.step(r, Recorded{result}) }) })
}

func (p *simPlanner) writeOutcome(r *simRun) {
	job := p.w.jobs[r.job]
	id, o := r.co.Plan().ID, r.outcome.Outcome
	again := o == NotStarted || job.repeatable && o != Done
	if r.onPermit && again && p.view[r.job].state == simPermitted {
		p.againOnPermit(r, o)
		return
	}
	write := func() {
		rec := &p.w.store.records[r.job]
		switch {
		case rec.state == simStarting && rec.plan.ID == id:
		case r.onPermit && rec.state == simPermitted && rec.permit == id.Epoch:
		default:
			return
		}
		rec.revision++
		rec.state = simFinal
		if again && !rec.cancel && rec.attempts < 20 {
			rec.state = simQueued
		}
	}
	p.call(write, func(ok bool) {
		if ok {
			p.drop(r)
		}
	})
}

// againOnPermit leaves the record alone after an attempt: the job is started again
// on the permit, or over that of another planner.
func (p *simPlanner) againOnPermit(r *simRun, o Outcome) {
	p.drop(r)
	if id := r.co.Plan().ID; id.Epoch != p.epoch {
		p.held[r.job] = &simHeld{epoch: id.Epoch, cleared: true}
		return
	}
	if o != NotStarted {
		p.permit(r.job).ran = true
	}
}

func (p *simPlanner) drop(r *simRun) {
	p.runs = slices.DeleteFunc(p.runs, func(o *simRun) bool { return o == r })
}

func (p *simPlanner) reply(a *simAgent, r Reply) {
	p.awake(func() {
		for _, run := range slices.Clone(p.runs) {
			p.step(run, ReplyReceived{a.name, r})
		}
	})
}

// report takes a report, answers it, and stops what no record and no coordinator
// knows of.
func (p *simPlanner) report(a *simAgent, sent time.Time, r Reported) {
	p.awake(func() {
		i := p.w.agentIndex(a.name)
		p.heard[i] = p.w.now
		p.noteReport(i, r)
		var whole []ID
		for _, run := range slices.Clone(p.runs) {
			p.step(run, r)
			if run.co.AllMembersAlive(p.w.now) {
				whole = append(whole, run.co.Plan().ID)
			}
		}
		p.w.send(p, a, func() { a.step(ReportAnswered{sent, whole, NewPlannerTimestamp(p.epoch, p.w.now)}) })
		for _, t := range r.Tasks {
			if stop, ok := OrphanStop(t, r.Incarnation, p.epoch); ok && !p.knows(t.ID) {
				p.sendTo(a, stop)
			}
		}
	})
}

func (p *simPlanner) knows(id ID) bool {
	for _, r := range p.runs {
		if r.co.Plan().ID == id && !r.co.HasEnded() {
			return true
		}
	}
	return p.accountsOnPermit(id) || slices.ContainsFunc(p.view, func(r simRecord) bool {
		return r.state == simStarting && r.plan.ID == id
	})
}
