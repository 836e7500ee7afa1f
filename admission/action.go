package admission

import "time"

// Action is something for the agent to do.
type Action interface{ action() }

// Run starts a request now.
type Run struct{ ID ID }

// Refuse answers a request that has not run and will not.
type Refuse struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
}

// WakeAt asks for a Tick at the time. It replaces the WakeAt before it.
type WakeAt struct{ Time time.Time }

func (Run) action()    {}
func (Refuse) action() {}
func (WakeAt) action() {}
