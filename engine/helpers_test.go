package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// driver drives one Engine and simulates its workers and store.
type driver struct {
	t      *testing.T
	e      *Engine
	now    time.Duration
	jobs   int
	starts []StartOrder
	stops  []workload.RunID
	paces  []PaceOrder
	// dropPaceReplies leaves pace orders unanswered.
	dropPaceReplies bool
	// startOutcome overrides the outcome of starts if it is set.
	startOutcome func(StartOrder) StartOutcome
	// callUnanswered makes all results of starts tell of a call without an answer.
	callUnanswered bool
	// decisionCounts counts the decisions on each job by kind.
	decisionCounts map[workload.JobID]map[string]int
	startedOn      map[workload.RunID]WorkerID     // the worker of each start
	grants         map[workload.RunID]ReportOrigin // of the orders of each start
	endCounts      map[WorkerID]int64
	origins        map[string]*ReportOrigin // of the last report built by each agent
	processes      uint64                   // of agents so far
	// discarded and late are the corresponding actions so far.
	discarded []WorkDiscarded
	late      []JobLate
	// observe is called with each action if it is set.
	observe func(Action)
}

func newDriver(t *testing.T, workers int) *driver {
	d := &driver{t: t, now: time.Second, decisionCounts: map[workload.JobID]map[string]int{}, startedOn: map[workload.RunID]WorkerID{}, grants: map[workload.RunID]ReportOrigin{}, endCounts: map[WorkerID]int64{}, origins: map[string]*ReportOrigin{}}
	d.e = New(Params{
		MaxLease: 6 * time.Second, StopTime: 900 * time.Millisecond, RemoteSlowdown: 3,
		RestoreTime: 500 * time.Millisecond, MaxReclaimWait: 3 * time.Second, MaxLatencyViolation: 4 * time.Second, Retention: time.Minute,
	}, 1, d.now, 0)
	d.handle(CatalogChanged{Catalog: &catalog.Catalog{Accounts: map[string]catalog.Account{"big": {GuaranteedAccelerators: 16}}}})
	for i := range workers {
		d.report(d.workerReport(i))
	}
	d.settle()
	return d
}

// workerReport returns the first report of a worker with 32 cores and 8 accelerators. There are
// three workers in a rack.
func (d *driver) workerReport(i int) Report {
	return Report{Epoch: 1, Polled: true, Worker: WorkerInfo{
		ID: WorkerID(fmt.Sprint("w", i)), Agent: fmt.Sprint("agent", i), Service: "s",
		Rack: fmt.Sprint("r", i/3), Labels: []string{"a", fmt.Sprint("r", i/3)},
		Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
	}}
}

// report delivers a report, which is numbered now unless it was before.
func (d *driver) report(r Report) ReportAnswer {
	if r.Origin == (ReportOrigin{}) {
		r = d.number(r)
	}
	return d.e.Report(d.now, r)
}

// number returns r with the next number of its agent's process.
func (d *driver) number(r Report) Report {
	agent := r.Worker.Agent
	if d.origins[agent] == nil {
		d.restartAgent(agent)
	}
	d.origins[agent].Sequence++
	d.origins[agent].Epoch = d.e.epoch // the agent has had an answer
	r.Origin = *d.origins[agent]
	return r
}

// restartAgent makes the next reports of an agent those of a new process.
func (d *driver) restartAgent(agent string) {
	d.processes++
	d.origins[agent] = &ReportOrigin{Process: d.processes}
}

// lateReportOfPrevious reports an incarnation that precedes that of workerReport(0), and returns its
// next report without delivering it.
func (d *driver) lateReportOfPrevious() Report {
	previous := d.workerReport(0)
	previous.Worker.ID = "w0-previous"
	d.report(previous)
	return d.number(previous)
}

func (d *driver) handle(ev Event) { d.e.Step(d.now, ev) }

// settle applies all writes and orders, answering starts with StartOK, until there are no more. It
// fails the test if the engine does not settle.
func (d *driver) settle() {
	for range 20 {
		if !d.decideAndStore(StartOK) {
			return
		}
	}
	d.t.Fatal("the engine did not settle within 20 rounds")
}

