package load

import (
	"encoding/json"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// Result holds what the callers observed during one run.
type Result struct {
	Plan      string
	Service   string
	StartedAt time.Time
	Quick     []QuickResult
	Jobs      []JobResult
	// MaxSendDelay is the longest delay between an arrival's scheduled and actual send time.
	MaxSendDelay time.Duration
}

// Try is one exchange with one entry about a request or a submission.
type Try struct {
	Entry string
	// Answered reports whether an entry answered; false after a timeout or a broken connection.
	Answered bool
	// NotSent reports that no connection was established, so the try had no effect.
	NotSent bool
	Outcome api.Outcome
	// RequestID is the ID that the entry assigned.
	RequestID string
	Reason    api.Reason
	// Checksum is the checksum in the echoed answer of a try with the outcome done.
	Checksum string
	// BodyError describes why the body of a done answer is incomplete or not the request's own.
	BodyError string
	// TransportError is the error text if no entry answered.
	TransportError string
}

// QuickResult is one quick request as its caller observed it.
type QuickResult struct {
	Tag        string
	Account    string
	Class      string
	Repeatable bool
	Scheduled  time.Time
	Tries      []Try
	// Latency is the time from Scheduled to the end of the caller's tries. Those of a resend count
	// only if the first ones gave no done answer.
	Latency time.Duration
}

// Outcome returns the most informative outcome of the tries: done, then unknown, then not run.
// It is empty if no try was answered.
func (q *QuickResult) Outcome() api.Outcome {
	return outcomeOf(q.Tries)
}

func outcomeOf(tries []Try) api.Outcome {
	best := api.Outcome("")
	for _, t := range tries {
		switch {
		case !t.Answered:
		case t.Outcome == api.OutcomeDone:
			return api.OutcomeDone
		case t.Outcome == api.OutcomeUnknown || best == "":
			best = t.Outcome
		}
	}
	return best
}

// JobResult is one job as its caller observed it.
type JobResult struct {
	Tag        string
	Account    string
	Class      string
	Repeatable bool
	Size       GangSize
	Scheduled  time.Time
	// Submissions are the tries to submit the job.
	Submissions []Try
	// ID is empty if the job was not accepted.
	ID string
	// ConflictingIDs are IDs other than ID that submissions with the same key returned.
	ConflictingIDs []string
	// CancelRequested reports whether the caller sent a cancellation.
	CancelRequested bool
	// State is the last observed state.
	State   api.JobState
	Reason  api.Reason
	Attempt int
	Result  json.RawMessage
	// StartDelay is the time from the submission to the start of the latest attempt, as the
	// system reports it; 0 if the job never started.
	StartDelay time.Duration
	// TurnaroundTime is the time from Scheduled to the final state, or to the end of the wait
	// for it.
	TurnaroundTime time.Duration
}
