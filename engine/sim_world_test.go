package engine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	simHold = 6 * time.Second
	simStep = 5 * time.Millisecond
)

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Duration
	do func()
}

// simWorld is callers, workers with their agents, a store and one planner after the
// other. It checks what must hold from what the workers see.
type simWorld struct {
	t         testing.TB
	rng       *rand.Rand
	now       time.Duration
	events    []simEvent
	calm      bool // no more faults
	calmSince time.Duration
	jobs      map[workload.JobID]*workload.Job
	order     []workload.JobID
	cancels   map[workload.JobID]bool
	workers   []*simWorker
	lives     int
	keepNames bool // a worker's next life has its name
	cordons   simCordons

	// The store.
	records map[workload.JobID][]byte
	ended   map[workload.JobID]JobOutcome // in the place of the job's other records
	known   map[WorkerID]WorkerInfo
	epoch   uint64

	engine  *Engine
	writing bool
	down    bool // the store takes no writes

	// What the workers have seen.
	ranToEnd map[workload.TaskID]bool // a run has ended as done, noted or not
	done     map[workload.TaskID]bool // such an end was taken note of
	attempt  map[workload.TaskID]int  // ends failed that were taken note of
	crashes  simCrashes
	late     bool                     // an order is carried out late
	shrinks  map[*simWorker]simShrink // workers that have less room than at first
	counts   map[string]int
}

func newSimWorld(t testing.TB, seed uint64) *simWorld {
	w := &simWorld{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		jobs:     map[workload.JobID]*workload.Job{},
		cancels:  map[workload.JobID]bool{},
		records:  map[workload.JobID][]byte{},
		ended:    map[workload.JobID]JobOutcome{},
		known:    map[WorkerID]WorkerInfo{},
		ranToEnd: map[workload.TaskID]bool{},
		done:     map[workload.TaskID]bool{},
		attempt:  map[workload.TaskID]int{},
		crashes:  simCrashes{under: map[workload.TaskID]int{}, after: map[workload.TaskID]int{}, failed: map[workload.TaskID]int{}},
		shrinks:  map[*simWorker]simShrink{},
		counts:   map[string]int{},
	}
	for i := range 9 {
		w.addWorker(i)
	}
	w.takeOver()
	return w
}

func (w *simWorld) addWorker(i int) {
	w.lives++
	info := WorkerInfo{
		ID:       WorkerID(fmt.Sprintf("w%d-%d", i, w.lives)),
		Agent:    fmt.Sprintf("agent%d", i),
		Service:  "s",
		Zone:     fmt.Sprintf("z%d", i/3),
		Rack:     fmt.Sprintf("r%d", i/3),
		Labels:   []string{"a", fmt.Sprintf("r%d", i/3)},
		Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
	}
	if w.keepNames {
		info.Name = nameOf(i)
	}
	sw := &simWorker{world: w, info: info, running: map[workload.TaskID]*simRun{}, highest: map[workload.TaskID]int{}}
	if i < len(w.workers) {
		sw.follow(w.workers[i])
		w.workers[i] = sw
	} else {
		w.workers = append(w.workers, sw)
	}
	w.reportLater(sw)
}

func (w *simWorld) after(d time.Duration, do func()) {
	w.events = append(w.events, simEvent{w.now + d, do})
}

func (w *simWorld) latency() time.Duration {
	return time.Duration(1+w.rng.IntN(5)) * time.Millisecond
}

