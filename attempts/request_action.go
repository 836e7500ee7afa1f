package attempts

import "time"

// Action is something for the caller of Step to do: WriteClaim,
// ReplaceClaim, ReleaseClaim, SendBegin, SendResolve, WakeAt or Finished.
type Action interface{ action() }

// WriteClaim creates the key's claim if the key has none.
type WriteClaim struct{ Claim Claim }

// ReplaceClaim replaces the key's claim if it is still Old.
type ReplaceClaim struct{ Old, New Claim }

// ReleaseClaim removes the key's claim if it is still the given one.
type ReleaseClaim struct{ Claim Claim }

// SendBegin sends the attempt to its agent. It is returned at most once.
type SendBegin struct{ Claim Claim }

// SendResolve asks an agent, on a new connection, what became of an attempt.
type SendResolve struct{ Claim Claim }

// WakeAt asks for a Wake at the given time.
type WakeAt struct{ At time.Time }

// Finished is the answer to the caller. It ends the Request.
type Finished struct {
	Outcome Outcome
	Reason  Reason
	Answer  []byte
	// RetryAfter is the time after which the caller may try again. Zero means that
	// trying again is of no use.
	RetryAfter time.Duration
}

func (WriteClaim) action()   {}
func (ReplaceClaim) action() {}
func (ReleaseClaim) action() {}
func (SendBegin) action()    {}
func (SendResolve) action()  {}
func (WakeAt) action()       {}
func (Finished) action()     {}
