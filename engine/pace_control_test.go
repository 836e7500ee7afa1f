package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

const tailTarget = 100 * time.Millisecond

// latencySensitiveStep returns a step of n long-running tasks with a tail-latency target.
func latencySensitiveStep(n int) workload.Step {
	s := longRunningStep(n, 0, 0)
	s.Image = "latency-sensitive"
	s.TailLatencyTarget = tailTarget
	return s
}

// bestEffortStep returns a step of n best-effort tasks.
func bestEffortStep(n int) workload.Step {
	s := taskStep(n, 0)
	s.Image = "best-effort"
	s.BestEffortCPU = true
	s.Checkpoints = true
	return s
}

// colocatedDriver returns a driver with one worker that runs a latency-sensitive and a
// best-effort task.
func colocatedDriver(t *testing.T) (d *driver, service, bestEffort workload.JobID) {
	d = newDriver(t, 1)
	service = d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	bestEffort = d.submit(2, "", bestEffortStep(1))
	d.settle()
	return d, service, bestEffort
}

// reportLatencyFor makes all workers report for the given time, with the given ratio of tail latency
// to target.
func (d *driver) reportLatencyFor(by time.Duration, ratio func(now time.Duration) float64) {
	for end := d.now + by; d.now < end; d.now += 100 * time.Millisecond {
		if d.now%(500*time.Millisecond) == 0 {
			for _, w := range d.e.sortedWorkers() {
				d.report(d.pollReport(w, ratio(d.now)))
			}
		}
		d.tick()
	}
}

// pollReport returns a report of all placements of w, with the given ratio of tail latency to
// target.
func (d *driver) pollReport(w *worker, ratio float64) Report {
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlacements() {
		status := RunStatus{Run: p.runID(), Percent: min(p.rate.lastPercent+1, 98)}
		if p.unit.spec().TailLatencyTarget > 0 {
			status.Percent = 100
			status.Load = int(ratio * float64(tailTarget/time.Millisecond))
		}
		r.Running = append(r.Running, status)
	}
	return r
}

// orderedPaces returns the last limit ordered for each run of a job; 100 if there was none.
func (d *driver) orderedPaces(id workload.JobID) []int {
	last := map[workload.RunID]int{}
	for _, p := range d.paces {
		last[p.Run] = p.Percent
	}
	var out []int
	for _, runs := range d.runs(id) {
		for _, run := range runs {
			percent, ordered := last[run]
			if !ordered {
				percent = fullPace
			}
			out = append(out, percent)
		}
	}
	return out
}

func constant(ratio float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return ratio }
}

// Guards against starting a best-effort task at full speed next to an image it has not run
// with.
func TestUnknownImageStartsSlowly(t *testing.T) {
	c := qt.New(t)
	d, _, id := colocatedDriver(t)
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{initialTolerance})
}

// Guards against starting a latency-sensitive task while its best-effort neighbour runs at full
// speed.
func TestBestEffortRunIsSlowedBeforeNeighbourStarts(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	id := d.submit(2, "", bestEffortStep(1))
	d.settle()
	d.reportLatencyFor(time.Second, constant(0))
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{100})
	d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{initialTolerance})
}

// Guards against a best-effort run that is not paused within MaxLatencyViolation, or not
// resumed later.
func TestBestEffortRunIsPausedWithinViolationLimit(t *testing.T) {
	c := qt.New(t)
	d, _, id := colocatedDriver(t)
	d.reportLatencyFor(8*time.Second, constant(0.4))
	c.Assert(d.orderedPaces(id)[0] >= 60, qt.IsTrue, qt.Commentf("limits %v", d.orderedPaces(id)))
	d.reportLatencyFor(2*time.Second, constant(1.4))
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{0})
	d.reportLatencyFor(6*time.Second, constant(0.4))
	c.Check(d.orderedPaces(id)[0] > initialTolerance, qt.IsTrue, qt.Commentf("limits %v", d.orderedPaces(id)))
}

