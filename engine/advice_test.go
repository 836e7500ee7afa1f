package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// submitWithAdvice submits a job whose queue policy requires tickets.
func (d *driver) submitWithAdvice(steps ...workload.Step) workload.JobID {
	d.handle(JobSubmitted{Revision: 1, Job: workload.Job{
		ID: "advised", Queue: "q", Service: "s", Steps: steps,
		QueuePolicy: workload.QueuePolicy{Priority: 1, MaxAttempts: 3, Stretch: 3, Advice: &workload.Advice{
			DecisionTime: 100 * time.Millisecond, TimePerWorker: 10 * time.Millisecond, TicketLifetime: 3 * time.Second,
		}},
	}})
	return "advised"
}

// nextAdviceRequest returns the engine's next request for advice, if any, and applies all other
// actions.
func (d *driver) nextAdviceRequest() *AdviceRequest {
	var request *AdviceRequest
	for range 10 {
		for _, a := range d.e.Decide(d.now) {
			switch a := a.(type) {
			case AdviceRequest:
				request = &a
			case Orders:
				for _, s := range a.Starts {
					d.starts = append(d.starts, s)
					d.startedOn[s.Run] = a.Worker
				}
			}
		}
		if w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15); !w.Empty() {
			d.handle(WriteApplied{Write: w})
		}
	}
	return request
}

// awaitAdviceRequest lets runs progress until the engine requests advice, for at most limit.
func (d *driver) awaitAdviceRequest(limit time.Duration) *AdviceRequest {
	for end := d.now + limit; d.now < end; d.now += 100 * time.Millisecond {
		if request := d.nextAdviceRequest(); request != nil {
			return request
		}
		for _, w := range d.e.sortedWorkers() {
			d.reportProgress(w.info.ID)
		}
		d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	}
	return nil
}

// A start is ordered on the allowed worker with its ticket, and denied workers are not requested
// again.
func TestStartCarriesTicket(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	d.submitWithAdvice(taskStep(2, 8))
	request := d.nextAdviceRequest()
	c.Assert(request, qt.IsNotNil)
	c.Check(d.starts, qt.HasLen, 0)
	c.Check(d.nextAdviceRequest(), qt.IsNil, qt.Commentf("at most one request in flight"))
	d.handle(AdviceResponse{Request: *request, Tickets: map[WorkerID]string{"w1": "t1"}, Lifetime: 3 * time.Second})
	again := d.nextAdviceRequest()
	c.Assert(d.starts, qt.HasLen, 1)
	c.Check(d.starts[0].Ticket, qt.Equals, "t1")
	c.Check(d.startedOn[d.starts[0].Run], qt.Equals, WorkerID("w1"))
	if again != nil {
		for _, id := range again.Workers {
			c.Check(request.Workers, qt.Not(qt.Contains), id)
		}
	}
}

// A ticket that expires while its unit waits for capacity must not be used.
func TestExpiredTicketIsRequestedAgain(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.submitWithAdvice(taskStep(1, 8))
	request := d.awaitAdviceRequest(12 * time.Second)
	c.Assert(request, qt.IsNotNil)
	d.handle(AdviceResponse{Request: *request, Tickets: map[WorkerID]string{"w0": "t0"}, Lifetime: 3 * time.Second})
	d.nextAdviceRequest()
	for range 40 {
		d.now += 100 * time.Millisecond
		d.reportProgress("w0")
	}
	d.endRuns("job1", EndDone)
	before := len(d.starts)
	c.Assert(d.nextAdviceRequest(), qt.IsNotNil)
	c.Check(d.starts, qt.HasLen, before)
}

// After a failed request nothing starts, and the request is repeated after a delay.
func TestFailedAdviceRequestIsRetried(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submitWithAdvice(taskStep(1, 1))
	request := d.nextAdviceRequest()
	c.Assert(request, qt.IsNotNil)
	d.handle(AdviceResponse{Request: *request, Failed: true})
	c.Check(d.nextAdviceRequest(), qt.IsNil)
	d.now += adviceRetryDelay
	d.handle(Tick{WallTime: time.Unix(1000, 0)})
	d.e.planNeeded = true
	c.Check(d.nextAdviceRequest(), qt.IsNotNil)
	c.Check(d.starts, qt.HasLen, 0)
}

// Tickets for a step are requested while the step that it depends on still runs, to hide the
// latency of the advice service.
func TestTicketsArePrefetched(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	first, second := taskStep(1, 1), taskStep(1, 1)
	first.Estimate = 800 * time.Millisecond
	second.DependsOn = []int{0}
	d.submitWithAdvice(first, second)
	request := d.nextAdviceRequest()
	d.handle(AdviceResponse{Request: *request, Tickets: map[WorkerID]string{"w0": "a", "w1": "b", "w2": "c"}, Lifetime: 3 * time.Second})
	prefetch := d.nextAdviceRequest()
	c.Assert(d.starts, qt.HasLen, 1)
	if prefetch == nil {
		d.handle(OrdersCompleted{Worker: d.startedOn[d.starts[0].Run], Starts: []StartResult{{Run: d.starts[0].Run, Outcome: StartOK}}})
		d.now += 400 * time.Millisecond
		d.e.planNeeded = true
		prefetch = d.nextAdviceRequest()
	}
	c.Assert(prefetch, qt.IsNotNil)
	c.Check(prefetch.Step, qt.Equals, 1)
}
