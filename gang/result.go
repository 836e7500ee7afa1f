package gang

// Result is how a task ended on one member.
type Result uint8

// Results of a task.
const (
	// NoResult means that the task has not ended or never started.
	NoResult Result = iota
	// Succeeded means that the task ended with success.
	Succeeded
	// TaskFailed means that the task ended by itself with an error.
	TaskFailed
	// TaskStopped means that the task was stopped on request.
	TaskStopped
	// TaskLost means that the target no longer has the task and can't tell how
	// it ended.
	TaskLost
	// Isolated means that the member stopped the task because its attempt was
	// not renewed in time.
	Isolated
	// StartUnanswered means that the target did not answer the start, and has
	// stopped the task since.
	StartUnanswered
)

var resultNames = [...]string{"none", "succeeded", "failed", "stopped", "lost", "isolated", "start unanswered"}

// String returns the result in lower case.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "invalid"
}
