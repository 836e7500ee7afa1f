package routing_test

import (
	"maps"
	"slices"
)

// roundRobin is the baseline: targets in turn, three retries, and at the target
// a first-come-first-served queue without bounds.
func (d *driver) roundRobin(e *entrySim, r *request) {
	a := &attempt{req: r, entry: e, target: e.next % targets, sent: d.now}
	e.next++
	d.attempts++
	d.after(a.hop(), func() { d.join(a) })
	d.after(d.attemptTimeout, func() { d.again(a) })
}

func (d *driver) again(a *attempt) {
	if a.ended || a.req.ended {
		return
	}
	a.ended = true
	a.req.attempt++
	if a.req.attempt > 3 || d.now >= a.req.deadline {
		d.failed++
		d.finish(a.req, false)
		return
	}
	d.roundRobin(a.entry, a.req)
}

func (d *driver) join(a *attempt) {
	if d.isSilent(a.target) {
		return
	}
	if d.isFailing(a.target) {
		d.after(a.hop(), func() { d.again(a) })
		return
	}
	g := d.agents[a.target]
	g.fifo = append(g.fifo, a)
	d.serveNext(g)
}

func (d *driver) serveNext(g *agentSim) {
	if g.running == slots || len(g.fifo) == 0 {
		return
	}
	a := g.fifo[0]
	g.fifo = g.fifo[1:]
	g.running++
	d.after(d.serviceAt(a), func() {
		g.running--
		d.serveNext(g)
		if !d.isSilent(a.target) {
			d.after(a.hop(), func() { a.ended = true; d.finish(a.req, true) })
		}
	})
}

// sorted gives the attempts in a fixed order, so that a run repeats exactly.
func sorted(set map[*attempt]bool) []*attempt {
	return slices.SortedFunc(maps.Keys(set), func(a, b *attempt) int {
		if a.sent != b.sent {
			return int(a.sent - b.sent)
		}
		return int(a.req.begun - b.req.begun)
	})
}
