package admission

import "time"

// Action is something for the agent to do: Run, Refuse or WakeAt.
type Action interface{ action() }

// Run starts a request now.
type Run struct{ ID ID }

// Refuse rejects a request. The request has not run and will not.
type Refuse struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
}

// WakeAt asks for a Tick at the given time. It replaces an earlier WakeAt.
type WakeAt struct{ Time time.Time }

func (Run) action()    {}
func (Refuse) action() {}
func (WakeAt) action() {}
