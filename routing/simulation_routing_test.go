package routing_test

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

func (d *simulation) sendAttempt(e *entrySim, r *request) {
	ticket, refusal := e.router.Pick(at(d.now), routing.PickInfo{
		Account: accountName(r.account), Weight: d.relativeWeight(r.account), Attempt: r.attempt, Exclude: r.tried, Deadline: at(r.deadline),
	})
	if !refusal.OK() {
		d.refuse(r, refusal.RetryAfter)
		return
	}
	t := targetIndex(ticket.Target)
	a := &attempt{request: r, entry: e, target: t, ticket: ticket, sentAt: d.now}
	e.inFlight[t][a] = true
	d.attempts++
	d.schedule(a.networkDelay(), func() { d.arriveAtAgent(a) })
	d.schedule(probeDelay, func() { d.probe(a) })
	d.schedule(r.deadline-d.now, func() { d.endAttempt(a, routing.Outcome{Kind: routing.TimedOut}) })
}

func targetIndex(id routing.TargetID) int {
	for i := range targets {
		if targetID(i) == id {
			return i
		}
	}
	panic("unknown target")
}

func accountName(n int) string { return string(rune('a' + n)) }

// probe asks for a sign of life when nothing came back since the attempt went
// out. A live agent answers, however busy its target.
func (d *simulation) probe(a *attempt) {
	if a.ended || a.entry.lastReplyAt[a.target] > a.sentAt || !d.isUnresponsive(a.target) {
		return
	}
	d.schedule(probeTimeout, func() {
		if a.ended {
			return
		}
		a.entry.router.ProbeFailed(at(d.now), a.ticket.Target)
		d.ping(a.entry, a.target)
		for _, other := range sortedAttempts(a.entry.inFlight[a.target]) {
			d.endAttempt(other, routing.Outcome{Kind: routing.Unreachable})
		}
	})
}

// ping repeats until the silent target answers.
func (d *simulation) ping(e *entrySim, target int) {
	if d.now > d.scenario.length {
		return
	}
	d.schedule(pingInterval, func() {
		if d.isUnresponsive(target) {
			d.ping(e, target)
			return
		}
		e.router.ProbeSucceeded(at(d.now), targetID(target))
	})
}

// endAttempt hands the attempt back to the router and decides about another one.
func (d *simulation) endAttempt(a *attempt, o routing.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.entry.inFlight[a.target], a)
	o.Latency = d.now - a.sentAt
	a.entry.router.Done(at(d.now), a.ticket, o)
	r := a.request
	r.tried = append(r.tried, a.ticket.Target)
	r.attempt++
	switch {
	case o.Kind == routing.Answered:
		d.finish(r, true)
	case d.now < r.deadline && a.entry.router.AllowRetry(at(d.now), accountName(r.account)):
		d.sendAttempt(a.entry, r)
	case o.Kind == routing.Refused:
		d.refuse(r, a.entry.router.RetryAfter(accountName(r.account)))
	default:
		d.failed++
		d.finish(r, false)
	}
}

func (d *simulation) arriveAtAgent(a *attempt) {
	if d.isUnresponsive(a.target) {
		return
	}
	if d.isFailing(a.target) {
		d.reply(a, routing.Outcome{Kind: routing.Failed})
		return
	}
	g := d.agents[a.target]
	g.nextID++
	g.requests[g.nextID] = a
	d.stepAgent(g, admission.Arrived{
		ID: g.nextID, Account: accountName(a.request.account), Weight: d.weight(a.request.account), Deadline: at(a.request.deadline - a.networkDelay()),
	})
}

func (d *simulation) stepAgent(g *agentSim, ev admission.Event) {
	for _, action := range append([]admission.Action(nil), g.queue.HandleEvent(at(d.now), ev)...) {
		switch action := action.(type) {
		case admission.Run:
			d.runRequest(g, action.ID)
		case admission.Refuse:
			a := g.requests[action.ID]
			delete(g.requests, action.ID)
			load := toRouting(g.queue.Load(at(d.now)))
			load.RetryAfter = action.RetryAfter
			d.reply(a, routing.Outcome{Kind: routing.Refused, Load: load})
		case admission.WakeAt:
			d.schedule(action.Time.Sub(at(d.now)), func() { d.stepAgent(g, admission.Tick{}) })
		}
	}
}

func (d *simulation) serviceTimeAt(a *attempt) time.Duration {
	if d.isSlow(a.target) {
		return 10 * a.request.serviceTime
	}
	return a.request.serviceTime
}

func (d *simulation) runRequest(g *agentSim, id admission.ID) {
	a := g.requests[id]
	took := d.serviceTimeAt(a)
	d.schedule(took, func() {
		delete(g.requests, id)
		d.stepAgent(g, admission.Finished{ID: id, SlotTime: took})
		d.reply(a, routing.Outcome{Kind: routing.Answered, Load: toRouting(g.queue.Load(at(d.now)))})
	})
}

func (d *simulation) reply(a *attempt, o routing.Outcome) {
	if d.isUnresponsive(a.target) {
		return
	}
	d.schedule(a.networkDelay(), func() {
		a.entry.lastReplyAt[a.target] = d.now
		d.endAttempt(a, o)
	})
}

func toRouting(l admission.Load) routing.Load { return routing.Load(l) }
