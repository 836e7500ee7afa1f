package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// decider is what the driver drives: the scheduler or a baseline.
type decider interface {
	Step(now time.Time, ev Event) []Action
}

// work is a job of a workload with what the scheduler is not told.
type work struct {
	Job
	at     time.Duration // when it is submitted
	run    time.Duration // true run time
	cancel time.Duration // when it is cancelled, if positive
}

type timed struct {
	at  time.Time
	seq int
	do  func()
}

type timedHeap []timed

func (h timedHeap) Len() int      { return len(h) }
func (h timedHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *timedHeap) Push(x any)   { *h = append(*h, x.(timed)) }
func (h timedHeap) Less(a, b int) bool {
	return h[a].at.Before(h[b].at) || h[a].at.Equal(h[b].at) && h[a].seq < h[b].seq
}

func (h *timedHeap) Pop() any {
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

// attempt is a job in the driver.
type attempt struct {
	*work
	n        Attempt
	place    Placement
	started  time.Time
	running  bool
	stopping bool
	saved    time.Duration // run time that a checkpoint covers
	since    time.Time     // start of the current wait
	waited   time.Duration
	ended    bool
}

// driver plays a workload against a decider in virtual time.
type driver struct {
	d       decider
	now     time.Time
	start   time.Time
	heap    timedHeap
	seq     int
	pending []Event
	jobs    map[JobID]*attempt
	free    map[WorkerID]int
	workers map[WorkerID]Worker
	bad     WorkerID // fails everything it starts
	horizon time.Duration
	batch   time.Duration // events of one planner round
	wake    time.Time
	result
}

func newDriver(d decider, workers []Worker, p Policy, jobs []work, horizon time.Duration) *driver {
	x := &driver{d: d, now: time.Unix(1e9, 0), jobs: map[JobID]*attempt{}, free: map[WorkerID]int{}, workers: map[WorkerID]Worker{}, horizon: horizon, batch: 20 * time.Millisecond}
	if len(workers) > 1000 {
		x.batch = time.Second
	}
	x.start = x.now
	evs := []Event{PolicyChanged{p}}
	for _, w := range workers {
		x.workers[w.ID], x.free[w.ID] = w, w.Accelerators
		evs = append(evs, WorkerUp{w})
	}
	x.apply(d.Step(x.now, Batch{evs}))
	for i := range jobs {
		w := &jobs[i]
		w.Submitted = x.now.Add(w.at)
		x.after(w.at, func() {
			x.jobs[w.ID] = &attempt{work: w, since: x.now}
			x.send(JobsSubmitted{[]Job{w.Job}})
		})
		if w.cancel > 0 {
			x.after(w.cancel, func() { x.send(JobsCancelled{[]JobID{w.ID}}) })
		}
	}
	return x
}

func (x *driver) after(d time.Duration, do func()) {
	x.seq++
	heap.Push(&x.heap, timed{x.now.Add(d), x.seq, do})
}

// send queues an event for the next planner round.
func (x *driver) send(ev Event) {
	if len(x.pending) == 0 {
		x.after(x.batch, x.flush)
	}
	x.pending = append(x.pending, ev)
}

func (x *driver) flush() {
	evs := x.pending
	x.pending = nil
	x.apply(x.d.Step(x.now, Batch{evs}))
}

func (x *driver) run() *result {
	x.after(sampleEvery, x.sample)
	limit := x.start.Add(x.horizon * 3)
	for len(x.heap) > 0 && x.heap[0].at.Before(limit) {
		t := heap.Pop(&x.heap).(timed)
		x.now = t.at
		t.do()
	}
	x.finish()
	return &x.result
}

func (x *driver) apply(actions []Action) {
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
			x.wake = a.At
			x.after(a.At.Sub(x.now), func() {
				if x.wake.Equal(a.At) {
					x.send(Tick{})
				}
			})
		}
	}
}

