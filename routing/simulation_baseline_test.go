package routing_test

import (
	"maps"
	"slices"
)

// roundRobin is the baseline: targets in turn, three retries, and at the target
// a first-come-first-served queue without bounds.
func (d *simulation) roundRobin(e *entrySim, r *request) {
	a := &attempt{request: r, entry: e, target: e.nextTarget % targets, sentAt: d.now}
	e.nextTarget++
	d.attempts++
	d.schedule(a.networkDelay(), func() { d.arriveAtFIFO(a) })
	d.schedule(d.attemptTimeout, func() { d.retryRoundRobin(a) })
}

func (d *simulation) retryRoundRobin(a *attempt) {
	if a.ended || a.request.ended {
		return
	}
	a.ended = true
	a.request.attempt++
	if a.request.attempt > 3 || d.now >= a.request.deadline {
		d.failed++
		d.finish(a.request, false)
		return
	}
	d.roundRobin(a.entry, a.request)
}

func (d *simulation) arriveAtFIFO(a *attempt) {
	if d.isUnresponsive(a.target) {
		return
	}
	if d.isFailing(a.target) {
		d.schedule(a.networkDelay(), func() { d.retryRoundRobin(a) })
		return
	}
	g := d.agents[a.target]
	g.fifo = append(g.fifo, a)
	d.runNextFIFO(g)
}

func (d *simulation) runNextFIFO(g *agentSim) {
	if g.running == slots || len(g.fifo) == 0 {
		return
	}
	a := g.fifo[0]
	g.fifo = g.fifo[1:]
	g.running++
	d.schedule(d.serviceTimeAt(a), func() {
		g.running--
		d.runNextFIFO(g)
		if !d.isUnresponsive(a.target) {
			d.schedule(a.networkDelay(), func() { a.ended = true; d.finish(a.request, true) })
		}
	})
}

// sortedAttempts gives the attempts in a fixed order, so that a run repeats exactly.
func sortedAttempts(set map[*attempt]bool) []*attempt {
	return slices.SortedFunc(maps.Keys(set), func(a, b *attempt) int {
		if a.sentAt != b.sentAt {
			return int(a.sentAt - b.sentAt)
		}
		return int(a.request.submittedAt - b.request.submittedAt)
	})
}
