package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// The policy of a queue may restrict which workers may run a step. An external advice service
// decides this. It handles one slow call at a time and issues a ticket for each allowed worker,
// which a start order must carry. A unit is placed only on workers that it has tickets for. Tickets
// are requested for units that lack nothing else to be placed; see requestAdvice.
const (
	// minTicketValidity is how long a ticket must remain valid when a placement is decided,
	// since storing the placement and sending the order take time. A ticket with a lifetime of less than
	// twice that must remain valid for half of its lifetime.
	minTicketValidity = 400 * time.Millisecond
	// adviceRetryDelay is the delay before the next request after a failed one.
	adviceRetryDelay = 250 * time.Millisecond
	// adviceTimeoutMargin is how much longer than declared a request may take after an answered one. Each
	// failure in a row doubles the timeout, up to maxAdviceTimeout, since the service may be slow.
	adviceTimeoutMargin = time.Second
	maxAdviceTimeout    = 10 * time.Second
)

// AdviceRequest asks the advice service which workers may run a step. At most one is in flight;
// the caller answers it with an AdviceResponse.
type AdviceRequest struct {
	Job        workload.JobID
	Occurrence int
	Step       int
	Workers    []WorkerID
	// Timeout is how long the caller waits for an answer. Nothing else is requested meanwhile.
	Timeout time.Duration
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

// stepTickets holds the tickets of one step, the workers that were denied, and the history of its
// requests since one of its tasks last started.
type stepTickets struct {
	granted map[WorkerID]ticket
	denied  map[WorkerID]bool
	// calls counts the requests. callsInVain counts those that were answered without a denial: the
	// step had all tickets that it asked for, and nothing started.
	calls, callsInVain int
	lastCallAt         time.Duration
	// notBefore is the earliest time of the next request.
	notBefore time.Duration
}

type ticket struct {
	value     string
	expiresAt time.Duration
	// usableUntil is until when a placement may be decided with it.
	usableUntil time.Duration
}

// newTicket returns a ticket that is valid for lifetime from now on.
func newTicket(value string, now, lifetime time.Duration) ticket {
	return ticket{value: value, expiresAt: now + lifetime, usableUntil: now + lifetime - min(minTicketValidity, lifetime/2)}
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

// anyUsable reports whether a placement may be decided with some ticket now.
func (t *stepTickets) anyUsable(now time.Duration) bool {
	for _, granted := range t.granted {
		if now < granted.usableUntil {
			return true
		}
	}
	return false
}

// tickets returns the tickets of u's step.
func (u *unit) tickets() *stepTickets { return u.job.ticketsFor(u.occurrenceStep()) }

// needsTicket reports whether the unit may start only with a ticket of the advice service.
func (u *unit) needsTicket() bool { return u.job.spec.QueuePolicy.Advice != nil }

// ticketFor returns a valid ticket for starting u on a worker. The ticket is empty if u needs
// none; ok is false if u needs one and has none.
func (u *unit) ticketFor(now time.Duration, id WorkerID) (value string, ok bool) {
	if !u.needsTicket() {
		return "", true
	}
	t, found := u.tickets().granted[id]
	return t.value, found && now < t.expiresAt
}

// mayPlaceOn reports whether u needs no ticket for a worker, or will have a usable one at a time.
func (u *unit) mayPlaceOn(at time.Duration, w *worker) bool {
	return !u.needsTicket() || at < u.tickets().granted[w.info.ID].usableUntil
}

// denied reports whether the advice service does not allow u on a worker.
func (u *unit) denied(w *worker) bool {
	return u.needsTicket() && u.tickets().denied[w.info.ID]
}

// noteStartWithTicket records that a task of u has started.
func (u *unit) noteStartWithTicket() {
	if u.needsTicket() {
		t := u.tickets()
		t.calls, t.callsInVain, t.notBefore = 0, 0, 0
	}
}

// handleAdvice stores the tickets and denials of a response.
func (e *Engine) handleAdvice(now time.Duration, ev AdviceResponse) {
	e.adviceCall = nil
	e.planNeeded = true
	if ev.Failed {
		e.adviceFailures++
		e.adviceRetryAt = now + adviceRetryDelay
		return
	}
	e.adviceFailures = 0
	j := e.jobs[ev.Request.Job]
	if j == nil || j.state.Final() {
		return
	}
	tickets := j.ticketsFor(occurrenceStep{ev.Request.Occurrence, ev.Request.Step})
	deniedBefore := len(tickets.denied)
	for _, id := range ev.Request.Workers {
		value, allowed := ev.Tickets[id]
		if !allowed {
			tickets.denied[id] = true
			continue
		}
		tickets.granted[id] = newTicket(value, now, ev.Lifetime)
	}
	if len(tickets.denied) == deniedBefore {
		tickets.noteGranted(now)
	}
}

// noteGranted records that a request was answered with all of its tickets. If the ones before were too
// and nothing started, the next request is delayed.
func (t *stepTickets) noteGranted(now time.Duration) {
	t.callsInVain++
	if t.callsInVain > 1 {
		t.notBefore = now + min(initialAdvicePause<<min(t.callsInVain-2, maxAdviceDoublings), maxAdvicePause)
	}
}

// The delay of a step's next request after two that were answered with all tickets and led to no start.
// It doubles with each further one, so that such steps seldom make others wait for a call in progress.
const (
	initialAdvicePause = 250 * time.Millisecond
	maxAdvicePause     = 4 * time.Second
	maxAdviceDoublings = 8 // limits the doubling
)
