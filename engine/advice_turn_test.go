package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// maxIdleWait is how long a job that could run may have nothing running.
const maxIdleWait = 3 * time.Second

// wholeWorkers is a gang of n tasks that take a worker each.
func wholeWorkers(n int) workload.Step {
	s := gangStep(n, 8)
	s.SameRack = false
	return s
}

// patient is a gang of n tasks that take a worker each for a minute, so that its job is of use for long.
func patient(n int) workload.Step {
	s := wholeWorkers(n)
	s.Estimate = time.Minute
	return s
}

// lasting makes a step long-running.
func lasting(s workload.Step) workload.Step {
	s.LongRunning, s.MaxUnavailable = true, s.Count
	return s
}

// Guards against jobs that wait in vain and take all calls to the advice service, so that a job that
// could run gets no ticket. Each case is another reason why they wait.
func TestJobsThatWaitInVainLeaveAdviceToOthers(t *testing.T) {
	const vainJobs = 4
	for _, test := range []struct {
		name string
		// occupy starts the work that the jobs wait for.
		occupy func(d *adviceDriver)
		vain   workload.Step
		// priority is that of the jobs that wait in vain.
		priority int
	}{
		{name: "larger than the fleet", vain: wholeWorkers(12)},
		{name: "more tasks than workers, one on each", vain: func() workload.Step {
			s := wholeWorkers(12)
			s.Need.Accelerators, s.MaxPerWorker = 1, 1
			return s
		}()},
		{
			name: "no room now",
			vain: wholeWorkers(11),
			occupy: func(d *adviceDriver) {
				s := lasting(taskStep(11, 1))
				s.MaxPerWorker, s.MaxUnavailable = 1, 0
				d.submit(0, "", s)
			},
		},
		{name: "guarantees", vain: lasting(wholeWorkers(10)), priority: 1},
		{name: "no worker has the label", vain: func() workload.Step {
			s := wholeWorkers(2)
			s.Label = "missing"
			return s
		}()},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newAdviceDriver(t, 11, slowAdvice)
			if test.occupy != nil {
				test.occupy(d)
			}
			d.play(time.Second)
			for range vainJobs {
				d.submitAdvised(test.priority, test.vain)
			}
			d.play(3 * time.Second)
			small := d.submitAdvised(2, taskStep(1, 1))
			waited, started := d.startedWithin(small, 20*time.Second)
			qt.Assert(t, started, qt.IsTrue, qt.Commentf("after %v and %d calls, %d of them for the job", waited, len(d.service.calls), d.service.callsFor(small)))
			qt.Check(t, waited <= maxIdleWait, qt.IsTrue, qt.Commentf("started after %v", waited))
			qt.Check(t, d.refused, qt.Equals, 0)
		})
	}
}

