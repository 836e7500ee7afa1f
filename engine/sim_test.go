package engine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

var (
	simSeedCount = flag.Int("sim-seeds", 6, "number of random worlds")
	simTracedJob = flag.String("sim-job", "", "job whose decisions are logged")
	simFirstSeed = flag.Uint64("sim-first", 1, "seed of the first random world")
)

// Guards against overcommitted workers, tasks that run twice and jobs that never end, while planners
// change, workers crash, drain or are disconnected, orders are late and the store is unavailable.
func TestSimulation(t *testing.T) {
	runSimulations(t, *simSeedCount, func(w *simCluster, _ uint64) { w.planFaults(faultTime) })
}

// faultTime is how long faults occur and jobs are submitted.
const faultTime = 50 * time.Second

// runSimulations runs one simulation per seed with the events that plan adds.
func runSimulations(t *testing.T, seeds int, plan func(w *simCluster, seed uint64)) {
	for i := range seeds {
		seed := *simFirstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, seed, plan)
		})
	}
}

func runSimulation(t *testing.T, seed uint64, plan func(w *simCluster, seed uint64)) {
	w := newSimCluster(t, seed)
	plan(w, seed)
	w.planSubmissions(faultTime)
	w.runToEnd()
	if w.crashes.crashingOneIn > 0 {
		w.checkFailedJobs()
	}
	t.Log(w.counts)
}

// runToEnd runs the planned events, ends the faults, and checks that all jobs end.
func (w *simCluster) runToEnd() {
	w.run(faultTime)
	w.endFaults()
	w.run(150 * time.Second)
	w.checkSettled()
}

// planSubmissions schedules submissions and some cancellations.
func (w *simCluster) planSubmissions(end time.Duration) {
	for at := 100 * time.Millisecond; at < end; at += time.Duration(100+w.rng.IntN(900)) * time.Millisecond {
		j := w.randomJob(len(w.events))
		cancelAt := time.Duration(0)
		if w.rng.IntN(8) == 0 {
			cancelAt = time.Duration(w.rng.IntN(5000)) * time.Millisecond
		}
		w.events = append(w.events, simEvent{at, func() { w.submit(j, cancelAt) }})
	}
}

func (w *simCluster) submit(j *workload.Job, cancelAt time.Duration) {
	w.advice.assign(j)
	w.jobs[j.ID] = j
	w.order = append(w.order, j.ID)
	revision := int64(len(w.order))
	e := w.engine
	w.after(w.latency(), func() {
		if e == w.engine {
			e.Step(w.now, JobSubmitted{Job: *j, Revision: revision})
		}
	})
	if cancelAt == 0 {
		return
	}
	w.after(cancelAt, func() {
		w.cancels[j.ID] = true
		w.engine.Step(w.now, CancelRequested{Job: j.ID})
	})
	w.after(cancelAt+time.Second, func() { w.engine.Step(w.now, CancelRequested{Job: j.ID, Revision: revision}) })
}

