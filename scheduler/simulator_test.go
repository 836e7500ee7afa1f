package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// stepper is the scheduler or a baseline.
type stepper interface {
	Step(now time.Time, ev Event) []Action
}

// simulatedJob is a job of a workload with what the scheduler does not know of
// it.
type simulatedJob struct {
	Job
	submitAt time.Duration // after the start of the simulation
	runTime  time.Duration // true run time
	cancelAt time.Duration // after the start of the simulation, if positive
}

// timedEvent is a function to call at a time. Those of the same time are called
// in order of seq.
type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

type timedEventHeap []timedEvent

func (h timedEventHeap) Len() int      { return len(h) }
func (h timedEventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *timedEventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h timedEventHeap) Less(a, b int) bool {
	return h[a].at.Before(h[b].at) || h[a].at.Equal(h[b].at) && h[a].seq < h[b].seq
}

func (h *timedEventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

const (
	startDelay      = 50 * time.Millisecond
	stopDelay       = time.Second
	checkpointDelay = 2 * time.Second
	checkpointEvery = 5 * time.Minute
	sampleEvery     = 10 * time.Second
)

// simulatedAttempt is the state of a job in the simulator and of its current
// attempt.
type simulatedAttempt struct {
	*simulatedJob
	number       Attempt
	place        Placement
	started      time.Time
	running      bool
	stopping     bool
	checkpointed time.Duration // run time that the last checkpoint covers
	waitingSince time.Time     // start of the current wait
	waited       time.Duration
	ended        bool
}

// simulator runs a workload against a scheduler in virtual time.
type simulator struct {
	scheduler    stepper
	now          time.Time
	start        time.Time
	heap         timedEventHeap
	seq          int
	pending      []Event
	jobs         map[JobID]*simulatedAttempt
	free         map[WorkerID]int
	workers      map[WorkerID]Worker
	faultyWorker WorkerID // fails everything that it starts
	horizon      time.Duration
	batchDelay   time.Duration // delay by which events are batched into one decision
	wakeAt       time.Time
	result
}

func newSimulator(scheduler stepper, workers []Worker, p Policy, jobs []simulatedJob, horizon time.Duration) *simulator {
	x := &simulator{scheduler: scheduler, now: time.Unix(1e9, 0), jobs: map[JobID]*simulatedAttempt{}, free: map[WorkerID]int{}, workers: map[WorkerID]Worker{}, horizon: horizon, batchDelay: 20 * time.Millisecond}
	if len(workers) > 1000 {
		x.batchDelay = time.Second
	}
	x.start = x.now
	evs := []Event{PolicyChanged{p}}
	for _, w := range workers {
		x.workers[w.ID], x.free[w.ID] = w, w.Accelerators
		evs = append(evs, WorkerUp{w})
	}
	x.apply(scheduler.Step(x.now, Batch{evs}))
	for i := range jobs {
		w := &jobs[i]
		w.Submitted = x.now.Add(w.submitAt)
		x.schedule(w.submitAt, func() {
			x.jobs[w.ID] = &simulatedAttempt{simulatedJob: w, waitingSince: x.now}
			x.queueEvent(JobsSubmitted{[]Job{w.Job}})
		})
		if w.cancelAt > 0 {
			x.schedule(w.cancelAt, func() { x.queueEvent(JobsCancelled{[]JobID{w.ID}}) })
		}
	}
	return x
}

func (x *simulator) schedule(d time.Duration, do func()) {
	x.seq++
	heap.Push(&x.heap, timedEvent{x.now.Add(d), x.seq, do})
}

// queueEvent adds an event to the next batch.
func (x *simulator) queueEvent(ev Event) {
	if len(x.pending) == 0 {
		x.schedule(x.batchDelay, x.flush)
	}
	x.pending = append(x.pending, ev)
}

func (x *simulator) flush() {
	evs := x.pending
	x.pending = nil
	x.apply(x.scheduler.Step(x.now, Batch{evs}))
}

func (x *simulator) run() *result {
	x.schedule(sampleEvery, x.sample)
	limit := x.start.Add(x.horizon * 3)
	for len(x.heap) > 0 && x.heap[0].at.Before(limit) {
		t := heap.Pop(&x.heap).(timedEvent)
		x.now = t.at
		t.run()
	}
	x.countUnfinished()
	return &x.result
}

func (x *simulator) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartGang:
			x.startGang(a)
		case StopGang:
			x.stopGang(a)
		case RejectJob:
			if a.Reason != RejectCancelled {
				x.rejected++
			}
			x.jobs[a.Job].ended = true
		case WakeAt:
			x.wakeAt = a.At
			x.schedule(a.At.Sub(x.now), func() {
				if x.wakeAt.Equal(a.At) {
					x.queueEvent(Tick{})
				}
			})
		}
	}
}

func (x *simulator) startGang(a StartGang) {
	j := x.jobs[a.Job]
	j.number, j.place, j.started = a.Attempt, a.Placement, x.now
	j.running, j.stopping = true, false
	j.waited += x.now.Sub(j.waitingSince)
	faulty := false
	for _, g := range a.Placement {
		x.free[g.Worker] -= len(g.Accelerators)
		if x.free[g.Worker] < 0 {
			panic("scheduler granted more accelerators than a worker has free")
		}
		faulty = faulty || g.Worker == x.faultyWorker
	}
	x.schedule(startDelay, func() { x.queueEvent(GangStarted{a.Job, a.Attempt}) })
	if faulty {
		x.schedule(time.Second, func() { x.end(j, a.Attempt, Failed, x.faultyWorker) })
		return
	}
	x.schedule(startDelay+j.simulatedJob.runTime-j.checkpointed, func() { x.end(j, a.Attempt, Done, "") })
	if j.Checkpointable {
		x.scheduleCheckpoint(j, a.Attempt)
	}
}