// Guards against steps whose calls lead to no start and that take all calls, though they lack nothing else.
// Each case is another reason why nothing starts.
func TestCallsInVainTakeTurnsWithOthers(t *testing.T) {
	const vainJobs = 8
	for _, test := range []struct {
		name    string
		workers int
		step    workload.Step
		prepare func(d *adviceDriver, isVain func(workload.JobID) bool)
	}{
		{
			name: "workers reject the tickets", workers: 11, step: patient(1),
			prepare: func(d *adviceDriver, isVain func(workload.JobID) bool) { d.service.rejects = isVain },
		},
		{
			name: "calls fail", workers: 11, step: patient(1),
			prepare: func(d *adviceDriver, isVain func(workload.JobID) bool) {
				d.service.fails = func(r AdviceRequest) bool { return isVain(r.Job) }
			},
		},
		{
			name: "tickets expire before the others arrive", workers: 120, step: patient(120),
			prepare: func(d *adviceDriver, _ func(workload.JobID) bool) { d.service.lifetime = 300 * time.Millisecond },
		},
		{
			name: "tasks that fail at once start again", workers: 40, step: lasting(patient(1)),
			prepare: func(d *adviceDriver, _ func(workload.JobID) bool) {
				for i := range vainJobs {
					d.crashes[workload.JobID(fmt.Sprintf("job%d", i+1))] = true
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newAdviceDriver(t, test.workers, slowAdvice)
			vain := map[workload.JobID]bool{}
			test.prepare(d, func(id workload.JobID) bool { return vain[id] })
			for range vainJobs {
				vain[d.submitAdvised(0, test.step)] = true
			}
			d.play(150 * time.Second) // until there was a call for each
			before := len(d.service.calls)
			small := d.submitAdvised(2, taskStep(1, 1))
			waited, started := d.startedWithin(small, time.Minute)
			qt.Assert(t, started, qt.IsTrue)
			// Of three calls one is for a step without any so far, beside the call in progress.
			calls := d.service.callsBefore(small, before)
			qt.Check(t, calls <= 3, qt.IsTrue, qt.Commentf("%d other calls first, %v", calls, waited))
		})
	}
}

// Guards against a step whose first call failed and that is never called for again, beside others whose
// calls lead to no start.
func TestStepWithFailedCallGetsAnother(t *testing.T) {
	const vainJobs = 8
	d := newAdviceDriver(t, 11, slowAdvice)
	var small workload.JobID
	d.service.rejects = func(id workload.JobID) bool { return id != small }
	d.service.fails = func(r AdviceRequest) bool { return r.Job == small && d.service.callsFor(small) == 1 }
	for range vainJobs {
		d.submitAdvised(0, patient(1))
	}
	d.play(time.Minute)
	small = d.submitAdvised(2, taskStep(1, 1))
	before := len(d.service.calls)
	_, started := d.startedWithin(small, 2*time.Minute)
	qt.Assert(t, started, qt.IsTrue)
	qt.Check(t, d.service.callsFor(small), qt.Equals, 2)
	calls := len(d.service.calls) - before
	qt.Check(t, calls <= 3*(vainJobs+1), qt.IsTrue, qt.Commentf("%d calls until it started", calls))
}

// Guards against an urgent job that waits for tickets behind jobs of lower rank, also if the calls for
// some of them are in vain.
func TestUrgentStepGetsTicketsFirst(t *testing.T) {
	for _, test := range []struct {
		name     string
		reject   bool
		maxCalls int // before the one for the urgent job, without the call in progress
	}{
		{name: "others can be placed", maxCalls: 0},
		{name: "calls for others are in vain", reject: true, maxCalls: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for offset := range 14 { // by the moment within the calls
				d := newAdviceDriver(t, 11, slowAdvice)
				others := map[workload.JobID]bool{}
				if test.reject {
					d.service.rejects = func(id workload.JobID) bool { return others[id] }
				}
				for range 10 {
					others[d.submitAdvised(1, wholeWorkers(1))] = true
				}
				d.play(2*time.Second + time.Duration(offset)*50*time.Millisecond)
				before := len(d.service.calls)
				urgent := d.submitAdvised(0, wholeWorkers(1))
				_, started := d.startedWithin(urgent, 20*time.Second)
				qt.Assert(t, started, qt.IsTrue)
				calls := d.service.callsBefore(urgent, before)
				qt.Check(t, calls <= test.maxCalls, qt.IsTrue, qt.Commentf("offset %d: %d other calls first", offset, calls))
			}
		})
	}
}

// Guards against tickets that have expired when the capacity for them becomes free, and against the
// time of a call between the two.
func TestTicketsAreRequestedShortlyBeforeCapacityIsFree(t *testing.T) {
	c := qt.New(t)
	d := newAdviceDriver(t, 1, slowAdvice)
	s := wholeWorkers(1)
	s.Estimate = 10 * time.Second
	d.submit(0, "", s)
	d.play(500 * time.Millisecond)
	id := d.submitAdvised(0, wholeWorkers(1))
	waited, started := d.startedWithin(id, 20*time.Second)
	c.Assert(started, qt.IsTrue)
	c.Check(waited <= 10*time.Second, qt.IsTrue, qt.Commentf("started after %v", waited))
	c.Check(d.service.calls, qt.HasLen, 1)
	c.Check(d.refused, qt.Equals, 0)
}

// Guards against lower-ranked work that takes the capacity of a job while its tickets are requested.
func TestCapacityIsKeptDuringFirstCall(t *testing.T) {
	c := qt.New(t)
	d := newAdviceDriver(t, 1, slowAdvice)
	first := d.submitAdvised(1, wholeWorkers(1))
	d.play(100 * time.Millisecond)
	second := d.submit(2, "", wholeWorkers(1))
	d.settle()
	_, started := d.startedWithin(first, 2*time.Second)
	c.Check(started, qt.IsTrue)
	_, started = d.firstStart[second]
	c.Check(started, qt.IsFalse)
}

