package admission

import "time"

// ID identifies one request at the agent, which gives each arrival a new one.
type ID uint64

// Event is something that happened at the agent.
type Event interface{ event() }

// Arrived is a new request.
type Arrived struct {
	ID       ID
	Account  string    // client account
	Class    string    // requests of one class are expected to take similar time
	Weight   int       // of the account; PolicyChanged.Weights takes precedence
	Deadline time.Time // zero means none
	Enqueued time.Time // when the agent received it; zero means now
}

// Finished reports that a running request has released its slot.
type Finished struct {
	ID       ID
	SlotTime time.Duration // for which it held the slot
}

// Cancelled reports that the caller no longer waits for the request. A queued
// request is removed without an action; a running one keeps its slot until
// Finished.
type Cancelled struct{ ID ID }

// SlotsChanged sets the number of requests that may run at the same time.
type SlotsChanged struct{ Slots int }

// PolicyChanged replaces the weights of all client accounts and the bounds of the
// queue. Requests already queued stay, even if a bound is now exceeded.
type PolicyChanged struct {
	Weights map[string]int
	// AccountMaxQueued is how many requests of each client account may be queued.
	// Accounts not listed have Options.MaxQueuedPerAccount.
	AccountMaxQueued map[string]int
	// MaxQueued, TargetSojourn and CongestionInterval replace those of Options. Zero
	// keeps the current value.
	MaxQueued                         int
	TargetSojourn, CongestionInterval float64
}

// Drain makes the queue refuse every later arrival. Queued requests still run.
type Drain struct{}

// Tick reports that the time of a WakeAt has come.
type Tick struct{}

func (Arrived) event()       {}
func (Finished) event()      {}
func (Cancelled) event()     {}
func (SlotsChanged) event()  {}
func (PolicyChanged) event() {}
func (Drain) event()         {}
func (Tick) event()          {}
