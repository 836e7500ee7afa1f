package gang

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Timing and size of a simulation.
const (
	simStep             = 500 * time.Millisecond
	simReportInterval   = 2 * time.Second
	simLivenessWindow   = 6 * time.Second
	simIsolationTimeout = 15 * time.Second
	simStartTimeout     = 10 * time.Second
	simMaxDelay         = 1500 * time.Millisecond // of a message, a start or a stop
	simMaxLateness      = 12 * time.Second        // of a message, beyond simMaxDelay
	simFenceWait        = simLivenessWindow + simIsolationTimeout + 3*simMaxDelay
	simLossTimeout      = simFenceWait + 10*time.Second
	// simMaxPartial is how long part of a gang may run without the rest.
	simMaxPartial   = simFenceWait + simMaxDelay
	simWorkers      = 4
	simAccelerators = 2
	simJobs         = 5
	simMaxPlanners  = 3
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type simJob struct {
	name       string
	members    int
	repeatable bool
}

// simulation runs agents with targets, planners of several epochs, a store and
// a network in virtual time.
type simulation struct {
	t             testing.TB
	seed          uint64
	rng           *rand.Rand
	now           time.Time
	queue         simQueue
	seq           int
	faultsEnabled bool
	permitChance  float64 // probability that a permit is written before a start
	jobs          []simJob
	agents        []*simAgent
	planners      []*simPlanner
	epoch         uint64
	store         simStore
	history       simHistory
	stats         simStats
}

type simStats struct{ starts, done, notStarted, lost, superseded, recovered, isolated, onPermit, adoptable, notFound, permitsReturned, reportedNotRun, overlaps, late int }

func newSimulation(t testing.TB, seed uint64) *simulation {
	s := &simulation{
		t:       t,
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		history: newSimHistory(),
	}
	s.permitChance = 0.5 + s.rng.Float64()/2
	names := []string{"a", "b", "c", "d", "e"}
	for i := range simJobs {
		s.jobs = append(s.jobs, simJob{names[i], 1 + i%3, s.chance(0.5)})
		s.store.records = append(s.store.records, simRecord{})
	}
	for i := range simWorkers {
		a := &simAgent{sim: s, name: names[i]}
		s.agents = append(s.agents, a)
		a.restart()
	}
	return s
}

// run simulates a period with faults and then one without, after which
// everything must have ended.
func (s *simulation) run(faultPeriod, quietPeriod time.Duration) {
	s.faultsEnabled = true
	s.addPlanner()
	for end := s.now.Add(faultPeriod); s.now.Before(end); {
		s.injectFault()
		s.tick()
	}
	s.faultsEnabled = false
	s.endFaults()
	for end := s.now.Add(quietPeriod); s.now.Before(end); {
		s.tick()
	}
	s.checkNothingLeft()
}

func (s *simulation) tick() {
	s.now = s.now.Add(simStep)
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		heap.Pop(&s.queue).(simEvent).run()
	}
	for _, a := range s.agents {
		a.tick()
	}
	for _, p := range s.planners {
		p.tick()
	}
	s.checkPartial()
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(simMaxDelay)))
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, run})
}

// send delivers a message between a planner and an agent: delayed, reordered,
// duplicated or not at all. A few are handled after several later ones, as by a
// goroutine that waits, a process that is paused or a queue that is behind.
func (s *simulation) send(p *simPlanner, a *simAgent, deliver func()) {
	copies := 1
	if s.faultsEnabled && s.chance(0.1) {
		copies = s.rng.IntN(3)
	}
	late := time.Duration(0)
	if s.faultsEnabled && s.chance(0.05) {
		late = time.Duration(s.rng.Int64N(int64(simMaxLateness)))
		s.stats.late++
	}
	for range copies {
		s.after(late+s.delay(), func() {
			if !p.disconnected[a.name] {
				deliver()
			}
		})
	}
}

// injectFault makes something fail or recover, or aborts or cancels a job.
func (s *simulation) injectFault() {
	switch s.rng.IntN(70) {
	case 0:
		s.randomAgent().crash()
	case 1:
		s.randomAgent().loseTasks()
	case 2, 3:
		s.store.down = !s.store.down
	case 4, 5:
		p := s.randomPlanner()
		p.paused = !p.paused
	case 6, 7:
		p := s.randomPlanner()
		p.storeUnreachable = !p.storeUnreachable
	case 8, 9, 10:
		a, p := s.randomAgent(), s.randomPlanner()
		p.disconnected[a.name] = !p.disconnected[a.name]
	case 11:
		s.addPlanner()
	case 19:
		if s.chance(0.15) {
			s.cancel(s.rng.IntN(len(s.jobs)))
		}
	case 20:
		if p := s.planners[0]; len(s.planners) > 1 && !p.paused {
			p.returnPermits()
			s.keepPlanners(len(s.planners) - 1)
		}
	case 12:
		s.keepPlanners(max(1, len(s.planners)-1))
	case 13, 14, 15, 16, 17, 18:
		p := s.randomPlanner()
		if len(p.runs) > 0 && !p.paused {
			p.step(p.runs[s.rng.IntN(len(p.runs))], Abort{Checkpoint: s.chance(0.5)})
		}
	}
}

func (s *simulation) randomAgent() *simAgent     { return s.agents[s.rng.IntN(len(s.agents))] }
func (s *simulation) randomPlanner() *simPlanner { return s.planners[s.rng.IntN(len(s.planners))] }

// endFaults ends all faults and replaces all planners by a new one.
func (s *simulation) endFaults() {
	s.store.down = false
	s.keepPlanners(0)
	s.addPlanner()
	for _, a := range s.agents {
		if a.member == nil {
			a.restart()
		}
	}
}

func (s *simulation) addPlanner() {
	if s.store.down {
		return
	}
	s.epoch++
	p := &simPlanner{sim: s, epoch: s.epoch, disconnected: map[string]bool{}, records: s.store.snapshot()}
	p.permits, p.unresolved = map[int]*simPermit{}, map[int]*simUnresolved{}
	p.fencedAt, p.fenceSentAt = make([]time.Time, len(s.agents)), make([]time.Time, len(s.agents))
	p.tasks = make([][]Task, len(s.agents))
	for range s.agents {
		p.lastReportAt = append(p.lastReportAt, s.now)
		p.incarnations = append(p.incarnations, 0)
	}
	s.planners = append(s.planners, p)
	s.keepPlanners(simMaxPlanners)
}

// keepPlanners stops all planners but the n latest.
func (s *simulation) keepPlanners(n int) {
	for len(s.planners) > n {
		s.planners[0].dead = true
		s.planners = s.planners[1:]
	}
}

func (s *simulation) agentIndex(name string) int {
	return slices.IndexFunc(s.agents, func(a *simAgent) bool { return a.name == name })
}
