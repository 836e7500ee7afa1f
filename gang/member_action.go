package gang

import "time"

// MemberAction is what a Member wants done: SendReply, StartTask, StopTask or
// WakeMember.
type MemberAction interface{ memberAction() }

// SendReply sends a reply to a coordinator. It may be lost.
type SendReply struct {
	To    string
	Reply Reply
}

// StartTask tells the target to start the task. It is returned once per
// attempt; a start that fails is reported by TaskEnded.
type StartTask struct {
	Task Task
	Spec []byte
}

// StopTask tells the target to stop the task; TaskEnded follows. It may be
// returned more than once for one attempt.
type StopTask struct {
	ID         ID
	Checkpoint bool
}

// TickAt asks for a Tick at At.
type TickAt struct{ At time.Time }

func (SendReply) memberAction() {}
func (StartTask) memberAction() {}
func (StopTask) memberAction()  {}
func (TickAt) memberAction()    {}
