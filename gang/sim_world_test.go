package gang

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The world of the randomised runs: agents with targets, planners of several
// epochs, a store and a network, all of which fail, in virtual time.
const (
	simStep             = 500 * time.Millisecond
	simReportInterval   = 2 * time.Second
	simLivenessWindow   = 6 * time.Second
	simIsolationTimeout = 15 * time.Second
	simStartTimeout     = 10 * time.Second
	simMaxDelay         = 1500 * time.Millisecond // longest of a message, a start or a stop
	simSettleTime       = simLivenessWindow + simIsolationTimeout + 3*simMaxDelay
	simLossTimeout      = simSettleTime + 10*time.Second
	// simMaxPartial is how long part of a gang may run without the rest.
	simMaxPartial   = simSettleTime + simMaxDelay
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

type simulation struct {
	t             testing.TB
	seed          uint64
	rng           *rand.Rand
	now           time.Time
	queue         simQueue
	seq           int
	faultsEnabled bool
	permitChance  float64 // chance of a permit before a start
	jobs          []simJob
	agents        []*simAgent
	planners      []*simPlanner
	epoch         uint64
	store         simStore
	history       simHistory
	stats         simStats
}

type simStats struct{ starts, done, notStarted, lost, superseded, recovered, isolated, onPermit, adoptable, notFound, permitsReturned, toldNotRun, overlaps int }

func newSimulation(t testing.TB, seed uint64) *simulation {
	w := &simulation{
		t:       t,
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		history: newSimHistory(),
	}
	w.permitChance = 0.5 + w.rng.Float64()/2
	names := []string{"a", "b", "c", "d", "e"}
	for i := range simJobs {
		w.jobs = append(w.jobs, simJob{names[i], 1 + i%3, w.chance(0.5)})
		w.store.records = append(w.store.records, simRecord{})
	}
	for i := range simWorkers {
		a := &simAgent{sim: w, name: names[i]}
		w.agents = append(w.agents, a)
		a.restart()
	}
	return w
}

// run takes the world through chaos and then lets it come to rest.
func (w *simulation) run(chaos, rest time.Duration) {
	w.faultsEnabled = true
	w.addPlanner()
	for end := w.now.Add(chaos); w.now.Before(end); {
		w.injectFault()
		w.tick()
	}
	w.faultsEnabled = false
	w.endFaults()
	for end := w.now.Add(rest); w.now.Before(end); {
		w.tick()
	}
	w.checkNothingLeft()
}

func (w *simulation) tick() {
	w.now = w.now.Add(simStep)
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		heap.Pop(&w.queue).(simEvent).run()
	}
	for _, a := range w.agents {
		a.tick()
	}
	for _, p := range w.planners {
		p.tick()
	}
	w.checkPartial()
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

func (w *simulation) delay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(simMaxDelay)))
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{w.now.Add(d), w.seq, run})
}

// send delivers a message between a planner and an agent: late, out of order,
// twice or not at all.
func (w *simulation) send(p *simPlanner, a *simAgent, deliver func()) {
	copies := 1
	if w.faultsEnabled && w.chance(0.1) {
		copies = w.rng.IntN(3)
	}
	for range copies {
		w.after(w.delay(), func() {
			if !p.disconnected[a.name] {
				deliver()
			}
		})
	}
}

// injectFault lets something fail or recover.
func (w *simulation) injectFault() {
	switch w.rng.IntN(70) {
	case 0:
		w.anyAgent().crash()
	case 1:
		w.anyAgent().loseTasks()
	case 2, 3:
		w.store.down = !w.store.down
	case 4, 5:
		p := w.anyPlanner()
		p.paused = !p.paused
	case 6, 7:
		p := w.anyPlanner()
		p.storeUnreachable = !p.storeUnreachable
	case 8, 9, 10:
		a, p := w.anyAgent(), w.anyPlanner()
		p.disconnected[a.name] = !p.disconnected[a.name]
	case 11:
		w.addPlanner()
	case 19:
		if w.chance(0.15) {
			w.cancel(w.rng.IntN(len(w.jobs)))
		}
	case 20:
		if p := w.planners[0]; len(w.planners) > 1 && !p.paused {
			p.returnPermits()
			w.keepPlanners(len(w.planners) - 1)
		}
	case 12:
		w.keepPlanners(max(1, len(w.planners)-1))
	case 13, 14, 15, 16, 17, 18:
		p := w.anyPlanner()
		if len(p.runs) > 0 && !p.paused {
			p.step(p.runs[w.rng.IntN(len(p.runs))], Abort{Checkpoint: w.chance(0.5)})
		}
	}
}

func (w *simulation) anyAgent() *simAgent     { return w.agents[w.rng.IntN(len(w.agents))] }
func (w *simulation) anyPlanner() *simPlanner { return w.planners[w.rng.IntN(len(w.planners))] }

// endFaults ends all failures and leaves one planner, a fresh one.
func (w *simulation) endFaults() {
	w.store.down = false
	w.keepPlanners(0)
	w.addPlanner()
	for _, a := range w.agents {
		if a.member == nil {
			a.restart()
		}
	}
}

func (w *simulation) addPlanner() {
	if w.store.down {
		return
	}
	w.epoch++
	p := &simPlanner{sim: w, epoch: w.epoch, disconnected: map[string]bool{}, records: w.store.snapshot()}
	p.permits, p.unresolved = map[int]*simPermit{}, map[int]*simUnresolved{}
	p.fencedAt, p.fenceSentAt = make([]time.Time, len(w.agents)), make([]time.Time, len(w.agents))
	p.tasks = make([][]Task, len(w.agents))
	for range w.agents {
		p.heardAt = append(p.heardAt, w.now)
		p.incarnations = append(p.incarnations, 0)
	}
	w.planners = append(w.planners, p)
	w.keepPlanners(simMaxPlanners)
}

// keepPlanners ends the processes of all planners but the n latest.
func (w *simulation) keepPlanners(n int) {
	for len(w.planners) > n {
		w.planners[0].dead = true
		w.planners = w.planners[1:]
	}
}

func (w *simulation) agentIndex(name string) int {
	return slices.IndexFunc(w.agents, func(a *simAgent) bool { return a.name == name })
}
