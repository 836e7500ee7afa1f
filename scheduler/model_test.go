package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	longSteps = flag.Int("scheduler.long", 0, "steps of the long randomised run; 0 skips it")
	longSeed  = flag.Uint64("scheduler.seed", 1, "seed of the long randomised run")
)

// model tracks what the workers hold and checks every action of a scheduler
// against it.
type model struct {
	t          testing.TB
	s          *Scheduler
	rng        *rand.Rand
	now        time.Time
	workers    map[WorkerID]Worker
	up         map[WorkerID]bool
	ids        []WorkerID
	holders    map[string]JobID // by worker and accelerator
	jobs       map[JobID]*modelJob
	order      []JobID // live jobs, oldest first
	nextID     int
	policyGen  uint64
	degraded   map[string]bool
	endedCount int
}

// modelJob is a live job of the model.
type modelJob struct {
	Job
	attempt  Attempt
	place    Placement
	running  bool
	stopping bool
}

func newModel(t testing.TB, seed uint64, workers int) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e6, 0),
		workers: map[WorkerID]Worker{}, up: map[WorkerID]bool{}, holders: map[string]JobID{},
		jobs: map[JobID]*modelJob{}, degraded: map[string]bool{},
	}
	m.s = New(Options{Start: m.now})
	var evs []Event
	for i := range workers {
		w := Worker{ID: WorkerID(fmt.Sprint("w", i)), Zone: fmt.Sprint("z", i%3), Rack: fmt.Sprint("r", i/3%3), Accelerators: 8, Cores: 32, MemoryMB: 64_000}
		if i%7 == 6 {
			w.Accelerators = []int{0, 2, 4}[i/7%3]
		}
		m.workers[w.ID] = w
		m.ids = append(m.ids, w.ID)
		m.up[w.ID] = true
		evs = append(evs, WorkerUp{w})
	}
	m.step(Batch{append(evs, m.newPolicy(CompletionTime))})
	return m
}

func (m *model) newPolicy(o Objective) Event {
	m.policyGen++
	p := Policy{Generation: m.policyGen, Objective: o, QuarantineFor: 5 * time.Second, Accounts: []AccountPolicy{
		{ID: "a", Weight: 2, Guaranteed: []Shape{{8, AdjacentWorker, 2}, {1, AdjacentAny, 1 + m.rng.IntN(3)}}},
		{ID: "b", Guaranteed: []Shape{{12, AdjacentRack, 1}, {2, AdjacentWorker, 2}}},
		{ID: "c", MaxQueued: 40},
	}}
	return PolicyChanged{p}
}

// step applies one event and checks every action against the model.
func (m *model) step(ev Event) {
	for _, a := range m.s.Step(m.now, ev) {
		switch a := a.(type) {
		case StartGang:
			m.startJob(a)
		case StopGang:
			if j := m.jobs[a.Job]; j == nil || j.attempt != a.Attempt {
				m.fatalf("stop of an attempt that does not exist: %v", a)
			}
			if r := m.s.jobs[a.Job].run; a.Reason == StopReclaim && len(r.blockUses) > 0 {
				m.fatalf("job %q was evicted from blocks of its own account", a.Job)
			}
			m.jobs[a.Job].stopping = true
		case RejectJob:
			m.endJob(a.Job)
		case GuaranteeDegraded:
			m.degraded[fmt.Sprint(a.Account, a.Shape.Accelerators, a.Shape.Adjacency)] = true
		case GuaranteeRestored:
			delete(m.degraded, fmt.Sprint(a.Account, a.Shape.Accelerators, a.Shape.Adjacency))
		}
	}
	if err := m.s.Check(); err != nil {
		m.fatalf("after %T: %v", ev, err)
	}
	if len(m.s.jobs) != len(m.jobs) {
		m.fatalf("model has %d live jobs, scheduler has %d", len(m.jobs), len(m.s.jobs))
	}
}

func (m *model) fatalf(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf(format, args...)
}

func (m *model) startJob(a StartGang) {
	j := m.jobs[a.Job]
	if j == nil || j.attempt >= a.Attempt || j.place != nil {
		m.fatalf("unexpected start %v in state %+v", a, j)
	}
	j.attempt, j.place, j.running, j.stopping = a.Attempt, a.Placement, false, false
	r := m.s.jobs[a.Job].run
	probe := !m.s.nodes[r.held[0].node].usable()
	if !j.mayBorrow() && !r.protected && !probe {
		m.fatalf("job %q may not borrow but can be evicted", a.Job)
	}
	total := 0
	for _, g := range a.Placement {
		total += len(g.Accelerators)
		if !m.up[g.Worker] {
			m.fatalf("start of %q on worker %q, which is not up", a.Job, g.Worker)
		}
		for _, x := range g.Accelerators {
			k := fmt.Sprint(g.Worker, "/", x)
			if other, ok := m.holders[k]; ok || x >= m.workers[g.Worker].Accelerators {
				m.fatalf("accelerator %s was granted to %q but does not exist or is held by %q", k, a.Job, other)
			}
			m.holders[k] = a.Job
		}
	}
	if total != j.Accelerators {
		m.fatalf("job %q was granted %d accelerators, requested %d", a.Job, total, j.Accelerators)
	}
}

