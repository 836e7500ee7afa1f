package engine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// adviceCall is the request to the advice service that is in flight.
type adviceCall struct {
	tickets    *stepTickets
	expectedAt time.Duration // when its answer is expected
	// kept is the capacity that is kept for the units of the step until then.
	kept map[*worker]workload.Resources
}

// requestAdvice makes the next request to the advice service, if none is in flight: for a step whose
// units could be placed now, else for one whose units are expected to fit soon.
func (r *round) requestAdvice() {
	e := r.e
	if e.adviceCall != nil || r.now < e.adviceRetryAt {
		return
	}
	need := r.nextAdviceNeed(r.needs.inOrder)
	if need == nil {
		need = r.nextAdviceNeed(r.upcomingAdviceNeeds())
	}
	if need == nil {
		return
	}
	u, workers := need.unit, r.requestWorkers(need)
	e.logAdviceRequest(r.now, need, len(workers))
	need.tickets.calls++
	need.tickets.lastCallAt = r.now
	duration := callDuration(u.job.spec.QueuePolicy.Advice, len(workers))
	e.adviceCall = &adviceCall{tickets: need.tickets, expectedAt: r.now + duration, kept: need.kept}
	e.actions = append(e.actions, AdviceRequest{
		Job: u.job.spec.ID, Occurrence: u.occurrence, Step: u.step, Workers: workers, Timeout: e.adviceTimeout(duration),
	})
}

// adviceTimeout returns how long to wait for the answer to a request that is declared to take duration.
func (e *Engine) adviceTimeout(duration time.Duration) time.Duration {
	return min((duration+adviceTimeoutMargin)<<min(e.adviceFailures, maxAdviceDoublings), maxAdviceTimeout)
}

// nextAdviceNeed returns the step whose request is next, or nil if there is none. The needs are in the
// order of the queue.
//
// The first request of a step goes by that order. A step may need further ones: its tickets may be
// denied, expire before others arrive, or lose their worker to other work, or a request may fail. Such
// steps could occupy the service for ever. So if any of them waits, three rules take turns: the first
// in the queue, the first in the queue without a request so far, and the step whose last request was the
// longest ago. No step then waits for more than three requests for each other one, whatever comes of
// them, and the most urgent one waits for two at most.
func (r *round) nextAdviceNeed(needs []*adviceNeed) *adviceNeed {
	var first, firstNew, longestAgo *adviceNeed
	for _, n := range needs {
		if r.now < n.tickets.notBefore {
			continue
		}
		if first == nil {
			first = n
		}
		if !n.repeated() {
			firstNew = cmp.Or(firstNew, n)
			continue
		}
		if longestAgo == nil || n.tickets.lastCallAt < longestAgo.tickets.lastCallAt {
			longestAgo = n
		}
	}
	if longestAgo == nil {
		return first
	}
	r.e.adviceTurn++
	switch r.e.adviceTurn % 3 {
	case 0:
		return longestAgo
	case 1:
		return first
	default:
		return cmp.Or(firstNew, longestAgo)
	}
}

// upcomingAdviceNeeds returns the steps with units that are expected to fit soon or whose dependencies
// are about to end, by priority.
func (r *round) upcomingAdviceNeeds() []*adviceNeed {
	for _, j := range r.e.orderedJobs {
		for _, u := range j.units {
			if u.state != unitBlocked || !u.needsTicket() || r.laterNeeds.byStep[u.key()] != nil {
				continue
			}
			if lead := r.requestLead(u); r.e.dependenciesEndWithin(r.now, u, lead) {
				r.requestAheadOfDependencies(u, lead)
			}
		}
	}
	slices.SortStableFunc(r.laterNeeds.inOrder, func(a, b *adviceNeed) int {
		return cmp.Compare(a.unit.job.spec.QueuePolicy.Priority, b.unit.job.spec.QueuePolicy.Priority)
	})
	return r.laterNeeds.inOrder
}

// requestAheadOfDependencies records that u, whose dependencies end within a time, needs tickets for
// workers on which it is expected to fit by then.
func (r *round) requestAheadOfDependencies(u *unit, within time.Duration) {
	for _, set := range r.preferredDomains(u).domains {
		if _, slots := r.forecastFit(u, set, within); slots != nil {
			r.requestAhead(u, slots, within)
			return
		}
	}
}

// requestAhead records that u is expected to fit on the workers of slots after a delay, if it needs
// tickets for that.
func (r *round) requestAhead(u *unit, slots map[*worker]int, delay time.Duration) {
	if lacking := u.withoutTicketAt(r.now+delay, sortedWorkersOf(slots)); len(lacking) > 0 {
		r.laterNeeds.add(u, lacking)
	}
}

// sortedWorkersOf returns the workers of slots ordered by ID.
func sortedWorkersOf(slots map[*worker]int) []*worker {
	return slices.SortedFunc(maps.Keys(slots), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// dependenciesEndWithin reports whether the steps that u depends on are expected to end within a time.
func (e *Engine) dependenciesEndWithin(now time.Duration, u *unit, lead time.Duration) bool {
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

// logAdviceRequest logs a request for tickets for a number of workers, with what earlier ones of the
// step led to.
func (e *Engine) logAdviceRequest(now time.Duration, need *adviceNeed, workers int) {
	u, tickets := need.unit, need.tickets
	detail := fmt.Sprintf("step %d of %d tasks at once: %d workers; %d valid tickets, %d workers denied", u.step, u.size, workers, tickets.validAt(now), len(tickets.denied))
	if tickets.calls > 0 {
		detail += fmt.Sprintf("; %d calls without a start since, the last one %d ms ago", tickets.calls, (now - tickets.lastCallAt).Milliseconds())
	}
	e.logJobDecision(u.job, "advice requested", detail)
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
