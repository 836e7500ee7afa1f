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
	ran := float64(now.Sub(t.startedAt).Milliseconds()) / t.slowdown
	return min(t.restoredMS()+int64(ran), max(t.restoredMS(), t.payload.totalWorkMS()))
}

// latestCheckpoint is the last one taken at or before the progress.
func (t *task) latestCheckpoint(progress int64) *target.Checkpoint {
	every := t.payload.CheckpointEveryMS
	if !t.spec.Checkpointable || every <= 0 {
		return t.checkpoint
	}
	at := progress / every * every
	if at <= 0 || t.checkpoint != nil && t.checkpoint.ProgressMS >= at {
		return t.checkpoint
	}
	since := time.Duration(float64(msToDuration(at-t.restoredMS())) * t.slowdown)
	return t.newCheckpoint(at, t.startedAt.Add(since))
}

func (t *task) newCheckpoint(progress int64, taken time.Time) *target.Checkpoint {
	id := fmt.Sprintf("%s-%d-%d", t.id.Job, t.spec.Member, progress)
	return &target.Checkpoint{ID: id, ProgressMS: progress, TakenAt: taken}
}

func (t *task) status(now time.Time) target.TaskStatus {
	progress := t.progressMS(now)
	st := target.TaskStatus{
		TaskID: t.id, State: t.state, Error: t.errorText,
		Member: t.spec.Member, Members: t.spec.Members,
		Accelerators: t.spec.Accelerators, Epoch: t.spec.Epoch,
		ProgressMS: progress, Checkpoint: t.latestCheckpoint(progress),
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
	text, err := json.Marshal(TaskResult{TaskID: t.id, Tag: t.payload.Tag,
		Member: t.spec.Member, Members: t.spec.Members, ProgressMS: t.finalProgressMS})
	if err != nil {
		panic("standin: result can't be encoded: " + err.Error())
	}
	return text
}
