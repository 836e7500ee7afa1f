package api

// Outcome is what a caller is told about the execution of a request.
type Outcome string

const (
	// OutcomeDone means that the response is the complete answer of the target.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request did not run and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run or may still run.
	OutcomeUnknown Outcome = "unknown"
)

// ParseOutcome parses the outcome header. Invalid and empty values are OutcomeUnknown,
// since a response without an outcome may come from an intermediary.
func ParseOutcome(s string) Outcome {
	switch o := Outcome(s); o {
	case OutcomeDone, OutcomeNotRun:
		return o
	}
	return OutcomeUnknown
}
