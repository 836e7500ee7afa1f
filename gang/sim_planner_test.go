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
	simEnded
)

// simRecord is a job's record in the store.
type simRecord struct {
	revision        int
	state           simState
	plan            Plan
	permitEpoch     uint64 // epoch of the planner that holds the permit
	cancelRequested bool
	attempts        int
}

type simStore struct {
	down    bool
	records []simRecord
}

func (s *simStore) snapshot() []simRecord { return slices.Clone(s.records) }

// simRun is one coordinator and, after its end, the write of its outcome.
type simRun struct {
	job          int
	coord        *Coordinator
	outcome      *Ended
	baseRevision int // revision of the record that the attempt is based on
	startedAt    time.Time
	// onPermit is set if no record names the attempt, placing while its
	// placement is being recorded.
	onPermit, mayHaveStarted, placing bool
}

type simPlanner struct {
	sim              *simulation
	epoch            uint64
	paused           bool
	dead             bool
	storeUnreachable bool
	disconnected     map[string]bool
	records          []simRecord
	lastReportAt     []time.Time
	incarnations     []uint64 // by agent; zero if unknown
	fencedAt         []time.Time
	fenceSentAt      []time.Time
	tasks            [][]Task
	permits          map[int]*simPermit
	unresolved       map[int]*simUnresolved
	runs             []*simRun
	number           uint64
	refreshedAt      time.Time
}

func (p *simPlanner) name() string { return fmt.Sprint("planner ", p.epoch) }

// whenNotPaused runs f now, or after the planner's pause. A stopped planner
// runs nothing.
func (p *simPlanner) whenNotPaused(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.sim.after(time.Second, func() { p.whenNotPaused(f) })
	default:
		f()
	}
}

// storeCall runs an operation at the store. Its reply may be lost, and it may
// take effect long after the planner has stopped waiting for it.
func (p *simPlanner) storeCall(op func(), done func(ok bool)) {
	s := p.sim
	reachable := func() bool { return !s.store.down && !p.storeUnreachable }
	if s.faultsEnabled && s.chance(0.1) {
		s.after(4*s.delay(), func() {
			if reachable() {
				op()
			}
		})
		s.after(s.delay(), func() { p.whenNotPaused(func() { done(false) }) })
		return
	}
	s.after(s.delay()/4, func() {
		ok := reachable()
		if ok {
			op()
		}
		ok = ok && !(s.faultsEnabled && s.chance(0.1))
		s.after(s.delay()/4, func() { p.whenNotPaused(func() { done(ok) }) })
	})
}

func (p *simPlanner) tick() {
	if p.paused {
		return
	}
	if p.sim.now.Sub(p.refreshedAt) >= 3*time.Second {
		p.refreshedAt = p.sim.now
		p.refresh()
	}
	for _, r := range slices.Clone(p.runs) {
		for _, m := range r.coord.Plan().Members {
			if p.sim.now.Sub(p.lastReportAt[p.sim.agentIndex(m.Agent)]) > simLossTimeout {
				p.step(r, MemberLost{m.Agent})
			}
		}
		p.step(r, Wake{})
	}
}

// refresh reads the records, writes outcomes, and takes over or starts
// attempts.
func (p *simPlanner) refresh() {
	var snapshot []simRecord
	p.storeCall(func() { snapshot = p.sim.store.snapshot() }, func(ok bool) {
		if !ok {
			return
		}
		p.records = snapshot
		for _, r := range slices.Clone(p.runs) {
			switch {
			case r.outcome != nil:
				p.writeOutcome(r)
			case p.records[r.job].cancelRequested:
				p.step(r, Abort{})
			default:
				p.recordPlacement(r)
			}
		}
		for job := range p.records {
			p.handleRecord(job)
		}
	})
}

