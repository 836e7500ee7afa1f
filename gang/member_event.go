package gang

import "time"

// MemberEvent is the input of a Member: Received, TasksRecovered, TaskStarted,
// TaskEnded, ReportAnswered, Drain or Tick.
type MemberEvent interface{ memberEvent() }

// Received is a message from a coordinator.
type Received struct {
	// From is where replies go; this package doesn't interpret it.
	From    string
	Message Message
}

// TasksRecovered makes a new Member ready. It lists the tasks from before the
// agent's restart: those that the target still runs, and in StateEnded with
// their results those that have ended and that the target remembers. Before it
// all messages are refused, because an accelerator that looks free may be in
// use. After the listing the target must refuse a start that an earlier
// incarnation of the agent sent.
type TasksRecovered struct{ Tasks []Task }

// TaskStarted reports that the target has confirmed the start of a task.
type TaskStarted struct{ ID ID }

// TaskEnded reports the end of a task at the target, for whatever reason.
type TaskEnded struct {
	ID           ID
	Result       Result
	Checkpointed bool
	Detail       string
}

// ReportAnswered is a planner's answer to a report. Renewed lists the attempts
// of several members for which Coordinator.AllMembersAlive holds; their tasks
// may run on for IsolationTimeout after SentAt, the time at which the answered
// report was sent.
type ReportAnswered struct {
	SentAt  time.Time
	Renewed []ID
	// Timestamp is the planner's; the next report returns it.
	Timestamp PlannerTimestamp
}

// Drain makes the member refuse new reservations permanently.
type Drain struct{}

// Tick lets the member act on deadlines. It is due at the last TickAt.
type Tick struct{}

func (Received) memberEvent()       {}
func (TasksRecovered) memberEvent() {}
func (TaskStarted) memberEvent()    {}
func (TaskEnded) memberEvent()      {}
func (ReportAnswered) memberEvent() {}
func (Drain) memberEvent()          {}
func (Tick) memberEvent()           {}
