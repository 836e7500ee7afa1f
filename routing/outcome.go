package routing

import "time"

// OutcomeKind is how an attempt ended.
type OutcomeKind int

// Kinds of outcome. Failed and Refused come with a reply of the agent, TimedOut
// and Unreachable without.
const (
	// Answered: the target processed the request and answered.
	Answered OutcomeKind = iota
	// Refused: the agent refused the request before it ran.
	Refused
	// TimedOut: no answer came before the attempt's deadline.
	TimedOut
	// Unreachable: the connection failed or became unresponsive.
	Unreachable
	// Failed: the target answered with an error.
	Failed
	// Abandoned: the attempt ended without a result that says anything about the
	// target, as when the caller gave up.
	Abandoned
)

var outcomeKindNames = [...]string{"answered", "refused", "timed out", "unreachable", "failed", "abandoned"}

// String returns the kind in lower case.
func (k OutcomeKind) String() string { return outcomeKindNames[k] }

// Outcome is the end of one attempt as the entry saw it.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration // from sending the attempt to its end
	Load    Load          // set for Answered, Failed and Refused
}

// hasLoad reports whether the outcome carries a load report of the agent.
func (o Outcome) hasLoad() bool {
	return o.Kind == Answered || o.Kind == Failed || o.Kind == Refused
}
