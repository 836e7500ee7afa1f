package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// benchFleet simulates workers, agents and a store for one engine, without faults. Starts take
// effect immediately, durations are random, and agents report every benchReportInterval. It does
// little work itself, so that mostly the engine's time is measured.
type benchFleet struct {
	rng     *rand.Rand
	e       *Engine
	now     time.Duration
	workers []*benchWorker
	jobs    int
}

type benchWorker struct {
	info          WorkerInfo
	running       map[workload.TaskID]*benchRun
	ended         []RunEnd
	lastEndNumber int64
	nextReportAt  time.Duration
}

type benchRun struct {
	id        workload.RunID
	startedAt time.Duration
	endsAt    time.Duration
}

const (
	benchReportInterval = 250 * time.Millisecond
	benchTimeStep       = 10 * time.Millisecond
)

func newBenchFleet(workers, rackSize int) *benchFleet {
	f := &benchFleet{rng: rand.New(rand.NewPCG(1, 2)), now: time.Second}
	f.e = New(Params{
		MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, RemoteSlowdown: 3,
		RestoreTime: 250 * time.Millisecond, MaxReclaimWait: 3400 * time.Millisecond, Retention: 2 * time.Minute,
	}, 1, f.now, 0)
	accounts := map[string]catalog.Account{}
	for i := range 24 {
		accounts[fmt.Sprint("account", i)] = catalog.Account{GuaranteedAccelerators: 16}
	}
	f.e.Step(f.now, CatalogChanged{Catalog: &catalog.Catalog{Accounts: accounts}})
	for i := range workers {
		rack := fmt.Sprint("r", i/rackSize)
		f.workers = append(f.workers, &benchWorker{
			info: WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%05d", i)), Agent: fmt.Sprint("agent", i), Service: "s", Rack: rack, Labels: []string{rack},
				Capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 128000, Accelerators: 8},
			},
			running:      map[workload.TaskID]*benchRun{},
			nextReportAt: f.now + time.Duration(i)*benchReportInterval/time.Duration(workers),
		})
	}
	return f
}

// advance simulates a span of time, with jobs arriving at rate per second.
func (f *benchFleet) advance(span time.Duration, rate float64) {
	for end := f.now + span; f.now < end; f.now += benchTimeStep {
		if f.rng.Float64() < rate*benchTimeStep.Seconds() {
			f.submit()
		}
		for _, w := range f.workers {
			if f.now >= w.nextReportAt {
				f.report(w)
			}
		}
		if f.now%(50*time.Millisecond) == 0 {
			f.e.Step(f.now, Tick{WallTime: time.Unix(1000, 0).Add(f.now)})
		}
		f.executeActions()
	}
}

// submit submits one of three kinds of jobs: urgent jobs of a few seconds, gangs of medium
// length, and wide steps of single-accelerator tasks.
func (f *benchFleet) submit() {
	f.jobs++
	pick := func(values ...int) int { return values[f.rng.IntN(len(values))] }
	j := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", f.jobs)), Service: "s", Account: fmt.Sprint("account", f.rng.IntN(24)), Spec: "spec"}
	j.QueuePolicy = workload.QueuePolicy{Priority: 0, MaxAttempts: 3, Stretch: 1.5, TargetLatency: 300 * time.Millisecond}
	step := workload.Step{Count: 1 + f.rng.IntN(15), Estimate: 2500 * time.Millisecond, Gang: f.rng.IntN(2) == 0, SameRack: true,
		Need: workload.Resources{MilliCPU: 3700, MemoryMB: 8000, Accelerators: pick(1, 2, 4, 8)}}
	switch kind := f.rng.Float64(); {
	case kind < 0.13:
		j.QueuePolicy.Priority, j.QueuePolicy.Stretch = 1, 3
		step.Count, step.Estimate, step.Need.MilliCPU, step.Checkpoints = 1+f.rng.IntN(50), 8500*time.Millisecond, 4000*step.Need.Accelerators, true
	case kind < 0.28:
		j.QueuePolicy.Priority, j.QueuePolicy.Stretch = 2, 5
		step.Count, step.Estimate, step.Gang, step.Checkpoints = 20+f.rng.IntN(120), 6100*time.Millisecond, false, true
		step.Need.MilliCPU, step.Need.Accelerators = 2800, 1
	}
	j.Queue = fmt.Sprint("q", j.QueuePolicy.Priority)
	j.Steps = []workload.Step{step}
	f.e.Step(f.now, JobSubmitted{Job: j, Revision: int64(f.jobs)})
}

func (f *benchFleet) report(w *benchWorker) {
	w.nextReportAt = f.now + benchReportInterval
	r := Report{Epoch: 1, Polled: true, Worker: w.info}
	for id, run := range w.running {
		if f.now >= run.endsAt {
			w.lastEndNumber++
			w.ended = append(w.ended, RunEnd{Sequence: w.lastEndNumber, Run: run.id, Reason: EndDone})
			delete(w.running, id)
			continue
		}
		percent := int(100 * (f.now - run.startedAt) / (run.endsAt - run.startedAt))
		r.Running = append(r.Running, RunStatus{Run: run.id, Percent: percent, Checkpoint: fmt.Sprint(percent / 10)})
	}
	r.Ended = w.ended
	answer := f.e.Report(f.now, r)
	for len(w.ended) > 0 && w.ended[0].Sequence <= answer.AckedEnds {
		w.ended = w.ended[1:]
	}
}

// executeActions applies orders and writes.
func (f *benchFleet) executeActions() {
	for _, action := range f.e.Decide(f.now) {
		o, ok := action.(Orders)
		if !ok {
			continue
		}
		w := f.workers[workerIndex(o.Worker)]
		completed := OrdersCompleted{Worker: o.Worker}
		for _, s := range o.Starts {
			runTime := time.Duration((0.3 + 2*f.rng.Float64()) * float64(4*time.Second))
			w.running[s.Run.Task] = &benchRun{id: s.Run, startedAt: f.now, endsAt: f.now + runTime}
			completed.Starts = append(completed.Starts, StartResult{Run: s.Run, Outcome: StartOK})
		}
		for _, run := range o.Stops {
			if r := w.running[run.Task]; r != nil && r.id == run {
				w.lastEndNumber++
				w.ended = append(w.ended, RunEnd{Sequence: w.lastEndNumber, Run: run, Reason: EndStopped})
				delete(w.running, run.Task)
			}
		}
		f.e.Step(f.now, completed)
	}
	if w := f.e.PendingChanges(f.now, time.Unix(1000, 0).Add(f.now), 15); !w.Empty() {
		f.e.Step(f.now, WriteApplied{Write: w})
	}
}

func workerIndex(id WorkerID) (i int) {
	_, _ = fmt.Sscanf(string(id), "w%d", &i) // the format used by newBenchFleet
	return i
}

// BenchmarkBusyFleet measures the engine's time for one second of a fully loaded fleet.
func BenchmarkBusyFleet(b *testing.B) {
	for _, size := range []int{30, 75, 240} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			f := newBenchFleet(size, 8)
			rate := 7 * float64(size) / 240
			f.advance(20*time.Second, rate)
			for b.Loop() {
				f.advance(time.Second, rate)
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/fleet-s")
		})
	}
}
