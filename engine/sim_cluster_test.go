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
	simMaxLease = 6 * time.Second
	simStep     = 5 * time.Millisecond
	// simListedEnds is how many ends the platform's workers list at a time.
	simListedEnds = 500
)

// simEvent is a scheduled event.
type simEvent struct {
	at time.Duration
	do func()
}

// simCluster simulates callers, workers with their agents, a store, and successive planners. It
// checks the engine's guarantees on the workers, which know what actually runs.
type simCluster struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Duration
	events        []simEvent
	faultsEnded   bool
	faultsEndedAt time.Duration
	jobs          map[workload.JobID]*workload.Job
	order         []workload.JobID
	cancels       map[workload.JobID]bool
	workers       []*simWorker
	incarnations  int
	reusesNames   bool // later incarnations of a worker keep its name
	listedEnds    int  // how many ends a worker lists at a time
	cordons       simCordons
	agents        []*simAgent // by worker, in worlds with delayed messages
	delays        *simDelays  // nil in other worlds
	series        *simSeries  // in worlds with takeovers in series; nil in others
	advice        *simAdvice  // in worlds whose jobs need advice; nil in others

	// State of the store.
	records       map[workload.JobID][]byte
	outcomes      map[workload.JobID]JobOutcome // replace the other records of ended jobs
	workerRecords map[WorkerID]WorkerInfo
	epoch         uint64

	engine    *Engine
	writing   bool
	storeDown bool // the store rejects writes

	// Events observed on the workers.
	ranToEnd           map[workload.TaskID]bool // a run has ended as done, acknowledged or not
	doneRuns           map[workload.RunID]bool  // runs that have ended as done
	ackedDone          map[workload.TaskID]bool // such an end was acknowledged
	ackedFailures      map[workload.TaskID]int  // acknowledged ends as failed
	crashes            simCrashes
	executingLateOrder bool                     // set while an order is carried out late
	shrinks            map[*simWorker]simShrink // workers with reduced capacity
	counts             map[string]int
	endedRuns          map[workload.RunID]string // why the planner took runs for ended
}

func newSimCluster(t testing.TB, seed uint64) *simCluster {
	w := &simCluster{
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 7)),
		listedEnds:    simListedEnds,
		jobs:          map[workload.JobID]*workload.Job{},
		cancels:       map[workload.JobID]bool{},
		records:       map[workload.JobID][]byte{},
		outcomes:      map[workload.JobID]JobOutcome{},
		workerRecords: map[WorkerID]WorkerInfo{},
		ranToEnd:      map[workload.TaskID]bool{},
		doneRuns:      map[workload.RunID]bool{},
		ackedDone:     map[workload.TaskID]bool{},
		ackedFailures: map[workload.TaskID]int{},
		crashes:       simCrashes{workersCrashed: map[workload.TaskID]int{}, startsAfterThird: map[workload.TaskID]int{}, failedEnds: map[workload.TaskID]int{}},
		shrinks:       map[*simWorker]simShrink{},
		counts:        map[string]int{},
		endedRuns:     map[workload.RunID]string{},
	}
	for i := range 9 {
		w.addWorker(i)
	}
	w.takeOver()
	return w
}

func (w *simCluster) addWorker(i int) {
	w.incarnations++
	info := WorkerInfo{
		ID:       WorkerID(fmt.Sprintf("w%d-%d", i, w.incarnations)),
		Agent:    fmt.Sprintf("agent%d", i),
		Service:  "s",
		Zone:     fmt.Sprintf("z%d", i/3),
		Rack:     fmt.Sprintf("r%d", i/3),
		Labels:   []string{"a", fmt.Sprintf("r%d", i/3)},
		Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
	}
	if w.reusesNames {
		info.Name = simWorkerName(i)
	}
	sw := &simWorker{cluster: w, info: info, bornAt: w.now, running: map[workload.TaskID]*simRun{}, highestRun: map[workload.TaskID]int{}}
	if i < len(w.workers) {
		sw.succeed(w.workers[i])
		w.workers[i] = sw
	} else {
		w.workers = append(w.workers, sw)
	}
	w.reportLater(sw)
	if w.delays != nil {
		w.announceLater(sw, i)
	}
}