// takeOver starts the next planner from the records.
func (w *simWorld) takeOver() {
	w.epoch++
	w.writing = false
	e := New(Params{
		MaxLease: simHold, StopTime: 900 * time.Millisecond, RemoteSlowdown: 3, RestoreTime: 500 * time.Millisecond, MaxReclaimWait: 3 * time.Second, Retention: time.Hour,
	}, w.epoch, w.now, 0)
	w.engine = e
	e.HandleEvent(w.now, CatalogChanged{Catalog: &catalog.Catalog{Accounts: map[string]catalog.Account{"big": {GuaranteedAccelerators: 32}}}})
	e.HandleEvent(w.now, CordonsChanged{w.cordonsOfSuccessor()})
	e.HandleEvent(w.now, Tick{WallTime: w.wall()})
	for _, id := range slices.Sorted(keysOf(w.known)) {
		e.HandleEvent(w.now, WorkerRestored{Info: w.known[id]})
	}
	for i, id := range w.order {
		if _, ended := w.ended[id]; ended {
			continue
		}
		ev := JobRestored{JobSubmitted: JobSubmitted{Job: *w.jobs[id], Revision: int64(i + 1)}, Cancelled: w.cancels[id]}
		if text, ok := w.records[id]; ok {
			ev.Progress = &JobProgress{}
			if err := json.Unmarshal(text, ev.Progress); err != nil {
				w.t.Fatal(err)
			}
		}
		e.HandleEvent(w.now, ev)
	}
	w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.restoreEnded(e) })
	w.counts["terms"]++
}

// restoreEnded gives a planner the outcomes of its predecessors, while it plans.
func (w *simWorld) restoreEnded(e *Engine) {
	if e != w.engine {
		return
	}
	for _, id := range w.order {
		if outcome, ended := w.ended[id]; ended {
			e.HandleEvent(w.now, EndedJobRestored{ID: id, Outcome: outcome, OutcomeRevision: 1})
		}
	}
}

