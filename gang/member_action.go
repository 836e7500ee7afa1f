package gang

import "time"

// MemberAction is an action that a Member requests: SendReply, StartTask,
// StopTask or TickAt.
type MemberAction interface{ memberAction() }

// SendReply sends a reply to a coordinator. The reply may be lost.
type SendReply struct {
	To    string
	Reply Reply
}

// StartTask tells the target to start the task. It is returned once per
// attempt; a failed start is reported by TaskEnded.
type StartTask struct {
	Task Task
	Spec []byte
}

// StopTask tells the target to stop the task; TaskEnded follows. It may be
// returned more than once per attempt.
type StopTask struct {
	ID         ID
	Checkpoint bool
}

// TickAt requests a Tick at At.
type TickAt struct{ At time.Time }

func (SendReply) memberAction() {}
func (StartTask) memberAction() {}
func (StopTask) memberAction()  {}
func (TickAt) memberAction()    {}
