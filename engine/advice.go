package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// The policy of a queue may restrict which workers may run a step. An external advice service
// decides this. It handles one slow call at a time and issues a ticket for each allowed worker,
// which a start order must carry. Tickets are requested in advance, for a few workers per call
// and for the most urgent unit first; a unit is placed only on workers that it has tickets for.
const (
	// minTicketValidity is how long a ticket must remain valid when a placement is decided,
	// since storing the placement and sending the order take time.
	minTicketValidity = 400 * time.Millisecond
	// minAdviceWorkers and maxAdviceWorkers bound the workers in one request. A request names
	// more workers than the unit has members, as some may be denied; each one adds to the
	// duration of the call.
	minAdviceWorkers = 3
	maxAdviceWorkers = 12
	// adviceRetryDelay is the delay before the next request after a failed one.
	adviceRetryDelay = 250 * time.Millisecond
	// advicePrefetchLead is added to the duration of a call to decide when to request tickets
	// for a step whose dependencies still run.
	advicePrefetchLead = 300 * time.Millisecond
)

// AdviceRequest asks the advice service which workers may run a step. At most one is in flight;
// the caller answers it with an AdviceResponse.
type AdviceRequest struct {
	Job        workload.JobID
	Occurrence int
	Step       int
	Workers    []WorkerID
}

// AdviceResponse answers an AdviceRequest. Workers in the request that have no ticket may not
// run the step in their current incarnation.
type AdviceResponse struct {
	Request  AdviceRequest
	Tickets  map[WorkerID]string
	Lifetime time.Duration
	Failed   bool // no answer was received
}

func (AdviceRequest) isAction() {}
func (AdviceResponse) isEvent() {}

// stepTickets holds the tickets of one step and the workers that were denied.
type stepTickets struct {
	granted map[WorkerID]ticket
	denied  map[WorkerID]bool
	// callsInVain counts the requests that were answered, or failed, since a task of the step last
	// started. lastCallAt is when the last request was sent.
	callsInVain int
	lastCallAt  time.Duration
}

// validAt returns the number of tickets that are valid at a time.
func (t *stepTickets) validAt(at time.Duration) int {
	n := 0
	for _, granted := range t.granted {
		if at < granted.expiresAt {
			n++
		}
	}
	return n
}

type ticket struct {
	value     string
	expiresAt time.Duration
}

// ticketsFor returns the tickets of a step, creating an empty set if there is none.
func (j *job) ticketsFor(at occurrenceStep) *stepTickets {
	if j.ticketsByStep == nil {
		j.ticketsByStep = map[occurrenceStep]*stepTickets{}
	}
	t := j.ticketsByStep[at]
	if t == nil {
		t = &stepTickets{granted: map[WorkerID]ticket{}, denied: map[WorkerID]bool{}}
		j.ticketsByStep[at] = t
	}
	return t
}

// needsTicket reports whether the unit may start only with a ticket of the advice service.
func (u *unit) needsTicket() bool { return u.job.spec.QueuePolicy.Advice != nil }

// ticketFor returns a valid ticket for starting u on a worker. The ticket is empty if u needs
// none; ok is false if u needs one and has none.
func (u *unit) ticketFor(now time.Duration, id WorkerID) (value string, ok bool) {
	if !u.needsTicket() {
		return "", true
	}
	t, found := u.job.ticketsFor(u.occurrenceStep()).granted[id]
	return t.value, found && now < t.expiresAt
}

// noteStartWithTicket records that a task of u has started.
func (u *unit) noteStartWithTicket() {
	if u.needsTicket() {
		u.job.ticketsFor(u.occurrenceStep()).callsInVain = 0
	}
}

// requestAdvice requests tickets for the first unit in the queue that lacks them, else for a
// blocked unit whose dependencies are about to end.
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

// requestTickets requests tickets for u if those it has don't suffice for all its members. It
// reports whether it did.
func (e *Engine) requestTickets(r *round, u *unit) bool {
	if !u.needsTicket() {
		return false
	}
	tickets := u.job.ticketsFor(u.occurrenceStep())
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
	e.logAdviceRequest(r.now, u, tickets, len(request))
	tickets.lastCallAt = r.now
	e.adviceInFlight = true
	e.actions = append(e.actions, AdviceRequest{Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.step, Workers: request})
	return true
}

// logAdviceRequest logs a request for tickets for a number of workers, with what earlier ones of the
// step led to.
func (e *Engine) logAdviceRequest(now time.Duration, u *unit, tickets *stepTickets, workers int) {
	detail := fmt.Sprintf("step %d of %d tasks at once: %d workers; %d valid tickets, %d workers denied", u.step, u.size, workers, tickets.validAt(now), len(tickets.denied))
	if tickets.callsInVain > 0 {
		detail += fmt.Sprintf("; %d calls without a start since, the last one %d ms ago", tickets.callsInVain, (now - tickets.lastCallAt).Milliseconds())
	}
	e.logJobDecision(u.job, "advice requested", detail)
}

// candidatesFor returns the workers with enough total capacity for a member of u, those with
// enough free capacity first.
func (r *round) candidatesFor(u *unit) []*worker {
	var withCapacity, withoutCapacity []*worker
	for _, w := range r.usable.workers {
		if w.info.Service != u.job.spec.Service || !w.hasLabel(u.spec().Label) || !u.demand().FitsIn(w.info.Capacity) {
			continue
		}
		if u.demand().FitsIn(w.free()) {
			withCapacity = append(withCapacity, w)
		} else {
			withoutCapacity = append(withoutCapacity, w)
		}
	}
	return append(withCapacity, withoutCapacity...)
}

// dependenciesEndSoon reports whether the steps that u depends on are expected to end within
// the time that a request for tickets takes.
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
			for _, p := range o.placements {
				if e.remaining(now, p) > lead {
					return false
				}
			}
		}
	}
	return true
}

// handleAdvice stores the tickets and denials of a response.
func (e *Engine) handleAdvice(now time.Duration, ev AdviceResponse) {
	e.adviceInFlight = false
	e.planNeeded = true
	if ev.Failed {
		e.adviceRetryAt = now + adviceRetryDelay
	}
	j := e.jobs[ev.Request.Job]
	if j == nil {
		return
	}
	tickets := j.ticketsFor(occurrenceStep{ev.Request.Occurrence, ev.Request.Step})
	tickets.callsInVain++
	if ev.Failed {
		return
	}
	for _, id := range ev.Request.Workers {
		value, allowed := ev.Tickets[id]
		if !allowed {
			tickets.denied[id] = true
			continue
		}
		tickets.granted[id] = ticket{value: value, expiresAt: now + ev.Lifetime}
	}
}
