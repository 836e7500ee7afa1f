package engine

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// adviceDriver is a driver with an advice service, and with runs that end after the estimate of their
// step.
type adviceDriver struct {
	*driver
	service simAdviceService
	// refused counts starts without a valid ticket.
	refused  int
	runStart map[workload.RunID]time.Duration
	// crashes holds jobs whose tasks fail at once.
	crashes map[workload.JobID]bool
	// stopTime is how long a stopped run takes to end, and stopStart when its stop was first seen.
	stopTime  time.Duration
	stopStart map[workload.RunID]time.Duration
	// firstStart is when the first task of a job started.
	firstStart map[workload.JobID]time.Duration
}

// simAdviceService simulates the advice service in virtual time. It handles one call at a time.
type simAdviceService struct {
	advice workload.Advice
	// allows reports whether a step may run on a worker; nil allows all.
	allows func(r AdviceRequest, id WorkerID) bool
	// fails reports whether the service fails a request; nil for never.
	fails func(r AdviceRequest) bool
	// loses reports whether the answer to a request is lost; nil for never.
	loses func(r AdviceRequest) bool
	// rejects makes the workers reject the tickets of a job.
	rejects func(id workload.JobID) bool
	// lifetime is that of the tickets if it differs from the declared one.
	lifetime time.Duration
	calls    []AdviceRequest
	pending  *AdviceRequest
	answerAt time.Duration
	issued   int                      // number of answers with tickets
	validTo  map[string]time.Duration // by ticket
}

// slowAdvice is advice as slow as an external service may be: 650 ms for three workers.
var slowAdvice = workload.Advice{DecisionTime: 500 * time.Millisecond, TimePerWorker: 50 * time.Millisecond, TicketLifetime: 3 * time.Second}

func newAdviceDriver(t *testing.T, workers int, advice workload.Advice) *adviceDriver {
	d := &adviceDriver{
		driver:     newDriver(t, workers),
		service:    simAdviceService{advice: advice, validTo: map[string]time.Duration{}},
		runStart:   map[workload.RunID]time.Duration{},
		firstStart: map[workload.JobID]time.Duration{},
		crashes:    map[workload.JobID]bool{},
		stopStart:  map[workload.RunID]time.Duration{},
	}
	d.observe = func(a Action) {
		if request, ok := a.(AdviceRequest); ok {
			d.service.call(d.now, request)
		}
	}
	d.startOutcome = func(s StartOrder) StartOutcome {
		if s.Ticket != "" && !d.service.accepts(d.now, s) {
			d.refused++
			return StartNoTicket
		}
		d.runStart[s.Run] = d.now
		if _, started := d.firstStart[s.Run.Task.Job]; !started {
			d.firstStart[s.Run.Task.Job] = d.now
		}
		return StartOK
	}
	return d
}

// call takes a request; it panics if one is in progress.
func (s *simAdviceService) call(now time.Duration, r AdviceRequest) {
	if s.pending != nil {
		panic("two requests for advice at the same time")
	}
	s.calls = append(s.calls, r)
	s.pending = &r
	s.answerAt = now + callDuration(&s.advice, len(r.Workers))
	if s.loses != nil && s.loses(r) {
		s.answerAt = now + r.Timeout
	}
}

// answer returns the answer to the pending request if it is due.
func (s *simAdviceService) answer(now time.Duration) (AdviceResponse, bool) {
	if s.pending == nil || now < s.answerAt {
		return AdviceResponse{}, false
	}
	r := *s.pending
	s.pending = nil
	if s.fails != nil && s.fails(r) || s.loses != nil && s.loses(r) {
		return AdviceResponse{Request: r, Failed: true}, true
	}
	return s.issue(now, r), true
}

// issue returns an answer with tickets for the allowed workers of a request.
func (s *simAdviceService) issue(now time.Duration, r AdviceRequest) AdviceResponse {
	s.issued++
	lifetime := cmp.Or(s.lifetime, s.advice.TicketLifetime)
	tickets := map[WorkerID]string{}
	for _, id := range r.Workers {
		if s.allows != nil && !s.allows(r, id) {
			continue
		}
		tickets[id] = fmt.Sprintf("%s%d", ticketPrefix(workload.TaskID{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}, id), s.issued)
		s.validTo[tickets[id]] = now + lifetime
	}
	return AdviceResponse{Request: r, Tickets: tickets, Lifetime: lifetime}
}