func (x *simulator) scheduleCheckpoint(j *simulatedAttempt, n Attempt) {
	if j.simulatedJob.runTime-j.checkpointed < checkpointEvery {
		return
	}
	x.schedule(checkpointEvery, func() {
		if j.running && j.number == n && !j.stopping {
			x.checkpoint(j)
			x.queueEvent(CheckpointTaken{j.ID, x.now})
			x.scheduleCheckpoint(j, n)
		}
	})
}

// checkpoint saves the progress of an attempt.
func (x *simulator) checkpoint(j *simulatedAttempt) {
	j.checkpointed += x.now.Sub(j.started)
	j.started = x.now
}

func (x *simulator) stopGang(a StopGang) {
	j := x.jobs[a.Job]
	j.stopping = true
	d := stopDelay
	if a.Checkpoint {
		d = checkpointDelay
		x.checkpoint(j)
	}
	lost := x.now.Sub(j.started)
	if !j.Checkpointable {
		j.checkpointed = 0
	}
	x.schedule(d, func() {
		if j.running && j.number == a.Attempt {
			if a.Reason == StopReclaim {
				x.lostWork += lost.Seconds() * float64(j.Accelerators)
				x.evictions++
			}
			x.end(j, a.Attempt, Stopped, "")
		}
	})
}

func (x *simulator) end(j *simulatedAttempt, n Attempt, o Outcome, worker WorkerID) {
	if !j.running || j.number != n || o == Done && j.stopping {
		return
	}
	for _, g := range j.place {
		x.free[g.Worker] += len(g.Accelerators)
	}
	j.running, j.place, j.waitingSince = false, nil, x.now
	if o == Done {
		j.ended = true
		x.recordWait(j)
	}
	x.queueEvent(GangEnded{Job: j.ID, Attempt: n, Outcome: o, Worker: worker, Checkpointed: j.started})
}

// sample adds to the idle and the fragmented accelerator seconds. Fragmentation
// is the free capacity in units too small for the waiting jobs, averaged over
// these by size.
func (x *simulator) sample() {
	if x.now.Sub(x.start) < x.horizon {
		x.schedule(sampleEvery, x.sample)
	}
	waiting := map[demand]float64{}
	weight, idle := 0.0, 0
	for _, j := range x.jobs {
		if !j.running && !j.ended && j.Accelerators > 0 && x.now.Sub(j.waitingSince) > time.Second {
			waiting[demand{j.Accelerators, j.Adjacency}] += float64(j.Accelerators)
			weight += float64(j.Accelerators)
		}
	}
	for _, f := range x.free {
		idle += f
	}
	x.idle += float64(idle) * sampleEvery.Seconds()
	if weight == 0 || idle == 0 {
		return
	}
	for w, share := range waiting {
		x.fragmentation += share / weight * float64(x.unusableFree(w)) * sampleEvery.Seconds()
	}
}

func (x *simulator) unusableFree(d demand) int {
	units := map[string]int{}
	for id, f := range x.free {
		u := x.workers[id]
		switch d.span {
		case AdjacentWorker:
			units[string(id)] += f
		case AdjacentRack:
			units[u.Zone+u.Rack] += f
		case AdjacentZone:
			units[u.Zone] += f
		default:
			units[""] += f
		}
	}
	t := 0
	for _, f := range units {
		if f < d.accelerators {
			t += f
		}
	}
	return t
}

// gangSize is the number of accelerators from which a job counts as a gang.
const gangSize = 8

// result holds the measurements of a simulation.
type result struct {
	gangs         []float64 // waits of gangs, in seconds
	smallJobs     []float64 // waits of other jobs, in seconds
	completion    []float64 // time from submission to end of all jobs, in seconds
	fragmentation float64   // accelerator seconds
	idle          float64   // accelerator seconds
	lostWork      float64   // accelerator seconds
	evictions     int
	rejected      int
	unfinished    int
	decisionTimes []float64 // microseconds
}

// recordWait adds the completion and wait of a job to the result.
func (x *simulator) recordWait(j *simulatedAttempt) {
	x.completion = append(x.completion, x.now.Sub(j.Submitted).Seconds())
	if j.Accelerators >= gangSize {
		x.gangs = append(x.gangs, j.waited.Seconds())
	} else {
		x.smallJobs = append(x.smallJobs, j.waited.Seconds())
	}
}

// countUnfinished counts the jobs that still wait as if they had started at the
// end of the simulation. Those that still run are left out.
func (x *simulator) countUnfinished() {
	for _, j := range x.jobs {
		if !j.ended && !j.running {
			x.unfinished++
			j.waited += x.now.Sub(j.waitingSince)
			x.recordWait(j)
		}
	}
	for _, v := range [][]float64{x.gangs, x.smallJobs, x.completion} {
		slices.Sort(v)
	}
}

// quantile returns the q quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
