package gang

import "time"

// Action is an action that a Coordinator requests: Send, Record, WakeAt,
// Started or Ended.
type Action interface{ action() }

// Send sends a message to an agent. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// Record writes the start into the job's record by compare-and-swap, provided
// that the record is still the one the plan was made from. If the reply is
// lost, the record is read back. Record may be requested more than once; each
// write must carry the same token. Recorded answers it.
type Record struct{ Plan Plan }

// WakeAt requests a Wake at At.
type WakeAt struct{ At time.Time }

// Started reports that all members run.
type Started struct{}

// Ended is the last action of a coordinator. Unless Outcome is Superseded, the
// attempt no longer runs on any reachable member, and has stopped by isolation
// on the others.
type Ended struct {
	Outcome Outcome
	Cause   Cause
	// CauseAgent is the agent that Cause refers to, if any.
	CauseAgent string
	Members    []MemberResult
	// MayBeRecorded is set if the job's record may name this attempt.
	MayBeRecorded bool
}

// MemberResult is how the attempt ended on one agent.
type MemberResult struct {
	Agent        string
	Started      bool
	Result       Result
	Checkpointed bool
	Detail       string
}

// Checkpointed reports whether every member wrote a checkpoint, so that the
// job can resume from it.
func (e Ended) Checkpointed() bool {
	for _, m := range e.Members {
		if !m.Checkpointed {
			return false
		}
	}
	return len(e.Members) > 0
}

func (Send) action()    {}
func (Record) action()  {}
func (WakeAt) action()  {}
func (Started) action() {}
func (Ended) action()   {}
