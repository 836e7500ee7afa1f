package api

// Outcome is what a caller is told about one request.
type Outcome string

const (
	// OutcomeDone says that the answer is the target's own, and whole.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun says that the request provably did not run and won't.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown says that the request may have run, or may still run.
	OutcomeUnknown Outcome = "unknown"
)

// ParseOutcome reads the outcome header. Anything that is not an outcome, an
// empty header included, is OutcomeUnknown: an answer of something between the
// caller and the entry proves nothing.
func ParseOutcome(s string) Outcome {
	switch o := Outcome(s); o {
	case OutcomeDone, OutcomeNotRun:
		return o
	}
	return OutcomeUnknown
}
