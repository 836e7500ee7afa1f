package load

import (
	"encoding/json"
	"time"

	"github.com/eelgrasshub/eelgrasshub/api"
)

// Result is what callers saw during one run.
type Result struct {
	Plan      string
	Service   string
	StartedAt time.Time
	Quick     []QuickResult
	Jobs      []JobResult
	// MaxSendDelay is the longest time by which an arrival was sent late.
	MaxSendDelay time.Duration
}

// Try is one exchange about a request with one entry.
type Try struct {
	Entry string
	// Answered says that an entry answered, rather than silence or a broken
	// connection.
	Answered bool
	// NotSent says that there was no connection: this try had no effect.
	NotSent bool
	Outcome api.Outcome
	// RequestID is the id the entry gave it.
	RequestID string
	Reason    api.Reason
	// Checksum is the checksum of the whole echoed answer of a done try.
	Checksum string
	// BodyError says why a body told as done isn't the request's own and whole.
	BodyError string
	// TransportError is that of the transport.
	TransportError string
}

// QuickResult is one quick request as its caller saw it.
type QuickResult struct {
	Tag        string
	Account    string
	Class      string
	Repeatable bool
	Scheduled  time.Time
	Tries      []Try
	// Latency is from the scheduled time to the answer the caller could use, or to
	// the last one.
	Latency time.Duration
}

// Outcome is what the caller knows in the end: the best of the tries. It is
// empty when no try was answered.
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

// JobResult is one job as its caller saw it.
type JobResult struct {
	Tag        string
	Account    string
	Class      string
	Repeatable bool
	Size       GangSize
	Scheduled  time.Time
	// Submissions are the tries to submit it.
	Submissions []Try
	// ID is empty when the job was not accepted.
	ID string
	// ConflictingIDs are different ids that further submits with the same key gave.
	ConflictingIDs []string
	// CancelRequested says that a cancellation was sent.
	CancelRequested bool
	// State is the last seen.
	State   api.JobState
	Reason  api.Reason
	Attempt int
	Result  json.RawMessage
	// StartDelay is from the submission to the start of the latest attempt, by the
	// system's own word; 0 when it never started.
	StartDelay time.Duration
	// TurnaroundTime is from the scheduled time to the final state.
	TurnaroundTime time.Duration
}