func keysOf(m map[WorkerID]WorkerInfo) func(func(WorkerID) bool) {
	return func(yield func(WorkerID) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (w *simWorld) wall() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

// run lets the world pass until end.
func (w *simWorld) run(end time.Duration) {
	for ; w.now < end && !w.t.Failed(); w.now += simStep {
		w.due()
		for _, worker := range w.workers {
			if !worker.dead {
				worker.pass(w.now)
			}
		}
		if w.now%(50*time.Millisecond) == 0 {
			w.engine.HandleEvent(w.now, Tick{WallTime: w.wall()})
		}
		w.act()
	}
}

func (w *simWorld) due() {
	for {
		i := slices.IndexFunc(w.events, func(e simEvent) bool { return e.at <= w.now })
		if i < 0 {
			return
		}
		do := w.events[i].do
		w.events = slices.Delete(w.events, i, i+1)
		do()
	}
}

// act carries out the planner's decisions and writes its changes.
func (w *simWorld) act() {
	e := w.engine
	for _, action := range e.Decide(w.now) {
		if d, ok := action.(Decision); ok && d.Kind == "carried over" {
			w.counts[d.Kind]++
		}
		if d, ok := action.(Decision); ok && *simJob != "" && string(d.Job) == *simJob {
			w.t.Logf("%v epoch %d: %s %s %v %s", w.now, e.epoch, d.Kind, d.Detail, d.Run, d.Worker)
		}
		if o, ok := action.(Orders); ok {
			w.after(w.transit(), func() { w.deliver(e, e.epoch, o) })
		}
	}
	if w.writing || w.down {
		return
	}
	change := e.PendingChanges(w.now, w.wall(), 1+w.rng.IntN(15))
	if change.Empty() {
		return
	}
	w.writing = true
	encoded := make([][]byte, len(change.Jobs))
	for i, j := range change.Jobs {
		text, err := json.Marshal(j.Progress)
		if err != nil {
			w.t.Fatal(err)
		}
		encoded[i] = text
	}
	w.after(w.latency(), func() { w.write(e, change, encoded) })
}

// write takes effect only while its planner is the newest.
func (w *simWorld) write(e *Engine, change Write, encoded [][]byte) {
	if e != w.engine {
		return
	}
	for i, j := range change.Jobs {
		w.records[j.ID] = encoded[i]
	}
	for _, info := range change.Workers {
		w.known[info.ID] = info
	}
	for _, id := range change.RemovedWorkers {
		delete(w.known, id)
	}
	for _, ended := range change.EndedJobs {
		w.replaced(ended)
		w.ended[ended.ID] = ended.Outcome
		delete(w.records, ended.ID)
	}
	w.after(w.latency(), func() {
		if e == w.engine {
			w.writing = false
			e.HandleEvent(w.now, WriteApplied{Write: change})
		}
	})
}

// deliver carries orders out at the worker. Some get no answer and are carried out late.
func (w *simWorld) deliver(e *Engine, epoch uint64, o Orders) {
	sw := w.meant(o.Worker)
	if sw == nil || sw.cut || epoch < sw.orders.Epoch {
		w.answer(e, o, StartNotDelivered)
		return
	}
	if len(o.Starts) > 0 && w.refusesCordoned(sw, o) {
		w.answer(e, o, StartCordoned)
		o.Starts = nil
	}
	sw.raise(Fence{Epoch: epoch})
	fence := sw.orders
	if !w.calm && w.rng.IntN(25) == 0 {
		w.counts["late orders"]++
		until := sw.granted
		w.after(time.Duration(2+w.rng.IntN(10))*time.Second, func() {
			w.late = true
			w.carryOut(sw, fence, o, until)
			w.late = false
		})
		w.answer(e, o, StartUnknown)
		return
	}
	results := w.carryOut(sw, fence, o, sw.granted)
	w.after(w.latency(), func() {
		if e == w.engine {
			e.HandleEvent(w.now, OrdersCompleted{Worker: o.Worker, Starts: results})
		}
	})
}

func (w *simWorld) carryOut(sw *simWorker, fence Fence, o Orders, until time.Duration) []StartResult {
	if sw.dead && sw.next != nil {
		sw, until = sw.last(), w.now+simHold // by the clock of the life that was meant
		if w.unpreventable(sw, o) {
			w.counts["too early to be refused"]++
			return nil
		}
		w.counts["orders to the next life"]++
	}
	if sw.dead {
		return nil
	}
	var results []StartResult
	for _, s := range o.Starts {
		results = append(results, StartResult{Run: s.Run, Outcome: sw.start(w.now, fence, s, until)})
	}
	for _, run := range o.Stops {
		sw.stop(w.now, fence, run)
	}
	return results
}

func (w *simWorld) answer(e *Engine, o Orders, outcome StartOutcome) {
	var results []StartResult
	for _, s := range o.Starts {
		results = append(results, StartResult{Run: s.Run, Outcome: outcome})
	}
	if e == w.engine {
		e.HandleEvent(w.now, OrdersCompleted{Worker: o.Worker, Starts: results})
	}
}

// reportLater lets an agent report again and again.
func (w *simWorld) reportLater(sw *simWorker) {
	w.after(time.Duration(20+w.rng.IntN(80))*time.Millisecond, func() {
		if sw.dead {
			return
		}
		w.reportLater(sw)
		if sw.cut {
			sw.look(w.now)
			return
		}
		e, sent := w.engine, w.now
		sw.noticed = true
		r := sw.report(w.now)
		w.after(w.latency(), func() {
			if e != w.engine || sw.cut {
				return
			}
			v := e.Report(w.now, r)
			told := w.cordons.told
			w.after(w.latency(), func() {
				if !sw.cut {
					sw.answered(w.now, sent, e.epoch, v)
					sw.hearCordons(told)
				}
			})
		})
	})
}

func sortRuns(runs []*simRun) {
	slices.SortFunc(runs, func(a, b *simRun) int {
		return cmp.Or(
			cmp.Compare(a.id.Task.Job, b.id.Task.Job),
			cmp.Compare(a.id.Task.Step, b.id.Task.Step),
			cmp.Compare(a.id.Task.Index, b.id.Task.Index),
		)
	})
}
