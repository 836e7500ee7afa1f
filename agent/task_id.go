package agent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// attemptNumberBits splits the target's attempt number: the planner's epoch is in the
// upper bits, its counter of starts in the lower. Each stays far below 2^31.
const attemptNumberBits = 32

func toTargetID(id gang.ID) target.TaskID {
	return target.TaskID{Job: id.Job, Attempt: int(id.Epoch<<attemptNumberBits | id.Number)}
}

func toGangID(id target.TaskID) gang.ID {
	attempt := uint64(id.Attempt)
	return gang.ID{
		Job:    id.Job,
		Epoch:  attempt >> attemptNumberBits,
		Number: attempt & (1<<attemptNumberBits - 1),
	}
}

// recoveredTask returns the member's record of a task that the target lists. The task
// was started, so it had been committed. Its remaining lease tells how long the previous
// incarnation allowed it to run without a renewal of its attempt.
func recoveredTask(status target.TaskStatus, now time.Time) gang.Task {
	task := gang.Task{
		ID:           toGangID(status.TaskID),
		State:        gang.StateRunning,
		Accelerators: status.Accelerators,
		Members:      status.Members,
		Committed:    true,
		Started:      true,
		RunUntil:     now.Add(time.Duration(status.LeaseLeftMS) * time.Millisecond).UnixNano(),
	}
	if status.State.Final() {
		task.State = gang.StateEnded
		task.Result = resultOfState(status.State)
		task.Checkpointed = status.Checkpoint != nil
		task.Detail = taskDetail(status)
	}
	return task
}