// Guards against capacity that stays idle for a job whose calls are in vain.
func TestCapacityIsNotKeptForCallsInVain(t *testing.T) {
	d := newAdviceDriver(t, 1, slowAdvice)
	d.service.fails = func(AdviceRequest) bool { return true }
	d.submitAdvised(1, wholeWorkers(1))
	d.play(100 * time.Millisecond)
	second := d.submit(2, "", wholeWorkers(1))
	_, started := d.startedWithin(second, maxIdleWait)
	qt.Check(t, started, qt.IsTrue)
}

// Guards against victims on workers that the advice service turns out to deny.
func TestUrgentJobEvictsOnlyWhereItHasTickets(t *testing.T) {
	c := qt.New(t)
	d := newAdviceDriver(t, 6, slowAdvice)
	d.service.allows = func(_ AdviceRequest, id WorkerID) bool { return id == "w4" }
	s := wholeWorkers(1)
	s.Count, s.Gang, s.Estimate = 6, false, time.Minute
	d.submit(2, "", s)
	d.play(15 * time.Second) // beyond the headroom
	c.Assert(d.runStart, qt.HasLen, 6)
	urgent := d.submitAdvised(0, wholeWorkers(1))
	waited, started := d.startedWithin(urgent, 10*time.Second)
	c.Assert(started, qt.IsTrue, qt.Commentf("%d calls", len(d.service.calls)))
	c.Check(d.stops, qt.HasLen, 1)
	c.Check(waited <= 5*time.Second, qt.IsTrue, qt.Commentf("started after %v", waited))
}

// Guards against a guaranteed job that misses its time because its tickets are requested only when its
// victims have to be stopped.
func TestGuaranteedJobReclaimsInTimeWithAdvice(t *testing.T) {
	c := qt.New(t)
	advice := slowAdvice
	advice.DecisionTime = time.Second
	d := newAdviceDriver(t, 2, advice)
	d.stopTime = d.e.params.StopTime
	d.submit(0, "", patient(2)) // not guaranteed, of the same priority
	d.play(time.Second)
	c.Assert(d.runStart, qt.HasLen, 2)
	id := d.submitAdvisedBy("big", 0, wholeWorkers(1))
	waited, started := d.startedWithin(id, 10*time.Second)
	c.Assert(started, qt.IsTrue)
	c.Check(waited <= d.e.params.MaxReclaimWait, qt.IsTrue, qt.Commentf("started after %v", waited))
}

// Guards against a lost answer of the advice service that keeps all queues with advice waiting beside idle
// workers.
func TestLostAdviceIsRequestedAgainSoon(t *testing.T) {
	d := newAdviceDriver(t, 11, slowAdvice)
	d.service.loses = func(AdviceRequest) bool { return len(d.service.calls) == 1 }
	id := d.submitAdvised(1, taskStep(1, 1))
	waited, started := d.startedWithin(id, 20*time.Second)
	qt.Assert(t, started, qt.IsTrue)
	qt.Check(t, waited <= maxIdleWait, qt.IsTrue, qt.Commentf("started after %v", waited))
}

// Guards against requests that are given up time after time because the service takes longer than declared.
func TestSlowAdviceIsAwaited(t *testing.T) {
	d := newAdviceDriver(t, 11, slowAdvice)
	d.service.loses = func(r AdviceRequest) bool { return r.Timeout < 8*time.Second }
	id := d.submitAdvised(1, taskStep(1, 1))
	_, started := d.startedWithin(id, 30*time.Second)
	qt.Check(t, started, qt.IsTrue, qt.Commentf("%d calls", len(d.service.calls)))
}

// Guards against a gang on many workers whose first tickets expire before the last ones arrive.
func TestWideGangGetsItsTickets(t *testing.T) {
	for _, workers := range []int{60, 140} {
		d := newAdviceDriver(t, workers, slowAdvice)
		id := d.submitAdvised(1, patient(workers))
		waited, started := d.startedWithin(id, time.Minute)
		qt.Check(t, started, qt.IsTrue, qt.Commentf("%d workers, %v, %d calls", workers, waited, len(d.service.calls)))
		qt.Check(t, d.refused, qt.Equals, 0)
	}
}