func (x *driver) startGang(a StartGang) {
	j := x.jobs[a.Job]
	j.n, j.place, j.started = a.Attempt, a.Placement, x.now
	j.running, j.stopping = true, false
	j.waited += x.now.Sub(j.since)
	bad := false
	for _, g := range a.Placement {
		x.free[g.Worker] -= len(g.Accelerators)
		if x.free[g.Worker] < 0 {
			panic("an accelerator is granted twice")
		}
		bad = bad || g.Worker == x.bad
	}
	x.after(startDelay, func() { x.send(GangStarted{a.Job, a.Attempt}) })
	if bad {
		x.after(time.Second, func() { x.end(j, a.Attempt, Failed, x.bad) })
		return
	}
	x.after(startDelay+j.work.run-j.saved, func() { x.end(j, a.Attempt, Done, "") })
	if j.Checkpointable {
		x.checkpointLater(j, a.Attempt)
	}
}

func (x *driver) checkpointLater(j *attempt, n Attempt) {
	if j.work.run-j.saved < checkpointEvery {
		return
	}
	x.after(checkpointEvery, func() {
		if j.running && j.n == n && !j.stopping {
			x.save(j)
			x.send(CheckpointTaken{j.ID, x.now})
			x.checkpointLater(j, n)
		}
	})
}

// save makes the progress of the attempt safe.
func (x *driver) save(j *attempt) {
	j.saved += x.now.Sub(j.started)
	j.started = x.now
}

func (x *driver) stopGang(a StopGang) {
	j := x.jobs[a.Job]
	j.stopping = true
	d := stopDelay
	if a.Checkpoint {
		d = checkpointDelay
		x.save(j)
	}
	lost := x.now.Sub(j.started)
	if !j.Checkpointable {
		j.saved = 0
	}
	x.after(d, func() {
		if j.running && j.n == a.Attempt {
			if a.Reason == StopReclaim {
				x.lost += lost.Seconds() * float64(j.Accelerators)
				x.evictions++
			}
			x.end(j, a.Attempt, Stopped, "")
		}
	})
}

func (x *driver) end(j *attempt, n Attempt, o Outcome, at WorkerID) {
	if !j.running || j.n != n || o == Done && j.stopping {
		return
	}
	for _, g := range j.place {
		x.free[g.Worker] += len(g.Accelerators)
	}
	j.running, j.place, j.since = false, nil, x.now
	if o == Done {
		j.ended = true
		x.done(j)
	}
	x.send(GangEnded{Job: j.ID, Attempt: n, Outcome: o, Worker: at, Checkpointed: j.started})
}

// sample adds the capacity that is free in pieces too small for the jobs that
// wait, averaged over these by their size.
func (x *driver) sample() {
	if x.now.Sub(x.start) < x.horizon {
		x.after(sampleEvery, x.sample)
	}
	waiting := map[demand]float64{}
	weight, idle := 0.0, 0
	for _, j := range x.jobs {
		if !j.running && !j.ended && j.Accelerators > 0 && x.now.Sub(j.since) > time.Second {
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
		x.frag += share / weight * float64(x.tooSmall(w)) * sampleEvery.Seconds()
	}
}

func (x *driver) tooSmall(w demand) int {
	units := map[string]int{}
	for id, f := range x.free {
		u := x.workers[id]
		switch w.span {
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
		if f < w.accelerators {
			t += f
		}
	}
	return t
}

// gangSize is from how many accelerators on a job counts as a gang.
const gangSize = 8

// result is what a run measured.
type result struct {
	gangs      []float64 // waiting of gangs, seconds
	small      []float64 // waiting of other jobs
	completion []float64 // from submission to end, all jobs
	frag       float64   // accelerator seconds
	idle       float64
	lost       float64
	evictions  int
	rejected   int
	unfinished int
	decide     []float64 // microseconds
}

func (x *driver) done(j *attempt) {
	x.completion = append(x.completion, x.now.Sub(j.Submitted).Seconds())
	if j.Accelerators >= gangSize {
		x.gangs = append(x.gangs, j.waited.Seconds())
	} else {
		x.small = append(x.small, j.waited.Seconds())
	}
}

// finish counts jobs that still wait as if they had started at the limit. Those
// that still run are left out.
func (x *driver) finish() {
	for _, j := range x.jobs {
		if !j.ended && !j.running {
			x.unfinished++
			j.waited += x.now.Sub(j.since)
			x.done(j)
		}
	}
	for _, v := range [][]float64{x.gangs, x.small, x.completion} {
		slices.Sort(v)
	}
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
