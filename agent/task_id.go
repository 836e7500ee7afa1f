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
	n := uint64(id.Attempt)
	return gang.ID{
		Job:    id.Job,
		Epoch:  n >> attemptNumberBits,
		Number: n & (1<<attemptNumberBits - 1),
	}
}

// recoveredTask turns a task that the target still runs into the member's account of
// it. It was started, so it had been committed. Its lease tells how long the
// agent's earlier life let it run without hearing that the gang is whole.
func recoveredTask(s target.TaskStatus, now time.Time) gang.Task {
	t := gang.Task{
		ID:           toGangID(s.TaskID),
		State:        gang.StateRunning,
		Accelerators: s.Accelerators,
		Members:      s.Members,
		Committed:    true,
		Started:      true,
		RunUntil:     now.Add(time.Duration(s.LeaseLeftMS) * time.Millisecond).UnixNano(),
	}
	if s.State.Final() {
		t.State = gang.StateEnded
		t.Result = resultOfState(s.State)
		t.Checkpointed = s.Checkpoint != nil
		t.Detail = taskDetail(s)
	}
	return t
}
