package gang

import (
	"slices"
	"time"
)

// expireDeadlines ends expired holds and stops isolated tasks.
func (m *Member) expireDeadlines() {
	for _, a := range m.expiredAttempts() {
		if a.task.State == StateReserved {
			m.endAttempt(a)
			continue
		}
		// The planner may be about to start the gang elsewhere. It waits
		// longer than IsolationTimeout, so that the two runs don't overlap.
		a.isolated = true
		m.stopTask(a, true)
	}
}

// expiredAttempts returns the attempts whose deadline has passed, in the order
// of their IDs.
func (m *Member) expiredAttempts() []*attempt {
	var expired []*attempt
	for _, a := range m.attempts {
		if a.hasDeadline() && !m.now.Before(a.deadline) {
			expired = append(expired, a)
		}
	}
	slices.SortFunc(expired, func(a, b *attempt) int { return a.task.ID.Compare(b.task.ID) })
	return expired
}

// hasDeadline reports whether the attempt's deadline applies. A job with one
// member can't run partially and is not stopped by isolation.
func (a *attempt) hasDeadline() bool {
	switch a.task.State {
	case StateReserved:
		return true
	case StateRunning:
		return a.task.Members > 1
	}
	return false
}

func (m *Member) scheduleTick() {
	var next time.Time
	for _, a := range m.attempts {
		if a.hasDeadline() && (next.IsZero() || a.deadline.Before(next)) {
			next = a.deadline
		}
	}
	if !next.IsZero() {
		m.actions = append(m.actions, TickAt{At: next})
	}
}
