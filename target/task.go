package target

import (
	"encoding/json"
	"time"
)

// TaskSpec says what a task runs, on which accelerators and under which lease.
type TaskSpec struct {
	Account string `json:"account"`
	Class   string `json:"class"`
	// Accelerators are indexes on this worker.
	Accelerators []int `json:"accelerators"`
	// Member counts from 0 to Members-1 over the workers of the gang.
	Member         int             `json:"member"`
	Members        int             `json:"members"`
	Repeatable     bool            `json:"repeatable"`
	Checkpointable bool            `json:"checkpointable"`
	Payload        json.RawMessage `json:"payload,omitempty"`
	// LeaseMS is the lease in milliseconds. The worker stops the task when no
	// renewal comes for that long.
	LeaseMS int64 `json:"lease_ms"`
	// Epoch fences: a worker refuses a start of the same job under a lower one.
	Epoch uint64 `json:"epoch"`
	// Incarnation is the agent's, and fences its earlier lives: a worker refuses a
	// start under a lower one than it has heard of, in a start or by ParamIncarnation.
	Incarnation uint64 `json:"incarnation"`
	// Restore is where to resume from; nil for a fresh start.
	Restore *Checkpoint `json:"restore,omitempty"`
}

// Checkpoint is the saved progress of a task. Any worker can resume from it.
type Checkpoint struct {
	ID string `json:"id"`
	// ProgressMS is the work it saves, in milliseconds of run time.
	ProgressMS int64     `json:"progress_ms"`
	TakenAt    time.Time `json:"taken,omitzero"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task. All but TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped: stopped by the agent.
	TaskStopped TaskState = "stopped"
	// TaskExpired: stopped by the worker, its lease was not renewed.
	TaskExpired TaskState = "expired"
)

// Final reports whether the state never changes again.
func (s TaskState) Final() bool {
	return s != TaskRunning
}

// TaskStatus is what a worker reports about a task.
type TaskStatus struct {
	TaskID
	State        TaskState `json:"state"`
	Member       int       `json:"member"`
	Members      int       `json:"members"`
	Accelerators []int     `json:"accelerators"`
	Epoch        uint64    `json:"epoch"`
	// ProgressMS is the work done, restored work included.
	ProgressMS int64 `json:"progress_ms"`
	// Checkpoint is the latest; nil when there is none.
	Checkpoint *Checkpoint     `json:"checkpoint,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
	Error      string          `json:"error,omitempty"`
	// LeaseLeftMS is the time until the lease lapses; 0 in a final state.
	LeaseLeftMS int64     `json:"lease_left_ms"`
	StartedAt   time.Time `json:"started,omitzero"`
	EndedAt     time.Time `json:"ended,omitzero"`
}

// LeaseRenewal prolongs the lease of a running task to LeaseMS from now.
type LeaseRenewal struct {
	LeaseMS int64 `json:"lease_ms"`
}

// Capacity is what a worker has in all.
type Capacity struct {
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators"`
	// Slots is how many quick requests run at once without slowing each other.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// Usage is what a worker uses. It lags: At says when it was taken.
type Usage struct {
	SampledAt        time.Time `json:"at"`
	QuickRequests    int       `json:"quick"`
	RunningTasks     int       `json:"tasks"`
	BusyAccelerators []int     `json:"accelerators"`
	OpenConnections  int       `json:"connections"`
}
