package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// advised hands in a job of a queue under a policy.
func (d *desk) advised(steps ...workload.Step) workload.JobID {
	d.step(JobSubmitted{Revision: 1, Job: workload.Job{
		ID: "advised", Queue: "q", Service: "s", Steps: steps,
		QueuePolicy: workload.QueuePolicy{Priority: 1, MaxAttempts: 3, Stretch: 3, Advice: &workload.Advice{
			DecisionTime: 100 * time.Millisecond, TimePerWorker: 10 * time.Millisecond, TicketLifetime: 3 * time.Second,
		}},
	}})
	return "advised"
}

// asked returns the question that the engine asks next, if any, and settles the rest.
func (d *desk) asked() *AdviceRequest {
	var ask *AdviceRequest
	for range 10 {
		for _, a := range d.e.Decide(d.now) {
			switch a := a.(type) {
			case AdviceRequest:
				ask = &a
			case Orders:
				for _, s := range a.Starts {
					d.starts = append(d.starts, s)
					d.on[s.Run] = a.Worker
				}
			}
		}
		if w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15); !w.Empty() {
			d.step(WriteApplied{Write: w})
		}
	}
	return ask
}

// The service allows one worker of those asked for. The start goes there with its ticket,
// and the others are not asked for again.
func TestStartCarriesItsTicket(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 3)
	d.advised(tasks(2, 8))
	ask := d.asked()
	c.Assert(ask, qt.IsNotNil)
	c.Check(d.starts, qt.HasLen, 0)
	c.Check(d.asked(), qt.IsNil, qt.Commentf("one question at a time"))
	d.step(AdviceResponse{Request: *ask, Tickets: map[WorkerID]string{"w1": "t1"}, Lifetime: 3 * time.Second})
	again := d.asked()
	c.Assert(d.starts, qt.HasLen, 1)
	c.Check(d.starts[0].Ticket, qt.Equals, "t1")
	c.Check(d.on[d.starts[0].Run], qt.Equals, WorkerID("w1"))
	if again != nil {
		for _, id := range again.Workers {
			c.Check(ask.Workers, qt.Not(qt.Contains), id)
		}
	}
}

// A ticket runs out while its unit waits for room: it must not be started with.
func TestExpiredTicketIsAskedForAgain(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 1)
	d.job(1, "", tasks(1, 8))
	d.settle()
	d.advised(tasks(1, 8))
	ask := d.asked()
	c.Assert(ask, qt.IsNotNil)
	d.step(AdviceResponse{Request: *ask, Tickets: map[WorkerID]string{"w0": "t0"}, Lifetime: 3 * time.Second})
	d.asked()
	for range 40 {
		d.now += 100 * time.Millisecond
		d.beat("w0")
	}
	d.end("job1", EndDone)
	before := len(d.starts)
	c.Assert(d.asked(), qt.IsNotNil)
	c.Check(d.starts, qt.HasLen, before)
}

// The service does not answer: it is asked again after a pause, and nothing starts.
func TestFailedAdviceIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 1)
	d.advised(tasks(1, 1))
	ask := d.asked()
	c.Assert(ask, qt.IsNotNil)
	d.step(AdviceResponse{Request: *ask, Failed: true})
	c.Check(d.asked(), qt.IsNil)
	d.now += adviceRetry
	d.step(Tick{WallTime: time.Unix(1000, 0)})
	d.e.replan = true
	c.Check(d.asked(), qt.IsNotNil)
	c.Check(d.starts, qt.HasLen, 0)
}

// Tickets for a second step are fetched while the first still runs, so that the service's
// slowness does not show.
func TestTicketsAreFetchedAhead(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 3)
	first, second := tasks(1, 1), tasks(1, 1)
	first.Estimate = 800 * time.Millisecond
	second.DependsOn = []int{0}
	d.advised(first, second)
	ask := d.asked()
	d.step(AdviceResponse{Request: *ask, Tickets: map[WorkerID]string{"w0": "a", "w1": "b", "w2": "c"}, Lifetime: 3 * time.Second})
	ahead := d.asked()
	c.Assert(d.starts, qt.HasLen, 1)
	if ahead == nil {
		d.step(OrdersCompleted{Worker: d.on[d.starts[0].Run], Starts: []StartResult{{Run: d.starts[0].Run, Outcome: StartOK}}})
		d.now += 400 * time.Millisecond
		d.e.replan = true
		ahead = d.asked()
	}
	c.Assert(ahead, qt.IsNotNil)
	c.Check(ahead.Step, qt.Equals, 1)
}
