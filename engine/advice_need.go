package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

const (
	// maxAdviceWorkers is the most workers that one request names. It bounds the time for which the call
	// keeps others waiting.
	maxAdviceWorkers = 100
	// minAdviceWorkers and maxSpareRequest bound the size of a request that names more workers than its
	// units need, as some may be denied. Each one adds to the duration of the call.
	minAdviceWorkers = 3
	maxSpareRequest  = 12
	// maxKeptUnits is the most units of a step for which capacity is kept and tickets are requested at a
	// time. It bounds the cost of a round.
	maxKeptUnits = 100
	// adviceLead is added to the duration of a call to decide when to request tickets for capacity that
	// is expected to become free.
	adviceLead = 300 * time.Millisecond
)

// adviceNeed is a step with units that can be placed now or soon, apart from tickets.
type adviceNeed struct {
	unit    *unit // the first of them in the queue
	tickets *stepTickets
	// workers are those on which the units would be placed and for which they have no ticket, at most
	// maxAdviceWorkers.
	workers []*worker
	// kept is the capacity that units behind in the queue may not use, and keptUnits the number of units
	// that it is for; see keepCapacity.
	kept      map[*worker]workload.Resources
	keptUnits int
}

// repeated reports whether the step had a request that has led to no start. A long-running step that
// has to start again counts too, as its tasks may end at once, time after time.
func (n *adviceNeed) repeated() bool {
	return n.tickets.calls > 0 || n.unit.spec().LongRunning && n.tickets.lastCallAt > 0
}

// adviceNeeds are the steps that need tickets, in the order of their first units.
type adviceNeeds struct {
	inOrder []*adviceNeed
	byStep  map[stepKey]*adviceNeed
}

// add records that u needs tickets for the given workers, and returns the need of its step.
func (n *adviceNeeds) add(u *unit, workers []*worker) *adviceNeed {
	need := n.byStep[u.key()]
	if need == nil {
		need = &adviceNeed{unit: u, tickets: u.tickets()}
		n.inOrder = append(n.inOrder, need)
		if n.byStep == nil {
			n.byStep = map[stepKey]*adviceNeed{}
		}
		n.byStep[u.key()] = need
	}
	for _, w := range workers {
		if len(need.workers) < maxAdviceWorkers && !slices.Contains(need.workers, w) {
			need.workers = append(need.workers, w)
		}
	}
	return need
}

// awaitTickets records that u would be placed on the given workers, one for each member, but has no
// tickets for some of them. While they are requested their capacity is kept for u.
func (r *round) awaitTickets(u *unit, workers, lacking []*worker) {
	u.waitReason = WaitForTickets
	if r.waitLogDue(u) {
		r.logWait(u, fmt.Sprintf("no tickets for %d of the workers that it fits on", len(lacking)))
	}
	if call := r.e.adviceCall; call != nil && call.tickets == u.tickets() {
		r.blockedSteps[u.key()] = true
		r.reserveKept(call.kept, call.expectedAt)
		return
	}
	need := r.needs.add(u, lacking)
	if need != r.needs.inOrder[0] || !need.keepCapacity(u, workers, lacking) {
		r.blockedSteps[u.key()] = true // the other units of the step would choose the same workers
		return
	}
	for _, w := range workers {
		w.round.reserved = append(w.round.reserved, reservation{u.demand(), r.now + r.adviceDuration(u, len(lacking))})
	}
}

// keepCapacity adds the capacity for u on the given workers to what is kept, and reports whether it did.
// That is done for the first request of a step, and if it can name all workers without a ticket: those
// that follow may be in vain, and would keep capacity idle for ever.
func (n *adviceNeed) keepCapacity(u *unit, workers, lacking []*worker) bool {
	unnamed := func(w *worker) bool { return !slices.Contains(n.workers, w) }
	if n.repeated() || n.keptUnits == maxKeptUnits || slices.ContainsFunc(lacking, unnamed) {
		return false
	}
	n.keptUnits++
	if n.kept == nil {
		n.kept = map[*worker]workload.Resources{}
	}
	for _, w := range workers {
		n.kept[w] = n.kept[w].Add(u.demand())
	}
	return true
}