func (m *model) releaseJob(j *modelJob) {
	for _, g := range j.place {
		for _, x := range g.Accelerators {
			delete(m.holders, fmt.Sprint(g.Worker, "/", x))
		}
	}
	j.place, j.running, j.stopping = nil, false, false
}

func (m *model) endJob(id JobID) {
	j := m.jobs[id]
	if j == nil {
		m.fatalf("job %q ended twice", id)
	}
	if j.place != nil {
		m.fatalf("job %q ended while it runs", id)
	}
	delete(m.jobs, id)
	m.order = slices.DeleteFunc(m.order, func(x JobID) bool { return x == id })
	m.endedCount++
}

func (m *model) newJob() Job {
	m.nextID++
	j := Job{
		ID: JobID(fmt.Sprint("j", m.nextID)), Account: AccountID("abc"[m.rng.IntN(3):][:1]), Class: fmt.Sprint(m.rng.IntN(4)),
		Accelerators: []int{0, 1, 1, 2, 2, 4, 8, 8, 12, 20, 500}[m.rng.IntN(11)], Adjacency: Adjacency(m.rng.IntN(4)),
		Urgent: m.rng.IntN(10) == 0, Repeatable: m.rng.IntN(3) > 0, Checkpointable: m.rng.IntN(2) > 0, NoBorrow: m.rng.IntN(4) == 0,
		Cores: m.rng.IntN(6), MemoryMB: 1000, Estimate: time.Minute, Submitted: m.now,
	}
	m.track(j)
	return j
}

func (m *model) track(j Job) {
	m.jobs[j.ID] = &modelJob{Job: j}
	m.order = append(m.order, j.ID)
}

// pickJob returns a random live job that matches, or nil.
func (m *model) pickJob(matches func(*modelJob) bool) *modelJob {
	if len(m.order) == 0 {
		return nil
	}
	first := m.rng.IntN(len(m.order))
	for i := range m.order {
		if j := m.jobs[m.order[(first+i)%len(m.order)]]; matches(j) {
			return j
		}
	}
	return nil
}

func hasAttempt(j *modelJob) bool { return j.place != nil }
func isStopping(j *modelJob) bool { return j.stopping }
func isRunning(j *modelJob) bool  { return j.running && !j.stopping }
func isStarting(j *modelJob) bool { return j.place != nil && !j.running && !j.stopping }

// endAttempt ends an attempt with an outcome.
func (m *model) endAttempt(j *modelJob, o Outcome) {
	id, attempt, worker := j.ID, j.attempt, j.place[m.rng.IntN(len(j.place))].Worker
	m.releaseJob(j)
	if o == Done {
		m.endJob(id)
	}
	m.step(GangEnded{Job: id, Attempt: attempt, Outcome: o, Worker: worker})
}

func (m *model) randomEvent() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(3000)) * time.Millisecond)
	id := m.ids[m.rng.IntN(len(m.ids))]
	switch m.rng.IntN(17) {
	case 0, 1, 2:
		var jobs []Job
		for range 1 + m.rng.IntN(6) {
			jobs = append(jobs, m.newJob())
		}
		m.step(JobsSubmitted{jobs})
	case 3, 4, 5:
		if j := m.pickJob(isStarting); j != nil {
			j.running = true
			m.step(GangStarted{j.ID, j.attempt})
		}
	case 6, 7, 8:
		if j := m.pickJob(isRunning); j != nil {
			m.endAttempt(j, Done)
		}
	case 9:
		if j := m.pickJob(hasAttempt); j != nil {
			m.endAttempt(j, []Outcome{Failed, Lost}[m.rng.IntN(2)])
		}
	case 10, 11:
		if j := m.pickJob(isStopping); j != nil {
			m.endAttempt(j, []Outcome{Stopped, Stopped, Done}[m.rng.IntN(3)])
		}
	case 12:
		if j := m.pickJob(isStarting); j != nil {
			w := j.place[0].Worker
			m.releaseJob(j)
			m.step(GangRefused{j.ID, j.attempt, w})
		}
	case 13:
		var ids []JobID
		for range 1 + m.rng.IntN(8) {
			if j := m.pickJob(func(*modelJob) bool { return true }); j != nil {
				ids = append(ids, j.ID)
			}
		}
		m.step(JobsCancelled{ids})
	case 14:
		m.changeWorker(id)
	case 15:
		if j := m.pickJob(isRunning); j != nil {
			m.step(CheckpointTaken{j.ID, m.now})
		}
	case 16:
		m.rareEvent()
	}
}

