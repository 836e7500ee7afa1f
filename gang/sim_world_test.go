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
	simStep        = 500 * time.Millisecond
	simReport      = 2 * time.Second
	simWindow      = 6 * time.Second
	simIsolation   = 15 * time.Second
	simStartWithin = 10 * time.Second
	simDelay       = 1500 * time.Millisecond // longest of a message, a start or a stop
	simSettle      = simWindow + simIsolation + 3*simDelay
	simLoss        = simSettle + 10*time.Second
	// simPartial is how long part of a gang may run without the rest.
	simPartial  = simSettle + simDelay
	simWorkers  = 4
	simGPUs     = 2
	simJobs     = 5
	simPlanners = 3
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

type world struct {
	t        testing.TB
	seed     uint64
	rng      *rand.Rand
	now      time.Time
	queue    simQueue
	seq      int
	chaos    bool
	eager    float64 // chance of a permit before a start
	jobs     []simJob
	agents   []*simAgent
	planners []*simPlanner
	epoch    uint64
	store    simStore
	truth    simTruth
	stats    simStats
}

type simStats struct{ starts, done, notStarted, lost, superseded, adopted, isolated, onPermit, found, vanished, returned, told, overlaps int }

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t:     t,
		seed:  seed,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		now:   time.Unix(1000, 0),
		truth: newSimTruth(),
	}
	w.eager = 0.5 + w.rng.Float64()/2
	names := []string{"a", "b", "c", "d", "e"}
	for i := range simJobs {
		w.jobs = append(w.jobs, simJob{names[i], 1 + i%3, w.chance(0.5)})
		w.store.records = append(w.store.records, simRecord{})
	}
	for i := range simWorkers {
		a := &simAgent{w: w, name: names[i]}
		w.agents = append(w.agents, a)
		a.restart()
	}
	return w
}

// run takes the world through chaos and then lets it come to rest.
func (w *world) run(chaos, rest time.Duration) {
	w.chaos = true
	w.addPlanner()
	for end := w.now.Add(chaos); w.now.Before(end); {
		w.disturb()
		w.tick()
	}
	w.chaos = false
	w.heal()
	for end := w.now.Add(rest); w.now.Before(end); {
		w.tick()
	}
	w.checkRest()
}

func (w *world) tick() {
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

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) delay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(simDelay)))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{w.now.Add(d), w.seq, run})
}

// send delivers a message between a planner and an agent: late, out of order,
// twice or not at all.
func (w *world) send(p *simPlanner, a *simAgent, deliver func()) {
	copies := 1
	if w.chaos && w.chance(0.1) {
		copies = w.rng.IntN(3)
	}
	for range copies {
		w.after(w.delay(), func() {
			if !p.cut[a.name] {
				deliver()
			}
		})
	}
}

// disturb lets something fail or recover.
func (w *world) disturb() {
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
		p.noStore = !p.noStore
	case 8, 9, 10:
		a, p := w.anyAgent(), w.anyPlanner()
		p.cut[a.name] = !p.cut[a.name]
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

func (w *world) anyAgent() *simAgent     { return w.agents[w.rng.IntN(len(w.agents))] }
func (w *world) anyPlanner() *simPlanner { return w.planners[w.rng.IntN(len(w.planners))] }

// heal ends all failures and leaves one planner, a fresh one.
func (w *world) heal() {
	w.store.down = false
	w.keepPlanners(0)
	w.addPlanner()
	for _, a := range w.agents {
		if a.member == nil {
			a.restart()
		}
	}
}

func (w *world) addPlanner() {
	if w.store.down {
		return
	}
	w.epoch++
	p := &simPlanner{w: w, epoch: w.epoch, cut: map[string]bool{}, view: w.store.snapshot()}
	p.permits, p.held = map[int]*simPermit{}, map[int]*simHeld{}
	p.fenced, p.asked = make([]time.Time, len(w.agents)), make([]time.Time, len(w.agents))
	p.tasks = make([][]Task, len(w.agents))
	for range w.agents {
		p.heard = append(p.heard, w.now)
		p.known = append(p.known, 0)
	}
	w.planners = append(w.planners, p)
	w.keepPlanners(simPlanners)
}

// keepPlanners ends the processes of all planners but the n latest.
func (w *world) keepPlanners(n int) {
	for len(w.planners) > n {
		w.planners[0].dead = true
		w.planners = w.planners[1:]
	}
}

func (w *world) agentIndex(name string) int {
	return slices.IndexFunc(w.agents, func(a *simAgent) bool { return a.name == name })
}