// Guards against a limit that remains after the latency-sensitive task has ended.
func TestBestEffortRunAloneGetsFullPace(t *testing.T) {
	c := qt.New(t)
	d, service, id := colocatedDriver(t)
	d.handle(CancelRequested{Job: service})
	d.settle()
	d.endRuns(service, EndStopped)
	d.reportLatencyFor(time.Second, constant(0))
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{100})
}

// Guards against giving up on an unanswered limit, and against an earlier unanswered order that
// takes effect late.
func TestUnconfirmedPaceIsResent(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	d.dropPaceReplies = true
	d.submit(2, "", bestEffortStep(1))
	d.settle()
	d.reportLatencyFor(2*time.Second, constant(0.7))
	c.Check(len(d.paces) >= 4, qt.IsTrue, qt.Commentf("%d limits ordered", len(d.paces)))
	d.dropPaceReplies = false
	before := len(d.paces)
	d.reportLatencyFor(4*time.Second, constant(0.7))
	c.Check(len(d.paces) >= before+3, qt.IsTrue, qt.Commentf("%d limits ordered within lateOrderWindow", len(d.paces)-before))
	d.reportLatencyFor(12*time.Second, constant(0.7))
	before = len(d.paces)
	d.reportLatencyFor(4*time.Second, constant(0.7))
	c.Check(d.paces, qt.HasLen, before)
}

// Guards against an older limit that the worker applies after the newer one, which was confirmed: the run
// would disturb its neighbour at a speed that no report shows.
func TestPaceIsResentAfterOlderOneWasApplied(t *testing.T) {
	c := qt.New(t)
	d, _, id := colocatedDriver(t)
	before := len(d.paces)
	latest := d.paces[before-1]
	older := PaceOrder{Run: latest.Run, Percent: latest.Percent + 1}
	d.handle(OrdersCompleted{Worker: d.startedOn[latest.Run], Paces: []PaceResult{{PaceOrder: older, Applied: true}}})
	d.reportLatencyFor(2*time.Second, constant(0.7))
	c.Check(d.paces[before:], qt.DeepEquals, []PaceOrder{latest})
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{latest.Percent})
}

// Guards against a successor that leaves a best-effort run at the unknown limit of its
// predecessor.
func TestSuccessorResetsPaces(t *testing.T) {
	c := qt.New(t)
	d, _, id := colocatedDriver(t)
	d.reportLatencyFor(8*time.Second, constant(0.4))
	d.takeOver()
	d.paces = nil
	d.reportLatencyFor(600*time.Millisecond, constant(0.7))
	c.Check(d.orderedPaces(id), qt.DeepEquals, []int{initialTolerance})
}

// Guards against placing a best-effort task next to a latency-sensitive one while another
// worker is free.
func TestBestEffortTaskAvoidsLatencySensitiveNeighbour(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	var sensitiveWorker WorkerID
	for run, w := range d.startedOn {
		if run.Task.Step == 0 {
			sensitiveWorker = w
		}
	}
	id := d.submit(2, "", bestEffortStep(1))
	d.settle()
	for w := range d.runs(id) {
		c.Check(w, qt.Not(qt.Equals), sensitiveWorker)
	}
}

// Guards against a best-effort run that keeps violating the target because its worker does not
// confirm limits.
func TestRunWithUnconfirmedPaceIsStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(1, "", latencySensitiveStep(1))
	d.settle()
	d.dropPaceReplies = true
	id := d.submit(2, "", bestEffortStep(1))
	d.settle()
	d.reportLatencyFor(2*time.Second, constant(1.3))
	c.Check(d.stops, qt.HasLen, 0)
	d.reportLatencyFor(1500*time.Millisecond, constant(1.3))
	c.Assert(d.stops, qt.Not(qt.HasLen), 0)
	c.Check(d.stops[0].Task.Job, qt.Equals, id)
}
