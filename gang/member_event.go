package gang

import "time"

// MemberEvent is what a Member is told: Received, Adopted, TaskEnded, Contact,
// Drain or Tick.
type MemberEvent interface{ memberEvent() }

// Received is a message from a coordinator.
type Received struct {
	// From is where replies go; this package doesn't read it.
	From    string
	Message Message
}

// TasksRecovered opens a new Member: it lists the tasks that the target runs from
// before the agent's restart, and as StateEnded with their results those that
// have ended and that it still remembers. Until then all messages are refused, because an
// accelerator that looks free may be in use. The target must refuse a start
// that an earlier incarnation of the agent sent and that arrives after the
// listing.
type TasksRecovered struct{ Tasks []Task }

// TaskEnded is the end of a task at the target, for whatever reason.
type TaskEnded struct {
	ID           ID
	Result       Result
	Checkpointed bool
	Detail       string
}

// ReportAnswered is an answer to a report. Whole lists the attempts of several members
// that the planner holds whole (Coordinator.Whole); their tasks may run on for
// Isolation after At, the time when the answered report was sent.
type ReportAnswered struct {
	SentAt  time.Time
	Renewed []ID
	// Timestamp is the planner's; the next report returns it.
	Timestamp PlannerTimestamp
}

// Drain makes the member refuse new reservations for good.
type Drain struct{}

// Tick lets deadlines act; it is due at the last WakeMember.
type Tick struct{}

func (Received) memberEvent()       {}
func (TasksRecovered) memberEvent() {}
func (TaskEnded) memberEvent()      {}
func (ReportAnswered) memberEvent() {}
func (Drain) memberEvent()          {}
func (Tick) memberEvent()           {}
