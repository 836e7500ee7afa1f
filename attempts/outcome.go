package attempts

// Outcome is what the caller is told of its request.
type Outcome uint8

// Outcomes of a request.
const (
	// Unknown: it may have run. Nobody will run it again under the same key.
	Unknown Outcome = iota
	// Done: it ran and this is its whole answer.
	Done
	// NotRun: it did not run, and no attempt made so far will.
	NotRun
)

var outcomeNames = [...]string{"unknown", "done", "not run"}

// String returns the outcome in lower case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Reason says why a request was not done.
type Reason uint8

// Reasons for NotRun and Unknown.
const (
	// NoReason: it was done.
	NoReason Reason = iota
	// ReasonRefused: the agent refused it, or the message never reached it.
	ReasonRefused
	// ReasonStoreUnavailable: the store could not be asked for the key's claim.
	ReasonStoreUnavailable
	// ReasonDeadline: the deadline passed.
	ReasonDeadline
	// ReasonKeyReused: the key belongs to a request with another content.
	ReasonKeyReused
	// ReasonOutcomeLost: the agent restarted, or dropped its account.
	ReasonOutcomeLost
)

var reasonNames = [...]string{
	"none", "refused", "store unavailable", "deadline", "key reused", "forgotten",
}

// String returns the reason in lower case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
