package engine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

var simAdviceSeeds = flag.Int("sim-advice-seeds", 6, "number of random worlds in which half of the jobs need advice")

// Guards against jobs that starve for want of a ticket beside others that wait in vain, against starts
// without a valid ticket, and against calls for jobs that fit nowhere, while planners change, calls fail,
// workers are denied and the faults of planFaults occur.
func TestSimulationWithAdvice(t *testing.T) {
	for i := range *simAdviceSeeds {
		seed := *simFirstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newSimCluster(t, seed)
			w.advice = newSimAdvice(seed)
			w.planFaults(faultTime)
			w.planSubmissions(faultTime)
			w.planVainJobs(faultTime)
			w.runToEnd()
			w.checkAdviceProbes()
			t.Log(w.counts)
		})
	}
}

// simAdvice is the advice service of a world.
type simAdvice struct {
	simAdviceService
	rng *rand.Rand
	// fitsNowhere holds jobs that are larger than the fleet, rejected those whose tickets the workers
	// reject.
	fitsNowhere, rejected map[workload.JobID]bool
	// started holds the jobs of which a task has started with a ticket.
	started   map[workload.JobID]bool
	submitted int
}

func newSimAdvice(seed uint64) *simAdvice {
	a := &simAdvice{
		rng:         rand.New(rand.NewPCG(seed, 11)),
		fitsNowhere: map[workload.JobID]bool{},
		rejected:    map[workload.JobID]bool{},
		started:     map[workload.JobID]bool{},
	}
	a.simAdviceService = simAdviceService{
		advice:  workload.Advice{DecisionTime: 200 * time.Millisecond, TimePerWorker: 20 * time.Millisecond, TicketLifetime: 2 * time.Second},
		allows:  deniesOneWorker,
		rejects: func(id workload.JobID) bool { return a.rejected[id] },
		validTo: map[string]time.Duration{},
	}
	return a
}

// deniesOneWorker denies each step one worker in nine, and allows it all others.
func deniesOneWorker(r AdviceRequest, id WorkerID) bool {
	var index, incarnation int
	if _, err := fmt.Sscanf(string(id), "w%d-%d", &index, &incarnation); err != nil {
		panic(err)
	}
	return (len(r.Job)+int(r.Job[len(r.Job)-1])+r.Step)%9 != index
}

// assign makes half of the jobs need advice.
func (a *simAdvice) assign(j *workload.Job) {
	if a == nil {
		return
	}
	if a.submitted++; a.submitted%2 == 0 || a.waitsInVain(j.ID) {
		j.QueuePolicy.Advice = &a.advice
	}
}

// waitsInVain reports whether a job can never be done.
func (a *simAdvice) waitsInVain(id workload.JobID) bool {
	return a != nil && (a.fitsNowhere[id] || a.rejected[id])
}

// planVainJobs submits jobs that can never be done. They are of use for longer than the world lasts.
func (w *simCluster) planVainJobs(end time.Duration) {
	for i := range 8 {
		id := workload.JobID(fmt.Sprintf("vain%d", i))
		s := patient(1)
		if i%2 == 0 {
			s = patient(len(w.workers) + 1)
			w.advice.fitsNowhere[id] = true
		} else {
			w.advice.rejected[id] = true
		}
		j := &workload.Job{ID: id, Queue: "vain", Account: "small", Service: "s", Steps: []workload.Step{s}, QueuePolicy: workload.QueuePolicy{MaxAttempts: 4, Stretch: 10}}
		at := time.Duration(w.advice.rng.Int64N(int64(end)))
		w.events = append(w.events, simEvent{at, func() { w.submit(j, 0) }})
	}
}

// requestAdvice has the service answer a request, late if it has others to answer first.
func (w *simCluster) requestAdvice(e *Engine, r AdviceRequest) {
	a := w.advice
	w.counts["calls for advice"]++
	if a.fitsNowhere[r.Job] {
		w.reportViolation("call for advice for job %s, which fits nowhere", r.Job)
	}
	a.answerAt = max(a.answerAt, w.now) + callDuration(&a.advice, len(r.Workers))
	lost := !w.faultsEnded && a.rng.IntN(20) == 0
	w.after(a.answerAt-w.now, func() {
		response := a.issue(w.now, r)
		response.Failed = lost
		if w.acts(e) {
			e.Step(w.now, response)
		}
	})
}

// rejectsTicket reports whether a worker rejects the ticket of a start.
func (w *simCluster) rejectsTicket(sw *simWorker, s StartOrder) bool {
	j := w.jobs[s.Run.Task.Job]
	if w.advice == nil || j == nil || j.QueuePolicy.Advice == nil {
		return false
	}
	if !strings.HasPrefix(s.Ticket, ticketPrefix(s.Run.Task, sw.info.ID)) {
		w.reportViolation("start of %v on worker %s with ticket %q", s.Run, sw.info.ID, s.Ticket)
	}
	if !w.advice.accepts(w.now, s) {
		w.counts["rejected tickets"]++
		return true
	}
	w.advice.started[j.ID] = true
	return false
}

// checkAdviceProbes submits small jobs beside those that wait in vain, and checks how long they wait.
func (w *simCluster) checkAdviceProbes() {
	for i := range 10 {
		j := &workload.Job{
			ID: workload.JobID(fmt.Sprintf("probe%d", i)), Queue: "probe", Account: "small", Service: "s", Steps: []workload.Step{taskStep(1, 1)},
			QueuePolicy: workload.QueuePolicy{Priority: 2, MaxAttempts: 4, Stretch: 3, Advice: &w.advice.advice},
		}
		submittedAt := w.now
		w.submit(j, 0)
		for w.now-submittedAt < maxIdleWait && !w.advice.started[j.ID] && !w.t.Failed() {
			w.run(w.now + simStep)
		}
		if w.t.Failed() {
			return // nothing advances any more
		}
		if !w.advice.started[j.ID] {
			w.reportViolation("job %s has not started %v after its submission", j.ID, maxIdleWait)
			return
		}
		w.run(w.now + time.Duration(w.advice.rng.IntN(1000))*time.Millisecond)
	}
}
