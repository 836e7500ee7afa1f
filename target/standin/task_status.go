package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

func (t *task) restoredMS() int64 {
	if t.spec.Restore == nil {
		return 0
	}
	return t.spec.Restore.ProgressMS
}

func (t *task) progressMS(now time.Time) int64 {
	if t.state.Final() {
		return t.finalProgressMS
	}
	ranMS := float64(now.Sub(t.startedAt).Milliseconds()) / t.slowdown
	return min(t.restoredMS()+int64(ranMS), max(t.restoredMS(), t.payload.totalWorkMS()))
}

// latestCheckpoint returns the last checkpoint taken at or before the given progress.
func (t *task) latestCheckpoint(progressMS int64) *target.Checkpoint {
	intervalMS := t.payload.CheckpointEveryMS
	if !t.spec.Checkpointable || intervalMS <= 0 {
		return t.checkpoint
	}
	checkpointMS := progressMS / intervalMS * intervalMS
	if checkpointMS <= 0 || t.checkpoint != nil && t.checkpoint.ProgressMS >= checkpointMS {
		return t.checkpoint
	}
	sinceStart := time.Duration(float64(msToDuration(checkpointMS-t.restoredMS())) * t.slowdown)
	return t.newCheckpoint(checkpointMS, t.startedAt.Add(sinceStart))
}

func (t *task) newCheckpoint(progressMS int64, takenAt time.Time) *target.Checkpoint {
	id := fmt.Sprintf("%s-%d-%d", t.id.Job, t.spec.Member, progressMS)
	return &target.Checkpoint{ID: id, ProgressMS: progressMS, TakenAt: takenAt}
}

func (t *task) status(now time.Time) target.TaskStatus {
	progressMS := t.progressMS(now)
	st := target.TaskStatus{
		TaskID: t.id, State: t.state, Error: t.errorText,
		Member: t.spec.Member, Members: t.spec.Members,
		Accelerators: t.spec.Accelerators, Epoch: t.spec.Epoch,
		ProgressMS: progressMS, Checkpoint: t.latestCheckpoint(progressMS),
		StartedAt: t.startedAt, EndedAt: t.endedAt,
	}
	if !t.state.Final() {
		st.LeaseLeftMS = max(0, t.leaseExpiresAt.Sub(now).Milliseconds())
	}
	if t.state == target.TaskDone {
		st.Result = t.result()
	}
	return st
}

func (t *task) result() json.RawMessage {
	data, err := json.Marshal(TaskResult{TaskID: t.id, Tag: t.payload.Tag,
		Member: t.spec.Member, Members: t.spec.Members, ProgressMS: t.finalProgressMS})
	if err != nil {
		panic("standin: encode task result: " + err.Error())
	}
	return data
}
