package wire

import "time"

// Header is one HTTP header line.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes. The zero value is invalid, so that a lost field is not a success.
const (
	// OutcomeDone: the whole answer is here.
	OutcomeDone Outcome = 1 + iota
	// OutcomeRefused: the attempt did not run and never will.
	OutcomeRefused
	// OutcomeUnknown: it may have run.
	OutcomeUnknown
)

// Execute asks an agent to run one attempt of a request on its target.
// Remaining is the time left until the deadline, because clocks differ; 0
// means none.
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
	// Hops counts the entries that passed the attempt on.
	Hops int `cbor:"13,keyasint,omitempty"`
}

// ReasonAttempt is the Reason of an ExecuteReply where the agent's memory of
// attempts decided. With OutcomeUnknown it says that an earlier copy of the message
// may have run; an attempt that was sent once has then not run.
const ReasonAttempt = "attempt"

// ExecuteReply ends an attempt. RetryAfter goes with OutcomeRefused.
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
	// Congested: the agent's queue is growing; send less.
	Congested bool `cbor:"10,keyasint,omitempty"`
	Draining  bool `cbor:"11,keyasint,omitempty"`
}

// AttemptState is what an agent knows of an attempt.
type AttemptState int

// Attempt states.
const (
	// AttemptUnknown: the agent can't tell (another incarnation, forgotten).
	AttemptUnknown AttemptState = iota
	// AttemptNotRun: it did not run, and the agent now refuses it for good.
	AttemptNotRun
	AttemptRunning
	AttemptAnswered
)

// ResolveAttempt asks what became of an attempt whose reply was lost. Incarnation is
// the one of the agent that the attempt was sent to.
type ResolveAttempt struct {
	AttemptID   string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// MaxWait is how long the answer may be held until a running attempt ends.
	MaxWait time.Duration `cbor:"3,keyasint,omitempty"`
}

// ResolveAttemptReply answers Resolve; Answer is set for AttemptAnswered.
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