// ticketPrefix is how the tickets for the step of a task on a worker begin.
func ticketPrefix(task workload.TaskID, id WorkerID) string {
	return fmt.Sprintf("%s.%d.%d@%s#", task.Job, task.Occurrence, task.Step, id)
}

// accepts reports whether a worker accepts the ticket of a start.
func (s *simAdviceService) accepts(now time.Duration, start StartOrder) bool {
	if s.rejects != nil && s.rejects(start.Run.Task.Job) {
		return false
	}
	return now < s.validTo[start.Ticket]
}

// callsFor returns how many requests were made for a job.
func (s *simAdviceService) callsFor(id workload.JobID) int {
	n := 0
	for _, r := range s.calls {
		if r.Job == id {
			n++
		}
	}
	return n
}

// submitAdvised submits a job of a queue with advice.
func (d *adviceDriver) submitAdvised(priority int, steps ...workload.Step) workload.JobID {
	return d.submitAdvisedBy("", priority, steps...)
}

// submitAdvisedBy submits a job of an account to a queue with advice.
func (d *adviceDriver) submitAdvisedBy(account string, priority int, steps ...workload.Step) workload.JobID {
	d.jobs++
	id := workload.JobID(fmt.Sprintf("job%d", d.jobs))
	advice := d.service.advice
	d.handle(JobSubmitted{Revision: int64(d.jobs), Job: workload.Job{
		ID: id, Queue: fmt.Sprint("q", priority), Account: account, Service: "s", Steps: steps,
		QueuePolicy: workload.QueuePolicy{Priority: priority, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Second, Advice: &advice},
	}})
	d.settle()
	return id
}

// play advances the time in steps of 50 ms: the service answers, workers report, and runs end.
func (d *adviceDriver) play(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += 50 * time.Millisecond
		if response, due := d.service.answer(d.now); due {
			d.handle(response)
		}
		for _, w := range d.e.sortedWorkers() {
			d.reportWorker(w)
		}
		d.tick()
	}
}

// reportWorker reports the runs of a worker, and the end of those that are over.
func (d *adviceDriver) reportWorker(w *worker) {
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlacements() {
		run := p.runID()
		startedAt, started := d.runStart[run]
		if !started {
			continue
		}
		if _, stopping := d.stopStart[run]; p.stopping && !stopping {
			d.stopStart[run] = d.now
		}
		elapsed, estimate := d.now-startedAt, p.unit.spec().Estimate
		switch {
		case p.stopping && d.now-d.stopStart[run] >= d.stopTime:
			d.endCounts[w.info.ID]++
			r.Ended = append(r.Ended, RunEnd{Sequence: d.endCounts[w.info.ID], Run: run, Reason: EndStopped})
		case d.crashes[run.Task.Job]:
			d.endCounts[w.info.ID]++
			r.Ended = append(r.Ended, RunEnd{Sequence: d.endCounts[w.info.ID], Run: run, Reason: EndFailed})
		case p.unit.spec().LongRunning:
			r.Running = append(r.Running, RunStatus{Run: run, Percent: 100})
		case elapsed >= estimate:
			d.endCounts[w.info.ID]++
			r.Ended = append(r.Ended, RunEnd{Sequence: d.endCounts[w.info.ID], Run: run, Reason: EndDone})
		default:
			r.Running = append(r.Running, RunStatus{Run: run, Percent: int(100 * elapsed / estimate)})
		}
	}
	d.report(r)
}

// startedWithin plays until the first task of a job starts, for at most limit. It returns how long that
// took.
func (d *adviceDriver) startedWithin(id workload.JobID, limit time.Duration) (time.Duration, bool) {
	begin := d.now
	for d.now-begin < limit {
		if at, started := d.firstStart[id]; started {
			return at - begin, true
		}
		d.play(50 * time.Millisecond)
	}
	return limit, false
}

// callsBefore returns how many of the calls from the n-th on precede the first one for a job.
func (s *simAdviceService) callsBefore(id workload.JobID, n int) int {
	i := slices.IndexFunc(s.calls[n:], func(r AdviceRequest) bool { return r.Job == id })
	if i < 0 {
		return len(s.calls) - n
	}
	return i
}
