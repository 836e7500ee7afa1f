package routing_test

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/admission"
	"github.com/eelgrasshub/eelgrasshub/routing"
)

func (s *simulation) sendAttempt(e *entrySim, r *request) {
	ticket, refusal := e.router.Pick(at(s.now), routing.PickInfo{
		Account: accountName(r.account), Weight: s.relativeWeight(r.account), Attempt: r.attempt, Exclude: r.tried, Deadline: at(r.deadline),
	})
	if !refusal.OK() {
		s.refuse(r, refusal.RetryAfter)
		return
	}
	t := targetIndex(ticket.Target)
	a := &attempt{request: r, entry: e, target: t, ticket: ticket, sentAt: s.now}
	e.inFlight[t][a] = true
	s.attempts++
	s.schedule(a.networkDelay(), func() { s.arriveAtAgent(a) })
	s.schedule(probeDelay, func() { s.probe(a) })
	s.schedule(r.deadline-s.now, func() { s.endAttempt(a, routing.Outcome{Kind: routing.TimedOut}) })
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

// probe ejects the target if it neither replied since the attempt was sent nor
// answers a probe. A live agent answers probes however busy its target is.
func (s *simulation) probe(a *attempt) {
	if a.ended || a.entry.lastReplyAt[a.target] > a.sentAt || !s.isUnresponsive(a.target) {
		return
	}
	s.schedule(probeTimeout, func() {
		if a.ended {
			return
		}
		a.entry.router.ProbeFailed(at(s.now), a.ticket.Target)
		s.ping(a.entry, a.target)
		for _, other := range sortedAttempts(a.entry.inFlight[a.target]) {
			s.endAttempt(other, routing.Outcome{Kind: routing.Unreachable})
		}
	})
}

// ping probes an unresponsive target until it answers.
func (s *simulation) ping(e *entrySim, target int) {
	if s.now > s.scenario.length {
		return
	}
	s.schedule(pingInterval, func() {
		if s.isUnresponsive(target) {
			s.ping(e, target)
			return
		}
		e.router.ProbeSucceeded(at(s.now), targetID(target))
	})
}

// endAttempt passes the outcome to the router and finishes or retries the request.
func (s *simulation) endAttempt(a *attempt, o routing.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.entry.inFlight[a.target], a)
	o.Latency = s.now - a.sentAt
	a.entry.router.Done(at(s.now), a.ticket, o)
	r := a.request
	r.tried = append(r.tried, a.ticket.Target)
	r.attempt++
	switch {
	case o.Kind == routing.Answered:
		s.finish(r, true)
	case s.now < r.deadline && a.entry.router.AllowRetry(at(s.now), accountName(r.account)):
		s.sendAttempt(a.entry, r)
	case o.Kind == routing.Refused:
		s.refuse(r, a.entry.router.RetryAfter(accountName(r.account)))
	default:
		s.failed++
		s.finish(r, false)
	}
}

func (s *simulation) arriveAtAgent(a *attempt) {
	if s.isUnresponsive(a.target) {
		return
	}
	if s.isFailing(a.target) {
		s.reply(a, routing.Outcome{Kind: routing.Failed})
		return
	}
	agent := s.agents[a.target]
	agent.nextID++
	agent.requests[agent.nextID] = a
	s.stepAgent(agent, admission.Arrived{
		ID: agent.nextID, Account: accountName(a.request.account), Weight: s.weight(a.request.account), Deadline: at(a.request.deadline - a.networkDelay()),
	})
}

func (s *simulation) stepAgent(agent *agentSim, ev admission.Event) {
	for _, action := range append([]admission.Action(nil), agent.queue.Step(at(s.now), ev)...) {
		switch action := action.(type) {
		case admission.Run:
			s.runRequest(agent, action.ID)
		case admission.Refuse:
			a := agent.requests[action.ID]
			delete(agent.requests, action.ID)
			load := toRouting(agent.queue.Load(at(s.now)))
			load.RetryAfter = action.RetryAfter
			s.reply(a, routing.Outcome{Kind: routing.Refused, Load: load})
		case admission.WakeAt:
			s.schedule(action.Time.Sub(at(s.now)), func() { s.stepAgent(agent, admission.Tick{}) })
		}
	}
}

func (s *simulation) serviceTimeAt(a *attempt) time.Duration {
	if s.isSlow(a.target) {
		return 10 * a.request.serviceTime
	}
	return a.request.serviceTime
}

func (s *simulation) runRequest(agent *agentSim, id admission.ID) {
	a := agent.requests[id]
	slotTime := s.serviceTimeAt(a)
	s.schedule(slotTime, func() {
		delete(agent.requests, id)
		s.stepAgent(agent, admission.Finished{ID: id, SlotTime: slotTime})
		s.reply(a, routing.Outcome{Kind: routing.Answered, Load: toRouting(agent.queue.Load(at(s.now)))})
	})
}

func (s *simulation) reply(a *attempt, o routing.Outcome) {
	if s.isUnresponsive(a.target) {
		return
	}
	s.schedule(a.networkDelay(), func() {
		a.entry.lastReplyAt[a.target] = s.now
		s.endAttempt(a, o)
	})
}

func toRouting(l admission.Load) routing.Load { return routing.Load(l) }
