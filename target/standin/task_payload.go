package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/target"
)

// TaskPayload is the payload of a task for the stand-in.
type TaskPayload struct {
	// Tag identifies the job in the audit for the caller.
	Tag string `json:"tag,omitempty"`
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail after FailAfterMS of progress, or at its end.
	Fail        bool  `json:"fail,omitempty"`
	FailAfterMS int64 `json:"fail_after_ms,omitempty"`
	// CheckpointEveryMS is the interval of checkpoints; 0 for none.
	CheckpointEveryMS int64 `json:"checkpoint_every_ms,omitempty"`
}

// TaskResult is the result of a task that is done.
type TaskResult struct {
	target.TaskID
	Tag        string `json:"tag,omitempty"`
	Member     int    `json:"member"`
	Members    int    `json:"members"`
	ProgressMS int64  `json:"progress_ms"`
}

func parseTaskPayload(data json.RawMessage) (TaskPayload, error) {
	var payload TaskPayload
	if len(data) == 0 {
		return payload, nil
	}
	if err := json.Unmarshal(data, &payload); err != nil {
		return payload, fmt.Errorf("payload: %w", err)
	}
	if payload.RunMS < 0 || payload.RunMS > maxRunTime.Milliseconds() {
		return payload, fmt.Errorf("payload: run_ms: must be from 0 to %d", maxRunTime.Milliseconds())
	}
	return payload, nil
}

// totalWorkMS returns the progress at which the task ends.
func (p TaskPayload) totalWorkMS() int64 {
	if p.Fail && p.FailAfterMS > 0 {
		return min(p.FailAfterMS, p.RunMS)
	}
	return p.RunMS
}

func msToDuration(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
