package admission

import "time"

// ID names one request at the agent. The agent gives each arrival a new one.
type ID uint64

// Event is something that happened to the agent.
type Event interface{ event() }

// Arrived is a new request.
type Arrived struct {
	ID       ID
	Account  string // client account
	Class    string
	Weight   int       // of the account; a weight set by PolicyChanged goes first
	Deadline time.Time // zero means none
	Enqueued time.Time // when the agent received it; zero means now
}

// Finished says that a running request has left its slot.
type Finished struct {
	ID       ID
	SlotTime time.Duration // slot time
}

// Cancelled says that nobody waits for the request any longer. A queued request
// is dropped without an action; a running one keeps its slot until Finished.
type Cancelled struct{ ID ID }

// SlotsChanged sets the number of requests that may run at the same time.
type SlotsChanged struct{ Slots int }

// PolicyChanged replaces the weights of all client accounts and the bounds of the
// queue. What is queued stays, also where a bound is now exceeded.
type PolicyChanged struct {
	Weights map[string]int
	// AccountMaxQueued is how many requests of each client account may be queued. Accounts
	// not named have Options.MaxAccount.
	AccountMaxQueued map[string]int
	// MaxQueued, Target and Interval replace those of Options; zero keeps them.
	MaxQueued                         int
	TargetSojourn, CongestionInterval float64
}

// Drain refuses every later arrival. Queued requests still run.
type Drain struct{}

// Tick says that time has passed, as asked for by WakeAt.
type Tick struct{}

func (Arrived) event()       {}
func (Finished) event()      {}
func (Cancelled) event()     {}
func (SlotsChanged) event()  {}
func (PolicyChanged) event() {}
func (Drain) event()         {}
func (Tick) event()          {}
