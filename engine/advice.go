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
	// ticketMargin is how long a ticket must still be valid to be placed by: the record and
	// the order follow.
	ticketMargin = 400 * time.Millisecond
	// Workers asked for in one call: some more than the unit has members, since some are
	// not allowed. A call takes longer for each.
	adviceLeast = 3
	adviceMost  = 12
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 250 * time.Millisecond
	// adviceAhead is added to the time that a call takes when tickets are fetched for steps
	// whose predecessors still run.
	adviceAhead = 300 * time.Millisecond
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

// tickets is what is known of the workers that may run a step.
type tickets struct {
	held   map[WorkerID]ticket
	denied map[WorkerID]bool
}

type ticket struct {
	text  string
	until time.Duration
}

func (j *job) ticketsOf(at stepAt) *tickets {
	if j.tickets == nil {
		j.tickets = map[stepAt]*tickets{}
	}
	t := j.tickets[at]
	if t == nil {
		t = &tickets{held: map[WorkerID]ticket{}, denied: map[WorkerID]bool{}}
		j.tickets[at] = t
	}
	return t
}

func (u *unit) advised() bool { return u.job.spec.QueuePolicy.Advice != nil }

// ticketOn returns the ticket with which u may start on a worker; it is empty where none
// is needed.
func (u *unit) ticketOn(now time.Duration, id WorkerID) (text string, ok bool) {
	if !u.advised() {
		return "", true
	}
	t, held := u.job.ticketsOf(u.at()).held[id]
	return t.text, held && now < t.until
}

// askAdvice asks for the unit that needs tickets first.
func (e *Engine) askAdvice(r *round, queue []*unit) {
	if e.asking || r.now < e.askAfter {
		return
	}
	for _, u := range queue {
		if e.ask(r, u) {
			return
		}
	}
	for _, j := range e.sequence {
		for _, u := range j.units {
			if u.state == unitBlocked && u.advised() && e.soon(r.now, u) && e.ask(r, u) {
				return
			}
		}
	}
}

// ask asks for tickets of u, where those that it has don't reach.
func (e *Engine) ask(r *round, u *unit) bool {
	if !u.advised() {
		return false
	}
	known := u.job.ticketsOf(u.at())
	room := 0
	var ask []WorkerID
	for _, w := range r.byRoom(u) {
		id := w.info.ID
		if _, ok := u.ticketOn(r.now+ticketMargin, id); ok {
			room += u.demand().CountFitting(w.free(), u.size)
			continue
		}
		if !known.denied[id] && len(ask) < min(max(2*u.size, adviceLeast), adviceMost) {
			ask = append(ask, id)
		}
	}
	if room >= u.size || len(ask) == 0 {
		return false
	}
	e.asking = true
	e.actions = append(e.actions, AdviceRequest{Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.step, Workers: ask})
	return true
}

// byRoom returns the workers that could hold a member of u, those with room for one now
// first.
func (r *round) byRoom(u *unit) []*worker {
	var now, later []*worker
	for _, w := range r.all.workers {
		if w.info.Service != u.job.spec.Service || !w.hasLabel(u.spec().Label) || !u.demand().FitsIn(w.info.Capacity) {
			continue
		}
		if u.demand().FitsIn(w.free()) {
			now = append(now, w)
		} else {
			later = append(later, w)
		}
	}
	return append(now, later...)
}

// soon says whether the steps before u's are about to end.
func (e *Engine) soon(now time.Duration, u *unit) bool {
	advice := u.job.spec.QueuePolicy.Advice
	lead := advice.DecisionTime + adviceMost*advice.TimePerWorker + adviceAhead
	for _, before := range u.spec().DependsOn {
		for _, o := range u.job.units {
			if o.occurrence != u.occurrence || o.step != before || o.state == unitDone {
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

// advice takes the answer to a question.
func (e *Engine) advice(now time.Duration, ev AdviceResponse) {
	e.asking = false
	e.replan = true
	if ev.Failed {
		e.askAfter = now + adviceRetry
		return
	}
	j := e.jobs[ev.Request.Job]
	if j == nil {
		return
	}
	known := j.ticketsOf(stepAt{ev.Request.Occurrence, ev.Request.Step})
	for _, id := range ev.Request.Workers {
		text, allowed := ev.Tickets[id]
		if !allowed {
			known.denied[id] = true
			continue
		}
		known.held[id] = ticket{text: text, until: now + ev.Lifetime}
	}
}