func (w *simCluster) after(d time.Duration, do func()) {
	w.events = append(w.events, simEvent{w.now + d, do})
}

func (w *simCluster) latency() time.Duration {
	return time.Duration(1+w.rng.IntN(5)) * time.Millisecond
}

// takeOver starts the next planner from the stored records.
func (w *simCluster) takeOver() {
	extra := w.endTerm()
	w.epoch++
	w.writing = false
	e := New(Params{
		MaxLease: simMaxLease, StopTime: 900 * time.Millisecond, RemoteSlowdown: 3, RestoreTime: 500 * time.Millisecond, MaxReclaimWait: 3 * time.Second, Retention: time.Hour,
	}, w.epoch, w.now, extra)
	w.engine = e
	e.Step(w.now, CatalogChanged{Catalog: &catalog.Catalog{Accounts: map[string]catalog.Account{"big": {GuaranteedAccelerators: 32}}}})
	e.Step(w.now, CordonsChanged{w.successorCordons()})
	e.Step(w.now, Tick{WallTime: w.wall()})
	for _, id := range slices.Sorted(keysOf(w.workerRecords)) {
		e.Step(w.now, WorkerRestored{Info: w.workerRecords[id]})
	}
	for i, id := range w.order {
		if _, ended := w.outcomes[id]; ended {
			continue
		}
		ev := JobRestored{JobSubmitted: JobSubmitted{Job: *w.jobs[id], Revision: int64(i + 1)}, Cancelled: w.cancels[id]}
		if text, ok := w.records[id]; ok {
			ev.Progress = &JobProgress{}
			if err := json.Unmarshal(text, ev.Progress); err != nil {
				w.t.Fatal(err)
			}
		}
		e.Step(w.now, ev)
	}
	w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.restoreEnded(e) })
	w.counts["planner terms"]++
}

