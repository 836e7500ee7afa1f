package attempts

// Outcome is what the caller learns about its request.
type Outcome uint8

// Outcomes of a request.
const (
	// Unknown: the request may have run. It won't be run again under the same key.
	Unknown Outcome = iota
	// Done: the request ran and its whole answer is known.
	Done
	// NotRun: the request did not run, and no attempt made so far will run it.
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

// Reason is why a request is not Done.
type Reason uint8

// Reasons for NotRun and Unknown.
const (
	// NoReason: the request is Done.
	NoReason Reason = iota
	// ReasonRefused: the agent refused the request, or the message did not reach it.
	ReasonRefused
	// ReasonStoreUnavailable: the key's claim could not be read or written.
	ReasonStoreUnavailable
	// ReasonDeadline: the deadline passed.
	ReasonDeadline
	// ReasonKeyReused: the key belongs to a request with other content.
	ReasonKeyReused
	// ReasonOutcomeLost: the agent restarted, evicted its record, or lost the answer.
	ReasonOutcomeLost
)

var reasonNames = [...]string{
	"none", "refused", "store unavailable", "deadline", "key reused", "outcome lost",
}

// String returns the reason in lower case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
