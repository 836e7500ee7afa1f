package target

import (
	"encoding/json"
	"time"
)

// TaskSpec describes what a task runs, on which accelerators and under which lease.
type TaskSpec struct {
	Account string `json:"account"`
	Class   string `json:"class"`
	// Accelerators are indexes of accelerators on this worker.
	Accelerators []int `json:"accelerators"`
	// Member is the index of this task among the Members workers of the gang.
	Member         int             `json:"member"`
	Members        int             `json:"members"`
	Repeatable     bool            `json:"repeatable"`
	Checkpointable bool            `json:"checkpointable"`
	Payload        json.RawMessage `json:"payload,omitempty"`
	// LeaseMS is the lease in milliseconds. The worker stops the task when it is not
	// renewed for that long.
	LeaseMS int64 `json:"lease_ms"`
	// Epoch is the planner's fencing token: a worker refuses to start a task of the
	// same job under a lower one.
	Epoch uint64 `json:"epoch"`
	// Incarnation is the agent's. A worker refuses a start with a lower one than it has
	// received in a start or in ParamIncarnation.
	Incarnation uint64 `json:"incarnation"`
	// Restore is the checkpoint to resume from, or nil.
	Restore *Checkpoint `json:"restore,omitempty"`
}

// Checkpoint is the saved progress of a task. Any worker can resume from it.
type Checkpoint struct {
	ID string `json:"id"`
	// ProgressMS is the saved work in milliseconds of run time.
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
	// TaskStopped means that the agent stopped the task.
	TaskStopped TaskState = "stopped"
	// TaskExpired means that the worker stopped the task because its lease expired.
	TaskExpired TaskState = "expired"
)

// Final reports whether the state cannot change any more.
func (s TaskState) Final() bool {
	return s != TaskRunning
}

// TaskStatus is a worker's report on a task.
type TaskStatus struct {
	TaskID
	State        TaskState `json:"state"`
	Member       int       `json:"member"`
	Members      int       `json:"members"`
	Accelerators []int     `json:"accelerators"`
	Epoch        uint64    `json:"epoch"`
	// ProgressMS is the completed work in milliseconds of run time, restored work
	// included.
	ProgressMS int64 `json:"progress_ms"`
	// Checkpoint is the latest one, or nil.
	Checkpoint *Checkpoint     `json:"checkpoint,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
	Error      string          `json:"error,omitempty"`
	// LeaseLeftMS is the time until the lease expires; 0 in a final state.
	LeaseLeftMS int64     `json:"lease_left_ms"`
	StartedAt   time.Time `json:"started,omitzero"`
	EndedAt     time.Time `json:"ended,omitzero"`
}

// LeaseRenewal sets the lease of a running task to end LeaseMS milliseconds from now.
type LeaseRenewal struct {
	LeaseMS int64 `json:"lease_ms"`
}

// Capacity is the total capacity of a worker.
type Capacity struct {
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators"`
	// Slots is the number of quick requests that can run at once without slowing
	// each other down.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// Usage is what a worker uses at SampledAt, which may be some time ago.
type Usage struct {
	SampledAt        time.Time `json:"at"`
	QuickRequests    int       `json:"quick"`
	RunningTasks     int       `json:"tasks"`
	BusyAccelerators []int     `json:"accelerators"`
	OpenConnections  int       `json:"connections"`
}
