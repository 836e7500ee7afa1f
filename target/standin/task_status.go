package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

func (t *task) restored() int64 {
	if t.spec.Restore == nil {
		return 0
	}
	return t.spec.Restore.ProgressMS
}

func (t *task) progress(now time.Time) int64 {
	if t.state.Final() {
		return t.frozen
	}
	ran := float64(now.Sub(t.started).Milliseconds()) / t.slow
	return min(t.restored()+int64(ran), max(t.restored(), t.payload.workMS()))
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
	since := time.Duration(float64(msToDuration(at-t.restored())) * t.slow)
	return t.newCheckpoint(at, t.started.Add(since))
}

func (t *task) newCheckpoint(progress int64, taken time.Time) *target.Checkpoint {
	id := fmt.Sprintf("%s-%d-%d", t.id.Job, t.spec.Member, progress)
	return &target.Checkpoint{ID: id, ProgressMS: progress, TakenAt: taken}
}

func (t *task) status(now time.Time) target.TaskStatus {
	progress := t.progress(now)
	st := target.TaskStatus{
		TaskID: t.id, State: t.state, Error: t.err,
		Member: t.spec.Member, Members: t.spec.Members,
		Accelerators: t.spec.Accelerators, Epoch: t.spec.Epoch,
		ProgressMS: progress, Checkpoint: t.latestCheckpoint(progress),
		StartedAt: t.started, EndedAt: t.end,
	}
	if !t.state.Final() {
		st.LeaseLeftMS = max(0, t.leaseEnd.Sub(now).Milliseconds())
	}
	if t.state == target.TaskDone {
		st.Result = t.result()
	}
	return st
}

func (t *task) result() json.RawMessage {
	text, err := json.Marshal(TaskResult{TaskID: t.id, Tag: t.payload.Tag,
		Member: t.spec.Member, Members: t.spec.Members, ProgressMS: t.frozen})
	if err != nil {
		panic("standin: result can't be encoded: " + err.Error())
	}
	return text
}