// randomJob returns a job with one to three random steps.
func (w *simCluster) randomJob(n int) *workload.Job {
	pick := func(values ...int) int { return values[w.rng.IntN(len(values))] }
	account := []string{"big", "small"}[w.rng.IntN(2)]
	j := &workload.Job{
		ID: workload.JobID(fmt.Sprintf("job%04d-%d", n, w.rng.IntN(1000))), Queue: fmt.Sprint("q", w.rng.IntN(3)),
		Account: account, Service: "s",
		QueuePolicy: workload.QueuePolicy{Priority: w.rng.IntN(3), MaxAttempts: 4, Stretch: 3, TargetLatency: time.Second},
	}
	for i := range pick(1, 1, 2, 3) {
		s := workload.Step{
			Count:       pick(1, 1, 2, 3, 6, 12),
			Need:        workload.Resources{MilliCPU: pick(1000, 4000, 13000), MemoryMB: pick(2000, 8000, 26000), Accelerators: pick(0, 1, 2, 4, 8)},
			Estimate:    time.Duration(pick(300, 1000, 4000)) * time.Millisecond,
			Checkpoints: w.rng.IntN(2) == 0,
			Gang:        w.rng.IntN(2) == 0,
			SameRack:    w.rng.IntN(2) == 0,
		}
		if s.Gang {
			s.Count = min(s.Count, 6)
		}
		if w.rng.IntN(5) == 0 {
			s.PreferredRack = "r1"
		}
		if w.rng.IntN(6) == 0 {
			s.MaxPerWorker = 1
			s.Count = min(s.Count, 3)
		}
		if w.rng.IntN(30) == 0 {
			s.Label = missingLabel
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// planFaults schedules faults until end.
func (w *simCluster) planFaults(end time.Duration) {
	at := func() time.Duration { return time.Duration(w.rng.Int64N(int64(end))) }
	span := func(maxMillis int) time.Duration { return time.Duration(200+w.rng.IntN(maxMillis)) * time.Millisecond }
	for range w.rng.IntN(5) {
		w.events = append(w.events, simEvent{at(), w.takeOver})
	}
	for range w.rng.IntN(8) {
		i, d := w.rng.IntN(len(w.workers)), span(12000)
		w.events = append(w.events, simEvent{at(), func() { w.disconnect(i, d) }})
	}
	for range w.rng.IntN(4) {
		i := w.rng.IntN(len(w.workers))
		w.events = append(w.events, simEvent{at(), func() { w.crash(i) }})
	}
	for range w.rng.IntN(3) {
		i := w.rng.IntN(len(w.workers))
		w.events = append(w.events, simEvent{at(), func() { w.drain(i) }})
	}
	for range w.rng.IntN(3) {
		d := span(6000)
		w.events = append(w.events, simEvent{at(), func() {
			w.storeDown = true
			w.after(d, func() { w.storeDown = false })
		}})
	}
}

// missingLabel is a label that no worker has.
const missingLabel = "nowhere"

func (w *simCluster) disconnect(i int, d time.Duration) {
	sw := w.workers[i]
	sw.disconnected = true
	w.after(d, func() { sw.disconnected = false })
}

// crash ends an incarnation; the next one starts after downtime.
func (w *simCluster) crash(i int) {
	if sw := w.workers[i]; !sw.dead && sw.leavesAt == 0 {
		w.crashes.record(sw)
	}
	w.workers[i].dead = true
	if w.delays != nil {
		w.loseAgent(i)
	}
	crashedAt := w.now
	w.after(w.downtime(), func() {
		if w.workers[i].dead {
			if w.delays == nil {
				w.reportCrash(w.workers[i], w.now-crashedAt)
			}
			w.addWorker(i)
		}
	})
}

func (w *simCluster) drain(i int) {
	sw := w.workers[i]
	if sw.dead || sw.leavesAt != 0 {
		return
	}
	sw.leavesAt = w.now + 2*time.Second
	const untilEnd = 2500 * time.Millisecond
	w.after(untilEnd, func() { w.crash(i) })
	if w.delays != nil {
		w.sendDepartureNotice(i, untilEnd)
	}
}

func (w *simCluster) endFaults() {
	w.faultsEnded = true
	w.faultsEndedAt = w.now
	w.storeDown = false
	for _, sw := range w.workers {
		sw.disconnected = false
	}
}

// checkSettled checks that every job has ended and the engine counts no capacity as used.
func (w *simCluster) checkSettled() {
	for _, id := range w.order {
		found, ok := w.engine.Lookup(id)
		if w.advice.waitsInVain(id) {
			if !ok || found.State.Final() {
				w.reportViolation("job %s, which can't be done, is shown as %s, known %v", id, found.State, ok)
			}
			w.counts["wait in vain"]++
			continue
		}
		if ok && w.waitsForMissingLabel(w.jobs[id], found.State) {
			w.counts["fit no worker"]++
			continue
		}
		if !ok || !found.State.Final() {
			w.reportViolation("job %s has not settled: state %s, known %v, steps %+v", id, found.State, ok, w.jobs[id].Steps)
			continue
		}
		w.counts[string(found.State)]++
		if found.State == workload.Completed {
			w.checkCompleted(w.jobs[id])
		}
	}
	for _, known := range w.engine.workers {
		used := known.used
		for _, p := range known.placements {
			if w.advice.waitsInVain(p.unit.job.spec.ID) {
				used = used.Sub(p.demand) // of a start that is being rejected
			}
		}
		if used != (workload.Resources{}) {
			w.reportViolation("worker %s has %+v in use by %d placements after all jobs settled", known.info.ID, used, len(known.placements))
		}
	}
}

// waitsForMissingLabel reports whether the job has reached a step whose label no worker has.
func (w *simCluster) waitsForMissingLabel(j *workload.Job, state workload.State) bool {
	if state.Final() {
		return false
	}
	for s := range j.Steps {
		if j.Steps[s].Label == missingLabel {
			return true
		}
		for i := range j.Steps[s].Count {
			if !w.ranToEnd[workload.TaskID{Job: j.ID, Step: s, Index: i}] {
				return false
			}
		}
	}
	return false
}

func (w *simCluster) checkCompleted(j *workload.Job) {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			task := workload.TaskID{Job: j.ID, Step: s, Index: i}
			if !w.ranToEnd[task] {
				w.reportViolation("job %s is completed but %s has not ended as done", j.ID, task)
			}
		}
	}
}
