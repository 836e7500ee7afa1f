package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Queues may be under a policy that lets only some workers run a step. A service that the
// operators run decides it, one call at a time and slowly, and gives out a ticket for each
// worker, which a start must carry. Tickets are asked for ahead, a few workers a call, the
// most urgent unit's first; no unit is placed where it has none.
const (
	// minTicketValidity is how long a ticket must still be valid to be placed by: the record and
	// the order follow.
	minTicketValidity = 400 * time.Millisecond
	// Workers asked for in one call: some more than the unit has members, since some are
	// not allowed. A call takes longer for each.
	minAdviceWorkers = 3
	maxAdviceWorkers = 12
	// adviceRetryDelay is the pause after a call that failed.
	adviceRetryDelay = 250 * time.Millisecond
	// advicePrefetchLead is added to the time that a call takes when tickets are fetched for steps
	// whose predecessors still run.
	advicePrefetchLead = 300 * time.Millisecond
)

// AdviceRequest asks the service which workers may run a step. One is in progress at a time;
// it is followed by Advised.
type AdviceRequest struct {
	Job        workload.JobID
	Occurrence int
	Step       int
	Workers    []WorkerID
}

// AdviceResponse is the answer to AskAdvice. Workers that were asked for and have no ticket may
// not run the step in this life.
type AdviceResponse struct {
	Request  AdviceRequest
	Tickets  map[WorkerID]string
	Lifetime time.Duration
	Failed   bool // no answer; nothing is known
}

func (AdviceRequest) isAction() {}
func (AdviceResponse) isEvent() {}

// stepTickets is what is known of the workers that may run a step.
type stepTickets struct {
	granted map[WorkerID]ticket
	denied  map[WorkerID]bool
}

type ticket struct {
	value     string
	expiresAt time.Duration
}

func (j *job) ticketsFor(at stepAt) *stepTickets {
	if j.ticketsByStep == nil {
		j.ticketsByStep = map[stepAt]*stepTickets{}
	}
	t := j.ticketsByStep[at]
	if t == nil {
		t = &stepTickets{granted: map[WorkerID]ticket{}, denied: map[WorkerID]bool{}}
		j.ticketsByStep[at] = t
	}
	return t
}

func (u *unit) needsTicket() bool { return u.job.spec.QueuePolicy.Advice != nil }

// ticketFor returns the ticket with which u may start on a worker; it is empty where none
// is needed.
func (u *unit) ticketFor(now time.Duration, id WorkerID) (value string, ok bool) {
	if !u.needsTicket() {
		return "", true
	}
	t, found := u.job.ticketsFor(u.at()).granted[id]
	return t.value, found && now < t.expiresAt
}

// requestAdvice asks for the unit that needs tickets first.
func (e *Engine) requestAdvice(r *round, queue []*unit) {
	if e.adviceInFlight || r.now < e.adviceRetryAt {
		return
	}
	for _, u := range queue {
		if e.requestTickets(r, u) {
			return
		}
	}
	for _, j := range e.orderedJobs {
		for _, u := range j.units {
			if u.state == unitBlocked && u.needsTicket() && e.dependenciesEndSoon(r.now, u) && e.requestTickets(r, u) {
				return
			}
		}
	}
}

// requestTickets asks for tickets of u, where those that it has don't reach.
func (e *Engine) requestTickets(r *round, u *unit) bool {
	if !u.needsTicket() {
		return false
	}
	tickets := u.job.ticketsFor(u.at())
	placeable := 0
	var request []WorkerID
	for _, w := range r.candidatesFor(u) {
		id := w.info.ID
		if _, ok := u.ticketFor(r.now+minTicketValidity, id); ok {
			placeable += u.demand().CountFitting(w.free(), u.size)
			continue
		}
		if !tickets.denied[id] && len(request) < min(max(2*u.size, minAdviceWorkers), maxAdviceWorkers) {
			request = append(request, id)
		}
	}
	if placeable >= u.size || len(request) == 0 {
		return false
	}
	e.adviceInFlight = true
	e.actions = append(e.actions, AdviceRequest{Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.step, Workers: request})
	return true
}

// candidatesFor returns the workers that could hold a member of u, those with room for one now
// first.
func (r *round) candidatesFor(u *unit) []*worker {
	var withRoom, withoutRoom []*worker
	for _, w := range r.all.workers {
		if w.info.Service != u.job.spec.Service || !w.hasLabel(u.spec().Label) || !u.demand().FitsIn(w.info.Capacity) {
			continue
		}
		if u.demand().FitsIn(w.free()) {
			withRoom = append(withRoom, w)
		} else {
			withoutRoom = append(withoutRoom, w)
		}
	}
	return append(withRoom, withoutRoom...)
}

// dependenciesEndSoon says whether the steps before u's are about to end.
func (e *Engine) dependenciesEndSoon(now time.Duration, u *unit) bool {
	advice := u.job.spec.QueuePolicy.Advice
	lead := advice.DecisionTime + maxAdviceWorkers*advice.TimePerWorker + advicePrefetchLead
	for _, dep := range u.spec().DependsOn {
		for _, o := range u.job.units {
			if o.occurrence != u.occurrence || o.step != dep || o.state == unitDone {
				continue
			}
			if o.state != unitActive {
				return false
			}
			for _, p := range o.places {
				if e.remaining(now, p) > lead {
					return false
				}
			}
		}
	}
	return true
}

// handleAdvice takes the answer to a question.
func (e *Engine) handleAdvice(now time.Duration, ev AdviceResponse) {
	e.adviceInFlight = false
	e.planNeeded = true
	if ev.Failed {
		e.adviceRetryAt = now + adviceRetryDelay
		return
	}
	j := e.jobs[ev.Request.Job]
	if j == nil {
		return
	}
	tickets := j.ticketsFor(stepAt{ev.Request.Occurrence, ev.Request.Step})
	for _, id := range ev.Request.Workers {
		value, allowed := ev.Tickets[id]
		if !allowed {
			tickets.denied[id] = true
			continue
		}
		tickets.granted[id] = ticket{value: value, expiresAt: now + ev.Lifetime}
	}
}
