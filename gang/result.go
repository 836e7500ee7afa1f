package gang

// Result is how a task ended on one member.
type Result uint8

// Results of a task.
const (
	// NoResult: the task has not ended or never started.
	NoResult Result = iota
	// Succeeded: the task did all of its work.
	Succeeded
	// TaskFailed: the task ended by itself with an error.
	TaskFailed
	// TaskStopped: the task was stopped on request.
	TaskStopped
	// TaskLost: the target no longer has the task and can't say how it ended.
	TaskLost
	// Isolated: the member stopped the task because it heard of no whole gang.
	Isolated
)

var resultNames = [...]string{"none", "succeeded", "failed", "stopped", "lost", "isolated"}

// String returns the result's name in lower case.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "invalid"
}
