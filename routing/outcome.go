package routing

import "time"

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// Kinds of outcome.
const (
	// Answered: the target gave its answer.
	Answered OutcomeKind = iota
	// Refused: the agent refused before running anything.
	Refused
	// TimedOut: no answer within the attempt's time.
	TimedOut
	// Unreachable: the connection failed or went silent.
	Unreachable
	// Failed: the target answered with an error of its own.
	Failed
	// Abandoned: the caller went away; says nothing about the target.
	Abandoned
)

var outcomeKindNames = [...]string{"answered", "refused", "timed out", "unreachable", "failed", "abandoned"}

func (k OutcomeKind) String() string { return outcomeKindNames[k] }

// Outcome is the end of one attempt as the entry saw it.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration // from sending the attempt to its end
	Load    Load          // meaningful for Answered, Failed and Refused
}

// hasLoad reports whether the agent's reply came, with its load.
func (o Outcome) hasLoad() bool {
	return o.Kind == Answered || o.Kind == Failed || o.Kind == Refused
}
