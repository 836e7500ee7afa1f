package routing_test

import (
	"maps"
	"slices"
)

// roundRobin is the baseline: targets in turn, three retries, and an unbounded FIFO
// queue at the target.
func (s *simulation) roundRobin(e *entrySim, r *request) {
	a := &attempt{request: r, entry: e, target: e.nextTarget % targets, sentAt: s.now}
	e.nextTarget++
	s.attempts++
	s.schedule(a.networkDelay(), func() { s.arriveAtFIFO(a) })
	s.schedule(s.attemptTimeout, func() { s.retryRoundRobin(a) })
}

func (s *simulation) retryRoundRobin(a *attempt) {
	if a.ended || a.request.ended {
		return
	}
	a.ended = true
	a.request.attempt++
	if a.request.attempt > 3 || s.now >= a.request.deadline {
		s.failed++
		s.finish(a.request, false)
		return
	}
	s.roundRobin(a.entry, a.request)
}

func (s *simulation) arriveAtFIFO(a *attempt) {
	if s.isUnresponsive(a.target) {
		return
	}
	if s.isFailing(a.target) {
		s.schedule(a.networkDelay(), func() { s.retryRoundRobin(a) })
		return
	}
	agent := s.agents[a.target]
	agent.fifo = append(agent.fifo, a)
	s.runNextFIFO(agent)
}

func (s *simulation) runNextFIFO(agent *agentSim) {
	if agent.running == slots || len(agent.fifo) == 0 {
		return
	}
	a := agent.fifo[0]
	agent.fifo = agent.fifo[1:]
	agent.running++
	s.schedule(s.serviceTimeAt(a), func() {
		agent.running--
		s.runNextFIFO(agent)
		if !s.isUnresponsive(a.target) {
			s.schedule(a.networkDelay(), func() { a.ended = true; s.finish(a.request, true) })
		}
	})
}

// sortedAttempts returns the attempts in a fixed order, for reproducible runs.
func sortedAttempts(set map[*attempt]bool) []*attempt {
	return slices.SortedFunc(maps.Keys(set), func(a, b *attempt) int {
		if a.sentAt != b.sentAt {
			return int(a.sentAt - b.sentAt)
		}
		return int(a.request.submittedAt - b.request.submittedAt)
	})
}