func (m *model) changeWorker(id WorkerID) {
	switch {
	case !m.up[id]:
		m.up[id] = true
		m.step(WorkerUp{m.workers[id]})
	case m.rng.IntN(3) == 0:
		m.up[id] = false
		m.step(WorkerDraining{id})
	case m.rng.IntN(2) == 0:
		m.up[id] = false
		m.step(WorkerDown{id})
	}
}

func (m *model) rareEvent() {
	switch m.rng.IntN(6) {
	case 0:
		m.step(m.newPolicy(Objective(m.rng.IntN(2))))
	case 1:
		m.takeover()
	case 2:
		m.claimAllGuarantees()
	default:
		m.step(Tick{})
	}
}

// takeover replaces the scheduler and restores it from the job records and the
// agents' reports.
func (m *model) takeover() {
	m.s = New(Options{Start: m.now})
	m.degraded = map[string]bool{}
	evs := []Event{m.newPolicy(CompletionTime)}
	for _, id := range m.ids {
		if m.up[id] {
			evs = append(evs, WorkerUp{m.workers[id]})
		}
	}
	var waiting []Job
	for _, id := range m.order {
		j := m.jobs[id]
		j.Job.LastAttempt = j.attempt
		if j.place == nil {
			waiting = append(waiting, j.Job)
			continue
		}
		evs = append(evs, JobRestored{Job: j.Job, Attempt: j.attempt, Placement: j.place, Started: m.now, Stopping: j.stopping})
		j.running = true
	}
	m.step(Batch{append(evs, JobsSubmitted{waiting})})
}

// claimAllGuarantees brings every worker up and claims all guaranteed shapes at
// once. All claims must start once the evicted work has stopped.
func (m *model) claimAllGuarantees() {
	for _, id := range m.ids {
		if !m.up[id] {
			m.up[id] = true
			m.step(WorkerUp{m.workers[id]})
		}
	}
	m.step(JobsCancelled{slices.DeleteFunc(slices.Clone(m.order), func(id JobID) bool {
		j := m.jobs[id]
		return !slices.Contains([]AccountID{"a", "b"}, j.Account)
	})})
	m.finishStops()
	if len(m.degraded) > 0 || m.s.Stats().Quarantined > 0 {
		return
	}
	for i := range 6 {
		j := Job{ID: JobID(fmt.Sprint("other", m.nextID, i)), Account: "c", Accelerators: 8 << (i % 2), Repeatable: true, Submitted: m.now}
		m.track(j)
		m.step(JobsSubmitted{[]Job{j}})
	}
	var claims []Job
	for _, a := range m.s.policy.Accounts {
		for _, g := range a.Guaranteed {
			for range g.Count {
				m.nextID++
				j := Job{ID: JobID(fmt.Sprint("claim", m.nextID)), Account: a.ID, Accelerators: g.Accelerators, Adjacency: g.Adjacency, Submitted: m.now}
				m.track(j)
				claims = append(claims, j)
			}
		}
	}
	m.step(JobsSubmitted{claims})
	m.finishStops()
	for _, j := range claims {
		if m.jobs[j.ID].place == nil {
			m.fatalf("claim of account %q for %d accelerators within one %s did not start", j.Account, j.Accelerators, j.Adjacency)
		}
	}
}

func (m *model) finishStops() {
	for j := m.pickJob(isStopping); j != nil; j = m.pickJob(isStopping) {
		m.endAttempt(j, Stopped)
	}
}

// Checks the invariants and the model after each random event.
func TestRandomisedRun(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			m := newModel(t, seed, 8+int(seed)*3)
			for range 1500 {
				m.randomEvent()
			}
			qt.Assert(t, m.endedCount > 100, qt.IsTrue)
		})
	}
}

// Runs TestRandomisedRun with the length and seed of the flags.
func TestRandomisedRunLong(t *testing.T) {
	if *longSteps == 0 {
		t.Skip("set -scheduler.long")
	}
	t.Logf("seed %d, %d steps", *longSeed, *longSteps)
	m := newModel(t, *longSeed, 30)
	for range *longSteps {
		m.randomEvent()
	}
	t.Logf("%d jobs ended", m.endedCount)
}