// decideAndStore applies the actions of one Decide and one write, answers starts with outcome, and
// reports whether there were orders or writes.
func (d *driver) decideAndStore(outcome StartOutcome) bool {
	busy := false
	for _, a := range d.e.Decide(d.now) {
		if decision, ok := a.(Decision); ok {
			if d.decisionCounts[decision.Job] == nil {
				d.decisionCounts[decision.Job] = map[string]int{}
			}
			d.decisionCounts[decision.Job][decision.Kind]++
		}
		if d.observe != nil {
			d.observe(a)
		}
		switch a := a.(type) {
		case WorkDiscarded:
			d.discarded = append(d.discarded, a)
		case JobLate:
			d.late = append(d.late, a)
		}
		o, ok := a.(Orders)
		if !ok {
			continue
		}
		busy = true
		completed := OrdersCompleted{Worker: o.Worker}
		for _, s := range o.Starts {
			d.starts = append(d.starts, s)
			d.startedOn[s.Run], d.grants[s.Run] = o.Worker, o.Grant
			result := outcome
			if d.startOutcome != nil {
				result = d.startOutcome(s)
			}
			completed.Starts = append(completed.Starts, StartResult{Run: s.Run, Outcome: result, CallUnanswered: d.callUnanswered})
		}
		d.stops = append(d.stops, o.Stops...)
		for _, p := range o.Paces {
			d.paces = append(d.paces, p)
			completed.Paces = append(completed.Paces, PaceResult{PaceOrder: p, Applied: !d.dropPaceReplies})
		}
		d.handle(completed)
	}
	if w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15); !w.Empty() {
		busy = true
		d.handle(WriteApplied{Write: w})
	}
	return busy
}

// submit submits a job of the given steps.
func (d *driver) submit(priority int, account string, steps ...workload.Step) workload.JobID {
	d.jobs++
	id := workload.JobID(fmt.Sprintf("job%d", d.jobs))
	d.handle(JobSubmitted{Revision: int64(d.jobs), Job: workload.Job{
		ID: id, Queue: fmt.Sprint("q", priority), Account: account, Service: "s", Steps: steps,
		QueuePolicy: workload.QueuePolicy{Priority: priority, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Second},
	}})
	return id
}

// runs returns the runs that hold capacity for a job, by worker.
func (d *driver) runs(id workload.JobID) map[WorkerID][]workload.RunID {
	out := map[WorkerID][]workload.RunID{}
	for _, w := range d.e.sortedWorkers() {
		for _, p := range w.sortedPlacements() {
			if p.unit.job.spec.ID == id {
				out[w.info.ID] = append(out[w.info.ID], p.runID())
			}
		}
	}
	return out
}

// endRuns reports the end of all runs of a job.
func (d *driver) endRuns(id workload.JobID, reason EndReason) {
	for worker, runs := range d.runs(id) {
		w := d.e.workers[worker]
		r := Report{Epoch: 1, Polled: true, Worker: w.info}
		for _, run := range runs {
			d.endCounts[worker]++
			r.Ended = append(r.Ended, RunEnd{Sequence: d.endCounts[worker], Run: run, Reason: reason})
		}
		d.report(r)
	}
}

// advance advances the time in steps of 100 ms; each worker reports progress in each step.
func (d *driver) advance(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += 100 * time.Millisecond {
		for _, w := range d.e.sortedWorkers() {
			d.reportProgress(w.info.ID)
		}
		d.tick()
	}
}

// reportProgress reports all runs of a worker with some progress.
func (d *driver) reportProgress(id WorkerID) {
	d.reportRuns(id, func(p *placement) RunStatus {
		return RunStatus{Percent: p.rate.lastPercent + 1, Checkpoint: p.checkpoint}
	})
}

// reportRuns reports all runs of a worker with the status that statusOf returns.
func (d *driver) reportRuns(id WorkerID, statusOf func(p *placement) RunStatus) {
	w := d.e.workers[id]
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlacements() {
		status := statusOf(p)
		status.Run = p.runID()
		r.Running = append(r.Running, status)
	}
	d.report(r)
}

// tick sends a Tick and settles.
func (d *driver) tick() {
	d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	d.settle()
}

func gangStep(n, accelerators int) workload.Step {
	return workload.Step{
		Count: n, Gang: true, SameRack: true, Estimate: 4 * time.Second,
		Need: workload.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: accelerators},
	}
}

func taskStep(n, accelerators int) workload.Step {
	s := gangStep(n, accelerators)
	s.Gang, s.SameRack = false, false
	return s
}

// takeOver replaces the engine by that of the next planner, restored from the stored records.
func (d *driver) takeOver() { d.takeOverAssuming(0) }

// takeOverAssuming is takeOver by a planner whose predecessors may have granted leases for some time longer.
func (d *driver) takeOverAssuming(inheritedLeaseExtra time.Duration) {
	old := d.e
	d.e = New(old.params, old.epoch+1, d.now, inheritedLeaseExtra)
	d.handle(CatalogChanged{Catalog: old.catalog})
	for _, w := range old.sortedWorkers() {
		d.handle(WorkerRestored{Info: w.record()})
	}
	for _, j := range old.orderedJobs {
		d.handle(JobRestored{
			JobSubmitted: JobSubmitted{Job: j.spec, Revision: j.revision},
			Progress:     j.progress(old.epoch, d.now, time.Unix(1000, 0)),
		})
	}
}
