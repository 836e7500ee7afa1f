package gang

// Event is what a Coordinator is told: Begin, ReplyReceived, Reported, Recorded,
// MemberLost, Abort or Wake.
type Event interface{ event() }

// Begin starts the attempt, or its resolution after Resume.
type Begin struct{}

// ReplyReceived is a reply from an agent. Replies to other attempts are ignored.
type ReplyReceived struct {
	From  string
	Reply Reply
}

// Reported is an agent's periodic report: all of Member.Tasks. It replaces lost
// replies, and one of a new incarnation without the task proves the task gone.
type Reported struct {
	From        string
	Incarnation uint64
	// Fence is Member.Fence as of the report.
	Fence uint64
	// Timestamp is Member.Timestamp as of the report.
	Timestamp PlannerTimestamp
	Tasks     []Task
}

// RecordResult is the outcome of a Record action.
type RecordResult uint8

// Outcomes of writing the start into the job's record.
const (
	// RecordUnknown: the store can't be reached, or the reply was lost and the
	// read back failed. The coordinator asks again.
	RecordUnknown RecordResult = iota
	// RecordWritten: the record names this attempt, by the write's token.
	RecordWritten
	// RecordConflict: the record names something else; the attempt is over.
	RecordConflict
)

// Recorded answers a Record action.
type Recorded struct{ Result RecordResult }

// MemberLost says that no sign of life came from the agent for the loss timeout,
// which is longer than Config.Window, MemberConfig.Isolation and the time of a
// stop together: a task of several members there has stopped by itself.
type MemberLost struct{ Agent string }

// Abort ends the attempt on purpose: cancelled, evicted or drained.
type Abort struct{ Checkpoint bool }

// Wake lets deadlines act; it is due at the last WakeAt.
type Wake struct{}

func (Begin) event()         {}
func (ReplyReceived) event() {}
func (Reported) event()      {}
func (Recorded) event()      {}
func (MemberLost) event()    {}
func (Abort) event()         {}
func (Wake) event()          {}