func (p *simPlanner) handleRecord(job int) {
	if p.hasRun(job) {
		return
	}
	rec := p.records[job]
	switch {
	case rec.state == simPermitted && rec.permitEpoch < p.epoch:
		p.resolvePermit(job)
	case rec.state == simPermitted && rec.permitEpoch > p.epoch:
	case rec.state == simPermitted && rec.cancelRequested:
		p.endPermitted(job, !p.permit(job).mayHaveStarted)
	case p.permitUsable(job):
		if plan, ok := p.plan(job); ok {
			p.start(&simRun{job: job, coord: NewCoordinator(p.permitConfig(), plan), onPermit: true})
		}
	case rec.state == simQueued && rec.attempts == 0 && p.sim.jobs[job].repeatable && p.sim.chance(p.sim.permitChance):
		p.writePermit(job)
	case rec.state == simStarting && rec.plan.ID.Epoch <= p.epoch:
		p.startRecorded(job, ResumeCoordinator(p.config(), rec.plan))
	case rec.state == simQueued, rec.state == simPermitted:
		if plan, ok := p.plan(job); ok {
			p.startRecorded(job, NewCoordinator(p.config(), plan))
		}
	}
}

func (p *simPlanner) startRecorded(job int, co *Coordinator) {
	p.start(&simRun{job: job, coord: co})
}

func (p *simPlanner) hasRun(job int) bool {
	return slices.ContainsFunc(p.runs, func(r *simRun) bool { return r.job == job })
}

func (p *simPlanner) start(r *simRun) {
	r.baseRevision = p.records[r.job].revision
	p.runs = append(p.runs, r)
	p.step(r, Begin{})
}

func (p *simPlanner) config() Config {
	return Config{
		Epoch:          p.epoch,
		ResendInterval: 2 * time.Second,
		HoldTimeout:    20 * time.Second,
		LivenessWindow: simLivenessWindow,
		FenceWait:      simFenceWait,
		StartTimeout:   simStartTimeout,
	}
}

// plan places a job at random; agents refuse accelerators that are in use.
func (p *simPlanner) plan(job int) (Plan, bool) {
	p.number++
	plan := Plan{ID: ID{p.sim.jobs[job].name, p.epoch, p.number}}
	for _, i := range p.sim.rng.Perm(len(p.sim.agents))[:p.sim.jobs[job].members] {
		if p.incarnations[i] == 0 {
			return plan, false
		}
		accelerators := p.sim.rng.Perm(simAccelerators)[:1+p.sim.rng.IntN(simAccelerators)]
		plan.Members = append(plan.Members, PlannedMember{p.sim.agents[i].name, p.incarnations[i], accelerators, nil})
	}
	return plan, true
}

func (p *simPlanner) step(r *simRun, ev Event) {
	for _, act := range r.coord.Step(p.sim.now, ev) {
		switch act := act.(type) {
		case Send:
			p.sendTo(p.sim.agents[p.sim.agentIndex(act.To)], act.Message)
		case Record:
			p.recordStart(r, act.Plan)
		case Ended:
			p.sim.checkEnded(r.coord.Plan().ID, act)
			r.outcome = &act
			if act.Outcome == Superseded {
				p.permit(r.job).mayHaveStarted = p.permit(r.job).mayHaveStarted || r.mayHaveStarted
				p.removeRun(r)
			}
		}
	}
}

func (p *simPlanner) sendTo(a *simAgent, m Message) {
	sent := p.sim.now
	p.sim.send(p, a, func() {
		a.answering = sent
		a.step(Received{From: p.name(), Message: m})
		a.answering = time.Time{}
	})
}

func (p *simPlanner) recordStart(r *simRun, plan Plan) {
	if r.onPermit {
		p.recordOnPermit(r)
		return
	}
	result := RecordUnknown
	expect := r.baseRevision
	write := func() {
		rec := &p.sim.store.records[r.job]
		if (rec.state == simQueued || rec.state == simPermitted) && rec.revision == expect {
			*rec = simRecord{revision: expect + 1, state: simStarting, plan: plan, cancelRequested: rec.cancelRequested, attempts: rec.attempts + 1}
			p.sim.history.recorded[plan.ID] = true
		}
		result = RecordConflict
		if rec.state == simStarting && rec.plan.ID == plan.ID {
			result = RecordWritten
		}
	}
	p.storeCall(write, func(ok bool) {
		if !ok {
			result = RecordUnknown
		}
		p.step(r, Recorded{result})
	})
}

