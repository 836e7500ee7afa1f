package routing_test

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

func (d *driver) try(e *entrySim, r *request) {
	ticket, refusal := e.router.Pick(at(d.now), routing.PickInfo{
		Account: account(r.account), Weight: d.relativeWeight(r.account), Attempt: r.attempt, Exclude: r.tried, Deadline: at(r.deadline),
	})
	if !refusal.OK() {
		d.refuse(r, refusal.RetryAfter)
		return
	}
	t := index(ticket.Target)
	a := &attempt{req: r, entry: e, target: t, ticket: ticket, sent: d.now}
	e.out[t][a] = true
	d.attempts++
	d.after(a.hop(), func() { d.arrive(a) })
	d.after(probeAfter, func() { d.probe(a) })
	d.after(r.deadline-d.now, func() { d.end(a, routing.Outcome{Kind: routing.TimedOut}) })
}

func index(id routing.TargetID) int {
	for i := range targets {
		if name(i) == id {
			return i
		}
	}
	panic("unknown target")
}

func account(n int) string { return string(rune('a' + n)) }

// probe asks for a sign of life when nothing came back since the attempt went
// out. A live agent answers, however busy its target.
func (d *driver) probe(a *attempt) {
	if a.ended || a.entry.heard[a.target] > a.sent || !d.isSilent(a.target) {
		return
	}
	d.after(probeWait, func() {
		if a.ended {
			return
		}
		a.entry.router.ProbeFailed(at(d.now), a.ticket.Target)
		d.ping(a.entry, a.target)
		for _, other := range sorted(a.entry.out[a.target]) {
			d.end(other, routing.Outcome{Kind: routing.Unreachable})
		}
	})
}

// ping repeats until the silent target answers.
func (d *driver) ping(e *entrySim, target int) {
	if d.now > d.plan.length {
		return
	}
	d.after(pingEvery, func() {
		if d.isSilent(target) {
			d.ping(e, target)
			return
		}
		e.router.ProbeSucceeded(at(d.now), name(target))
	})
}

// end hands the attempt back to the router and decides about another one.
func (d *driver) end(a *attempt, o routing.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.entry.out[a.target], a)
	o.Latency = d.now - a.sent
	a.entry.router.Done(at(d.now), a.ticket, o)
	r := a.req
	r.tried = append(r.tried, a.ticket.Target)
	r.attempt++
	switch {
	case o.Kind == routing.Answered:
		d.finish(r, true)
	case d.now < r.deadline && a.entry.router.AllowRetry(at(d.now), account(r.account)):
		d.try(a.entry, r)
	case o.Kind == routing.Refused:
		d.refuse(r, a.entry.router.RetryAfter(account(r.account)))
	default:
		d.failed++
		d.finish(r, false)
	}
}

func (d *driver) arrive(a *attempt) {
	if d.isSilent(a.target) {
		return
	}
	if d.isFailing(a.target) {
		d.reply(a, routing.Outcome{Kind: routing.Failed})
		return
	}
	g := d.agents[a.target]
	g.nextID++
	g.pending[g.nextID] = a
	d.step(g, admission.Arrived{
		ID: g.nextID, Account: account(a.req.account), Weight: d.weight(a.req.account), Deadline: at(a.req.deadline - a.hop()),
	})
}

func (d *driver) step(g *agentSim, ev admission.Event) {
	for _, action := range append([]admission.Action(nil), g.queue.HandleEvent(at(d.now), ev)...) {
		switch action := action.(type) {
		case admission.Run:
			d.serve(g, action.ID)
		case admission.Refuse:
			a := g.pending[action.ID]
			delete(g.pending, action.ID)
			load := toRouting(g.queue.Load(at(d.now)))
			load.RetryAfter = action.RetryAfter
			d.reply(a, routing.Outcome{Kind: routing.Refused, Load: load})
		case admission.WakeAt:
			d.after(action.Time.Sub(at(d.now)), func() { d.step(g, admission.Tick{}) })
		}
	}
}

func (d *driver) serviceAt(a *attempt) time.Duration {
	if d.isSlow(a.target) {
		return 10 * a.req.service
	}
	return a.req.service
}

func (d *driver) serve(g *agentSim, id admission.ID) {
	a := g.pending[id]
	took := d.serviceAt(a)
	d.after(took, func() {
		delete(g.pending, id)
		d.step(g, admission.Finished{ID: id, SlotTime: took})
		d.reply(a, routing.Outcome{Kind: routing.Answered, Load: toRouting(g.queue.Load(at(d.now)))})
	})
}

func (d *driver) reply(a *attempt, o routing.Outcome) {
	if d.isSilent(a.target) {
		return
	}
	d.after(a.hop(), func() {
		a.entry.heard[a.target] = d.now
		d.end(a, o)
	})
}

func toRouting(l admission.Load) routing.Load { return routing.Load(l) }
