package attempts

import "time"

// Action is what a Request wants done: WriteClaim, ReplaceClaim, ReleaseClaim,
// SendBegin, SendResolve, WakeAt or Finished.
type Action interface{ action() }

// WriteClaim creates the key's claim if the key has none.
type WriteClaim struct{ Claim Claim }

// ReplaceClaim replaces the key's claim if it is still Old.
type ReplaceClaim struct{ Old, New Claim }

// ReleaseClaim removes the key's claim if it is still this one.
type ReleaseClaim struct{ Claim Claim }

// SendBegin sends the attempt to its agent. It is returned at most once.
type SendBegin struct{ Claim Claim }

// SendResolve asks an agent, on a new connection, what became of an attempt.
type SendResolve struct{ Claim Claim }

// WakeAt asks for a Wake at At.
type WakeAt struct{ At time.Time }

// Finished is what the caller is told. It is the last action.
type Finished struct {
	Outcome Outcome
	Reason  Reason
	Answer  []byte
	// RetryAfter is when to come back, after NotRun or Unknown for want of the
	// store; 0 says that there is no use in coming back.
	RetryAfter time.Duration
}

func (WriteClaim) action()   {}
func (ReplaceClaim) action() {}
func (ReleaseClaim) action() {}
func (SendBegin) action()    {}
func (SendResolve) action()  {}
func (WakeAt) action()       {}
func (Finished) action()     {}