// recordOnPermit lets an attempt start without a write if the permit still
// holds according to the records that the planner has read.
func (p *simPlanner) recordOnPermit(r *simRun) {
	result := RecordConflict
	if p.permitUsable(r.job) && p.records[r.job].revision == r.baseRevision {
		r.mayHaveStarted, r.startedAt = true, p.sim.now
		p.sim.stats.onPermit++
		result = RecordWritten
	}
	p.sim.after(0, func() { p.whenNotPaused(func() { p.step(r, Recorded{result}) }) })
}

func (p *simPlanner) writeOutcome(r *simRun) {
	job := p.sim.jobs[r.job]
	id, outcome := r.coord.Plan().ID, r.outcome.Outcome
	retry := outcome == NotStarted || job.repeatable && outcome != Done
	if r.onPermit && retry && p.records[r.job].state == simPermitted {
		p.retryOnPermit(r, outcome)
		return
	}
	write := func() {
		rec := &p.sim.store.records[r.job]
		switch {
		case rec.state == simStarting && rec.plan.ID == id:
		case r.onPermit && rec.state == simPermitted && rec.permitEpoch == id.Epoch:
		default:
			return
		}
		rec.revision++
		rec.state = simEnded
		if retry && !rec.cancelRequested && rec.attempts < 20 {
			rec.state = simQueued
		}
	}
	p.storeCall(write, func(ok bool) {
		if ok {
			p.removeRun(r)
		}
	})
}

// retryOnPermit leaves the record unchanged after an attempt. The job is
// started again on the permit, or over the permit of another planner.
func (p *simPlanner) retryOnPermit(r *simRun, outcome Outcome) {
	p.removeRun(r)
	if id := r.coord.Plan().ID; id.Epoch != p.epoch {
		p.unresolved[r.job] = &simUnresolved{epoch: id.Epoch, notFound: true}
		return
	}
	if outcome != NotStarted {
		p.permit(r.job).mayHaveStarted = true
	}
}

func (p *simPlanner) removeRun(r *simRun) {
	p.runs = slices.DeleteFunc(p.runs, func(o *simRun) bool { return o == r })
}

func (p *simPlanner) handleReply(a *simAgent, r Reply, sent time.Time) {
	p.whenNotPaused(func() {
		for _, run := range slices.Clone(p.runs) {
			p.step(run, ReplyReceived{a.name, r, sent})
		}
	})
}

// handleReport applies a report, answers it, and stops orphaned tasks.
func (p *simPlanner) handleReport(a *simAgent, sent time.Time, r Reported) {
	p.whenNotPaused(func() {
		i := p.sim.agentIndex(a.name)
		p.lastReportAt[i] = p.sim.now
		p.applyReport(i, r)
		var renewed []ID
		for _, run := range slices.Clone(p.runs) {
			p.step(run, r)
			if run.coord.AllMembersAlive(p.sim.now) {
				renewed = append(renewed, run.coord.Plan().ID)
			}
		}
		p.sim.send(p, a, func() { a.step(ReportAnswered{sent, renewed, NewPlannerTimestamp(p.epoch, p.sim.now)}) })
		for _, t := range r.Tasks {
			if stop, ok := OrphanStop(t, r.Incarnation, p.epoch); ok && !p.knowsAttempt(t.ID) {
				p.sendTo(a, stop)
			}
		}
	})
}

func (p *simPlanner) knowsAttempt(id ID) bool {
	for _, r := range p.runs {
		if r.coord.Plan().ID == id && !r.coord.HasEnded() {
			return true
		}
	}
	return p.keepsTaskForPermit(id) || slices.ContainsFunc(p.records, func(r simRecord) bool {
		return r.state == simStarting && r.plan.ID == id
	})
}
