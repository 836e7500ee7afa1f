package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// desk drives one Engine by hand.
type desk struct {
	t      *testing.T
	e      *Engine
	now    time.Duration
	jobs   int
	starts []StartOrder
	stops  []workload.RunID
	paces  []PaceOrder
	// losePaces: orders of speeds get no answer.
	losePaces bool
	// answer is what becomes of a start; nil: as the turn says.
	answer func(StartOrder) StartOutcome
	// said counts what was decided of each job.
	said map[workload.JobID]map[string]int
	on   map[workload.RunID]WorkerID // where each start went
	ends map[WorkerID]int64
	// discarded and late are what the engine accounted for.
	discarded []WorkDiscarded
	late      []JobLate
}

func newDesk(t *testing.T, workers int) *desk {
	d := &desk{t: t, now: time.Second, said: map[workload.JobID]map[string]int{}, on: map[workload.RunID]WorkerID{}, ends: map[WorkerID]int64{}}
	d.e = New(Params{
		MaxLease: 6 * time.Second, StopTime: 900 * time.Millisecond, RemoteSlowdown: 3,
		RestoreTime: 500 * time.Millisecond, MaxReclaimWait: 3 * time.Second, MaxLatencyViolation: 4 * time.Second, Retention: time.Minute,
	}, 1, d.now, 0)
	d.step(CatalogChanged{Catalog: &catalog.Catalog{Accounts: map[string]catalog.Account{"big": {GuaranteedAccelerators: 16}}}})
	for i := range workers {
		d.report(d.worker(i))
	}
	d.settle()
	return d
}

// worker returns a worker of 32 cores and 8 accelerators, three to a rack.
func (d *desk) worker(i int) Report {
	return Report{Epoch: 1, Polled: true, Worker: WorkerInfo{
		ID: WorkerID(fmt.Sprint("w", i)), Agent: fmt.Sprint("agent", i), Service: "s",
		Rack: fmt.Sprint("r", i/3), Labels: []string{"a", fmt.Sprint("r", i/3)},
		Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
	}}
}

func (d *desk) report(r Report) ReportAnswer { return d.e.Report(d.now, r) }

func (d *desk) step(ev Event) { d.e.HandleEvent(d.now, ev) }

// settle writes all changes, answers all starts with ok and collects orders, until
// nothing more happens.
func (d *desk) settle() {
	for range 20 {
		if !d.turn(StartOK) {
			return
		}
	}
	d.t.Fatal("the engine does not come to rest")
}

// turn makes one round of decisions and one write, and answers starts with outcome.
func (d *desk) turn(outcome StartOutcome) bool {
	busy := false
	for _, a := range d.e.Decide(d.now) {
		if said, ok := a.(Decision); ok {
			if d.said[said.Job] == nil {
				d.said[said.Job] = map[string]int{}
			}
			d.said[said.Job][said.Kind]++
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
		ended := OrdersCompleted{Worker: o.Worker}
		for _, s := range o.Starts {
			d.starts = append(d.starts, s)
			d.on[s.Run] = o.Worker
			became := outcome
			if d.answer != nil {
				became = d.answer(s)
			}
			ended.Starts = append(ended.Starts, StartResult{Run: s.Run, Outcome: became})
		}
		d.stops = append(d.stops, o.Stops...)
		for _, p := range o.Paces {
			d.paces = append(d.paces, p)
			ended.Paces = append(ended.Paces, PaceResult{PaceOrder: p, Applied: !d.losePaces})
		}
		d.step(ended)
	}
	if w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15); !w.Empty() {
		busy = true
		d.step(WriteApplied{Write: w})
	}
	return busy
}

// job hands in a job of the given steps.
func (d *desk) job(priority int, account string, steps ...workload.Step) workload.JobID {
	d.jobs++
	id := workload.JobID(fmt.Sprintf("job%d", d.jobs))
	d.step(JobSubmitted{Revision: int64(d.jobs), Job: workload.Job{
		ID: id, Queue: fmt.Sprint("q", priority), Account: account, Service: "s", Steps: steps,
		QueuePolicy: workload.QueuePolicy{Priority: priority, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Second},
	}})
	return id
}

// runs returns the last runs ordered of a job that have not been stopped, by worker.
func (d *desk) runs(id workload.JobID) map[WorkerID][]workload.RunID {
	out := map[WorkerID][]workload.RunID{}
	for _, w := range d.e.sortedWorkers() {
		for _, p := range w.sortedPlaces() {
			if p.unit.job.spec.ID == id {
				out[w.info.ID] = append(out[w.info.ID], p.id())
			}
		}
	}
	return out
}

// end lets workers list the end of all runs of a job.
func (d *desk) end(id workload.JobID, why EndReason) {
	for worker, runs := range d.runs(id) {
		w := d.e.workers[worker]
		r := Report{Epoch: 1, Polled: true, Worker: w.info}
		for _, run := range runs {
			d.ends[worker]++
			r.Ended = append(r.Ended, RunEnd{Sequence: d.ends[worker], Run: run, Reason: why})
		}
		d.report(r)
	}
}

// pass lets time pass while all workers report what the engine expects of them.
func (d *desk) pass(by time.Duration) {
	for end := d.now + by; d.now < end; d.now += 100 * time.Millisecond {
		for _, w := range d.e.sortedWorkers() {
			d.beat(w.info.ID)
		}
		d.tick()
	}
}

// beat lets one worker report what is expected of it.
func (d *desk) beat(id WorkerID) {
	d.show(id, func(p *placement) RunStatus {
		return RunStatus{Percent: p.pulse.percent + 1, Checkpoint: p.saved}
	})
}

// show lets one worker report its runs, each as row says.
func (d *desk) show(id WorkerID, row func(p *placement) RunStatus) {
	w := d.e.workers[id]
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlaces() {
		shown := row(p)
		shown.Run = p.id()
		r.Running = append(r.Running, shown)
	}
	d.report(r)
}

// tick tells the engine the time and lets it settle.
func (d *desk) tick() {
	d.step(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	d.settle()
}

func gang(n, accelerators int) workload.Step {
	return workload.Step{
		Count: n, Gang: true, SameRack: true, Estimate: 4 * time.Second,
		Need: workload.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: accelerators},
	}
}

func tasks(n, accelerators int) workload.Step {
	s := gang(n, accelerators)
	s.Gang, s.SameRack = false, false
	return s
}

// takeOver puts the next planner in the place of the present one, from its records.
func (d *desk) takeOver() {
	old := d.e
	d.e = New(old.params, old.epoch+1, d.now, 0)
	d.step(CatalogChanged{Catalog: old.catalog})
	for _, w := range old.sortedWorkers() {
		d.step(WorkerRestored{Info: w.info})
	}
	for _, j := range old.sequence {
		d.step(JobRestored{
			JobSubmitted: JobSubmitted{Job: j.spec, Revision: j.order},
			Progress:     j.progress(old.epoch, d.now, time.Unix(1000, 0)),
		})
	}
}