// reserveKept reserves the capacity that is kept for a request in flight.
func (r *round) reserveKept(kept map[*worker]workload.Resources, from time.Duration) {
	for w, resources := range kept {
		w.round.reserved = append(w.round.reserved, reservation{resources, from})
	}
}

// withoutTicket returns those of the workers, each once, for which u has no usable ticket now. If there
// are any, it adds those whose tickets will not be usable when these have arrived.
func (r *round) withoutTicket(u *unit, workers []*worker) []*worker {
	lacking := u.withoutTicketAt(r.now, workers)
	if len(lacking) == 0 {
		return nil
	}
	return u.withoutTicketAt(r.now+r.adviceDuration(u, len(lacking)), workers)
}

// withoutTicketAt returns those of the workers, each once, for which u will have no usable ticket at a
// time.
func (u *unit) withoutTicketAt(at time.Duration, workers []*worker) []*worker {
	var lacking []*worker
	for _, w := range workers {
		if !u.mayPlaceOn(at, w) && !slices.Contains(lacking, w) {
			lacking = append(lacking, w)
		}
	}
	return lacking
}

// withTickets returns the domains restricted to the workers that u has usable tickets for.
func (r *round) withTickets(u *unit, d domainSet) domainSet {
	var out domainSet
	if !u.tickets().anyUsable(r.now) {
		return out
	}
	for _, set := range d.domains {
		restricted := &domain{}
		for _, w := range set.workers {
			if u.mayPlaceOn(r.now, w) {
				restricted.workers = append(restricted.workers, w)
			}
		}
		if len(restricted.workers) > 0 {
			out.domains = append(out.domains, restricted)
		}
	}
	return out
}

// adviceDuration returns how long a request for a number of workers takes to be answered, including a
// request in flight.
func (r *round) adviceDuration(u *unit, workers int) time.Duration {
	wait := time.Duration(0)
	if r.e.adviceCall != nil {
		wait = max(0, r.e.adviceCall.expectedAt-r.now)
	}
	return wait + callDuration(u.job.spec.QueuePolicy.Advice, min(workers, maxAdviceWorkers))
}

// callDuration returns how long the advice service takes for a call.
func callDuration(advice *workload.Advice, workers int) time.Duration {
	return advice.DecisionTime + time.Duration(workers)*advice.TimePerWorker
}

// requestLead returns how long before u can be placed its tickets should be requested.
func (r *round) requestLead(u *unit) time.Duration {
	return r.adviceDuration(u, max(u.size, minAdviceWorkers)) + adviceLead
}

// ticketDelay returns how long u still has to wait for tickets before it can be placed or evict others.
func (r *round) ticketDelay(u *unit) time.Duration {
	if !u.needsTicket() || u.tickets().anyUsable(r.now) {
		return 0
	}
	return r.adviceDuration(u, u.size)
}

// requestWorkers returns the workers to name in a request for need: those that its units would be placed
// on, and some more as a part of them may be denied, the more have been denied before.
func (r *round) requestWorkers(need *adviceNeed) []WorkerID {
	u := need.unit
	size := min(max(2*u.size, minAdviceWorkers), maxSpareRequest) + len(need.tickets.denied)
	size = min(max(size, len(need.workers)), maxAdviceWorkers)
	var ids []WorkerID
	for _, w := range need.workers {
		ids = append(ids, w.info.ID)
	}
	for _, w := range r.spareWorkers(u) {
		if len(ids) >= size {
			break
		}
		if !slices.Contains(ids, w.info.ID) {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// spareWorkers returns the workers without a ticket where a member of u may run, first those with enough
// free capacity, and in either part those of the preferred domains first. A worker may occur twice.
func (r *round) spareWorkers(u *unit) []*worker {
	var free, preferred, other []*worker
	for _, set := range r.preferredDomains(u).domains {
		preferred = append(preferred, set.workers...)
	}
	for _, w := range slices.Concat(preferred, r.usable.workers) {
		if !r.eligible(u, w) || w.health.paused(r.now) || u.mayPlaceOn(r.now, w) || !u.demand().FitsIn(w.info.Capacity) {
			continue
		}
		if u.demand().FitsIn(r.availableFor(u, w)) {
			free = append(free, w)
		} else {
			other = append(other, w)
		}
	}
	return slices.Concat(free, other)
}