// Guards against a step with an earlier call that is never called for again, since steps without any call
// arrive faster than the service answers.
func TestStepWithEarlierCallIsServedBesideNewOnes(t *testing.T) {
	d := newAdviceDriver(t, 40, slowAdvice)
	vain := d.submitAdvised(0, patient(1))
	d.service.rejects = func(id workload.JobID) bool { return id == vain }
	d.play(5 * time.Second)
	small := d.submitAdvised(2, taskStep(1, 1))
	d.service.fails = func(r AdviceRequest) bool { return r.Job == small && d.service.callsFor(small) == 1 }
	for d.service.callsFor(small) == 0 {
		d.play(50 * time.Millisecond)
	}
	before := len(d.service.calls)
	for range 60 {
		short := taskStep(1, 1)
		short.Estimate = 300 * time.Millisecond
		d.submitAdvised(1, short)
		d.play(500 * time.Millisecond)
		if _, started := d.firstStart[small]; started {
			break
		}
	}
	_, started := d.firstStart[small]
	qt.Assert(t, started, qt.IsTrue)
	calls := d.service.callsBefore(small, before)
	qt.Check(t, calls <= 2*3, qt.IsTrue, qt.Commentf("%d other calls first", calls))
}

// Guards against a step that is allowed on few of many workers and asks for a few at a time.
func TestRequestsGrowWithDenials(t *testing.T) {
	const workers = 100
	d := newAdviceDriver(t, workers, slowAdvice)
	d.service.allows = func(_ AdviceRequest, id WorkerID) bool { return id == "w99" }
	id := d.submitAdvised(1, taskStep(1, 1))
	_, started := d.startedWithin(id, time.Minute)
	qt.Assert(t, started, qt.IsTrue)
	qt.Check(t, len(d.service.calls) <= 8, qt.IsTrue, qt.Commentf("%d calls", len(d.service.calls))) // 3 workers, doubled at most 6 times
}

// Guards against a step that is called for without a pause though its tickets lead to no start, so that
// others wait for a call in progress.
func TestCallsInVainAreMadeAtGrowingIntervals(t *testing.T) {
	d := newAdviceDriver(t, 11, slowAdvice)
	d.service.rejects = func(workload.JobID) bool { return true }
	d.submitAdvised(0, patient(1))
	d.play(40 * time.Second)
	limit := 8 + int(40*time.Second/maxAdvicePause)
	qt.Check(t, len(d.service.calls) <= limit, qt.IsTrue, qt.Commentf("%d calls", len(d.service.calls)))
}

// Guards against an answer for a job that has ended, whose tickets would be kept with its outcome.
func TestAnswerForEndedJobIsDropped(t *testing.T) {
	d := newAdviceDriver(t, 1, slowAdvice)
	id := d.submitAdvised(1, taskStep(1, 1))
	d.handle(CancelRequested{Job: id, Revision: 2})
	d.play(2 * time.Second)
	qt.Check(t, d.service.calls, qt.HasLen, 1)
	qt.Check(t, d.e.jobs[id].ticketsByStep, qt.HasLen, 0)
}

// Guards against a second call after the victims have ended, since the tickets expire while these stop.
func TestTicketsAreRenewedWhileVictimsStop(t *testing.T) {
	c := qt.New(t)
	advice := slowAdvice
	advice.TicketLifetime = time.Second
	d := newAdviceDriver(t, 2, advice)
	d.stopTime = d.e.params.StopTime
	d.submit(2, "", patient(2))
	d.play(15 * time.Second) // beyond the headroom
	c.Assert(d.runStart, qt.HasLen, 2)
	urgent := d.submitAdvised(0, wholeWorkers(2))
	waited, started := d.startedWithin(urgent, 10*time.Second)
	c.Assert(started, qt.IsTrue)
	call := callDuration(&advice, 2)
	c.Check(waited < call+d.stopTime+call, qt.IsTrue, qt.Commentf("started after %v", waited))
	c.Check(d.refused, qt.Equals, 0)
}

// Guards against a start that is ordered again at once after its ticket was rejected.
func TestStartWithRejectedTicketIsDelayed(t *testing.T) {
	d := newAdviceDriver(t, 11, slowAdvice)
	d.service.rejects = func(workload.JobID) bool { return true }
	d.submitAdvised(1, taskStep(1, 1))
	for d.refused == 0 {
		d.play(50 * time.Millisecond)
	}
	qt.Check(t, d.refused, qt.Equals, 1)
}
