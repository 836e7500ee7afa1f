package gang

import "time"

// Event is the input of a Coordinator: Begin, ReplyReceived, Reported,
// Recorded, MemberLost, Abort or Wake.
type Event interface{ event() }

// Begin starts the attempt, or its resolution after ResumeCoordinator.
type Begin struct{}

// ReplyReceived is a reply from an agent. Replies that concern other attempts
// are ignored.
type ReplyReceived struct {
	From  string
	Reply Reply
	// SentAt is when the message that the reply answers was sent, by the clock
	// of Step. It is zero for a reply that an agent sent on its own.
	SentAt time.Time
}

// Reported is a periodic report of an agent with all of its Member.Tasks. It
// replaces lost replies; a report of a new incarnation without the task proves
// that the task no longer exists.
type Reported struct {
	From        string
	Incarnation uint64
	// Fence is Member.Fence at the time of the report.
	Fence uint64
	// Timestamp is Member.Timestamp at the time of the report.
	Timestamp PlannerTimestamp
	Tasks     []Task
}

// RecordResult is the result of a Record action.
type RecordResult uint8

// Results of writing the start into the job's record.
const (
	// RecordUnknown means that the store is unreachable, or that the reply was
	// lost and the record could not be read back. The coordinator repeats the
	// Record action.
	RecordUnknown RecordResult = iota
	// RecordWritten means that the record names this attempt, or that a permit
	// covers it.
	RecordWritten
	// RecordConflict means that the record has changed and does not name this
	// attempt, which is aborted.
	RecordConflict
)

// Recorded answers a Record action.
type Recorded struct{ Result RecordResult }

// MemberLost reports that the agent has been unresponsive for the loss
// timeout. The loss timeout is longer than Config.LivenessWindow,
// MemberConfig.IsolationTimeout and the time in which a task stops together,
// so a task of several members has stopped there by itself.
type MemberLost struct{ Agent string }

// Abort ends the attempt on request, as for a cancellation, an eviction or a
// drain.
type Abort struct{ Checkpoint bool }

// Wake lets the coordinator act on deadlines. It is due at the last WakeAt.
type Wake struct{}

func (Begin) event()         {}
func (ReplyReceived) event() {}
func (Reported) event()      {}
func (Recorded) event()      {}
func (MemberLost) event()    {}
func (Abort) event()         {}
func (Wake) event()          {}
