package wire

import "time"

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Outcome is the result of an attempt.
type Outcome int

// The zero value is invalid, so that a missing field does not count as success.
const (
	// OutcomeDone means that the reply contains the complete response.
	OutcomeDone Outcome = 1 + iota
	// OutcomeRefused means that the attempt did not run and never will.
	OutcomeRefused
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
)

// Execute asks an agent to run one attempt of a request on its target. Remaining is the
// time left until the deadline, which does not depend on the clocks of different
// instances; 0 means no deadline.
type Execute struct {
	AttemptID  string        `cbor:"1,keyasint,omitempty"`
	RequestID  string        `cbor:"2,keyasint,omitempty"`
	Service    string        `cbor:"3,keyasint,omitempty"`
	Account    string        `cbor:"4,keyasint,omitempty"`
	Class      string        `cbor:"5,keyasint,omitempty"`
	Remaining  time.Duration `cbor:"6,keyasint,omitempty"`
	Repeatable bool          `cbor:"7,keyasint,omitempty"`
	Method     string        `cbor:"8,keyasint,omitempty"`
	Path       string        `cbor:"9,keyasint,omitempty"`
	Query      string        `cbor:"10,keyasint,omitempty"`
	Header     []Header      `cbor:"11,keyasint,omitempty"`
	Body       []byte        `cbor:"12,keyasint,omitempty"`
	// Hops is the number of entries that have forwarded the attempt.
	Hops int `cbor:"13,keyasint,omitempty"`
}

// ReasonAttempt is the Reason of an ExecuteReply that follows from the agent's record
// of attempts. With OutcomeUnknown it means that an earlier copy of the message may
// have run; an attempt that was sent only once has not run then.
const ReasonAttempt = "attempt"

// ExecuteReply is the result of an attempt. RetryAfter is set with OutcomeRefused.
type ExecuteReply struct {
	Outcome     Outcome       `cbor:"1,keyasint,omitempty"`
	Incarnation uint64        `cbor:"2,keyasint,omitempty"`
	Status      int           `cbor:"3,keyasint,omitempty"`
	Header      []Header      `cbor:"4,keyasint,omitempty"`
	Body        []byte        `cbor:"5,keyasint,omitempty"`
	Reason      string        `cbor:"6,keyasint,omitempty"`
	Detail      string        `cbor:"7,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"8,keyasint,omitempty"`
	Load        Load          `cbor:"9,keyasint,omitzero"`
	// Congested means that the agent's queue is growing and the sender should reduce
	// its rate.
	Congested bool `cbor:"10,keyasint,omitempty"`
	Draining  bool `cbor:"11,keyasint,omitempty"`
}

// AttemptState is the state of an attempt as known to an agent.
type AttemptState int

// States of an attempt.
const (
	// AttemptUnknown means that the agent has no record, because it is another
	// incarnation or the record has expired.
	AttemptUnknown AttemptState = iota
	// AttemptNotRun means that the attempt did not run, and that the agent will reject
	// it from now on.
	AttemptNotRun
	AttemptRunning
	AttemptAnswered
)

// ResolveAttempt asks for the state of an attempt whose reply was lost. Incarnation is
// that of the agent to which the attempt was sent.
type ResolveAttempt struct {
	AttemptID   string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// MaxWait is the time for which the agent may delay its reply until a running
	// attempt ends.
	MaxWait time.Duration `cbor:"3,keyasint,omitempty"`
}

// ResolveAttemptReply answers ResolveAttempt. Reply is set for AttemptAnswered.
type ResolveAttemptReply struct {
	State AttemptState  `cbor:"1,keyasint,omitempty"`
	Reply *ExecuteReply `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindExecute, Execute{})
	Register(KindExecuteReply, ExecuteReply{})
	Register(KindResolveAttempt, ResolveAttempt{})
	Register(KindResolveAttemptReply, ResolveAttemptReply{})
}