// restoreEnded passes the stored outcomes to a planner that has started planning.
func (w *simCluster) restoreEnded(e *Engine) {
	if e != w.engine {
		return
	}
	for _, id := range w.order {
		if outcome, ended := w.outcomes[id]; ended {
			e.Step(w.now, EndedJobRestored{ID: id, Outcome: outcome, OutcomeRevision: 1})
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

func (w *simCluster) wall() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

// run simulates until end.
func (w *simCluster) run(end time.Duration) {
	for ; w.now < end && !w.t.Failed(); w.now += simStep {
		w.runDueEvents()
		for _, worker := range w.workers {
			if !worker.dead {
				worker.advance(w.now)
			}
		}
		if w.plannerPaused() || !w.series.step(w) {
			continue
		}
		if w.now%(50*time.Millisecond) == 0 {
			w.engine.Step(w.now, Tick{WallTime: w.wall()})
		}
		w.executeDecisions()
		w.series.checkWaits(w)
	}
}

func (w *simCluster) runDueEvents() {
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

// executeDecisions delivers the planner's orders and writes its changes.
func (w *simCluster) executeDecisions() {
	e := w.engine
	actions := e.Decide(w.now)
	w.noteEndedRuns(actions, "")
	for _, action := range actions {
		if d, ok := action.(Decision); ok && d.Kind == "carried over" {
			w.counts[d.Kind]++
		}
		if d, ok := action.(Decision); ok && *simTracedJob != "" && string(d.Job) == *simTracedJob {
			w.t.Logf("%v epoch %d: %s %s %v %s", w.now, e.epoch, d.Kind, d.Detail, d.Run, d.Worker)
		}
		if r, ok := action.(AdviceRequest); ok {
			w.requestAdvice(e, r)
		}
		if o, ok := action.(Orders); ok {
			w.after(w.orderLatency(), func() { w.deliver(e, e.epoch, o) })
		}
	}
	if w.writing || w.storeDown {
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

// write stores changes if their planner is still current.
func (w *simCluster) write(e *Engine, change Write, encoded [][]byte) {
	if e != w.engine {
		return
	}
	w.checkWrittenJobs(change)
	for i, j := range change.Jobs {
		w.records[j.ID] = encoded[i]
	}
	for _, info := range change.Workers {
		w.workerRecords[info.ID] = info
		w.trace(info.ID, "record with lease %+v by epoch %d", info.Lease, e.epoch)
	}
	for _, id := range change.RemovedWorkers {
		delete(w.workerRecords, id)
	}
	for _, ended := range change.EndedJobs {
		w.checkArchived(ended)
		w.outcomes[ended.ID] = ended.Outcome
		delete(w.records, ended.ID)
	}
	w.after(w.latency(), func() {
		if e == w.engine {
			w.writing = false
		}
		if w.acts(e) {
			e.Step(w.now, WriteApplied{Write: change})
		}
	})
}

// deliver delivers orders to a worker. Some are not answered and are carried out late.
func (w *simCluster) deliver(e *Engine, epoch uint64, o Orders) {
	if w.delays != nil {
		w.deliverByAgent(e, o)
		return
	}
	sw := w.recipient(o.Worker)
	if sw == nil || sw.disconnected || epoch < sw.orderFence.Epoch || !w.reaches(e, sw) {
		w.answerOrders(e, o, StartNotDelivered)
		return
	}
	if len(o.Starts) > 0 && w.refusesForCordon(sw, o) {
		w.answerOrders(e, o, StartCordoned)
		o.Starts = nil
	}
	sw.raiseFence(Fence{Epoch: epoch})
	fence := sw.orderFence
	if !w.faultsEnded && w.rng.IntN(25) == 0 {
		w.counts["late orders"]++
		until := sw.grantedUntil
		w.after(time.Duration(2+w.rng.IntN(10))*time.Second, func() {
			w.executingLateOrder = true
			w.executeOrders(sw, fence, o, until)
			w.executingLateOrder = false
		})
		w.answerOrders(e, o, StartUnknown)
		return
	}
	results := w.executeOrders(sw, fence, o, sw.grantedUntil)
	w.after(w.latency(), func() {
		if w.acts(e) {
			e.Step(w.now, OrdersCompleted{Worker: o.Worker, Starts: results})
		}
	})
}

func (w *simCluster) executeOrders(sw *simWorker, fence Fence, o Orders, until time.Duration) []StartResult {
	if sw.dead && sw.next != nil {
		sw, until = sw.latest(), w.now+simMaxLease // by the clock of the incarnation that was meant
		w.counts["orders to the next incarnation"]++
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

func (w *simCluster) answerOrders(e *Engine, o Orders, outcome StartOutcome) {
	var results []StartResult
	for _, s := range o.Starts {
		results = append(results, StartResult{Run: s.Run, Outcome: outcome})
	}
	if w.acts(e) {
		e.Step(w.now, OrdersCompleted{Worker: o.Worker, Starts: results})
	}
}

// reportLater schedules the agent's periodic reports.
func (w *simCluster) reportLater(sw *simWorker) {
	w.after(time.Duration(20+w.rng.IntN(80))*time.Millisecond, func() {
		if sw.dead || w.delays != nil {
			return
		}
		w.reportLater(sw)
		if sw.disconnected {
			sw.pollWhileDisconnected(w.now)
			return
		}
		e, sent := w.plannerOf(sw), w.now
		sw.reported = true
		r := sw.report(w.now)
		w.after(w.latency(), func() {
			if !w.acts(e) || sw.disconnected {
				return
			}
			answer := e.Report(w.now, r)
			w.series.noteGrant(w, sw, e, answer)
			cordons := w.cordons.known
			w.after(w.latency(), func() {
				if !sw.disconnected {
					sw.handleAnswer(w.now, sent, e.epoch, answer)
					sw.updateCordons(cordons)
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
