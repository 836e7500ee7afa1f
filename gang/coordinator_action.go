package gang

import "time"

// Action is what a Coordinator wants done: Send, Record, WakeAt, Started or Ended.
type Action interface{ action() }

// Send sends a message to an agent. It may be lost.
type Send struct {
	To      string
	Message Message
}

// Record writes the start into the job's record by compare-and-swap, if the
// record is still the one the plan was made from, and reads back when the reply
// is lost. It may be asked for more than once; the write must carry the same
// token each time. Recorded answers it.
type Record struct{ Plan Plan }

// WakeAt asks for a Wake at At.
type WakeAt struct{ At time.Time }

// Started says that all members run.
type Started struct{}

// Ended is the last action of a coordinator. The attempt runs on no member that
// can be reached, and on the others it has stopped by isolation.
type Ended struct {
	Outcome Outcome
	Cause   Cause
	// CauseAgent is the agent that the cause is about, if any.
	CauseAgent string
	Members    []MemberResult
	// MayBeRecorded says that the job's record may name this attempt.
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

// Checkpointed says whether every member wrote a checkpoint, so that the job can
// go on from there.
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
