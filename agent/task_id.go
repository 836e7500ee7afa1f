package agent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/target"
)

// The target knows an attempt by one number: the epoch in the upper half, the
// planner's counter in the lower. Both stay far below 2^31: an epoch grows with
// each change of planner, the counter with each start under it.
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

// recoveredTask turns a task that the target still runs into the member's account of
// it. It was started, so it had been committed. Its lease tells how long the
// agent's earlier life let it run without hearing that the gang is whole.
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
