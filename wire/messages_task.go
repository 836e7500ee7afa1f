package wire

// TaskState is where a gang task stands on its worker.
type TaskState int

// Task states.
const (
	TaskUnknown TaskState = iota
	TaskReserved
	TaskRunning
	TaskStopping
	TaskSucceeded
	TaskFailed
	TaskEvicted
)

// TaskKey identifies a task on its worker.
type TaskKey struct {
	Job     string `cbor:"1,keyasint,omitempty"`
	Attempt string `cbor:"2,keyasint,omitempty"`
}

// TaskReport is an agent's word on one task. Accelerators holds the indexes of
// the worker's accelerators that the task holds.
type TaskReport struct {
	Job          string    `cbor:"1,keyasint,omitempty"`
	Attempt      string    `cbor:"2,keyasint,omitempty"`
	Epoch        uint64    `cbor:"3,keyasint,omitempty"`
	State        TaskState `cbor:"4,keyasint,omitempty"`
	Accelerators []int     `cbor:"5,keyasint,omitempty"`
	Result       []byte    `cbor:"6,keyasint,omitempty"`
	Reason       string    `cbor:"7,keyasint,omitempty"`
	// CheckpointAge is the seconds of work since the last checkpoint.
	CheckpointAge uint32 `cbor:"8,keyasint,omitempty"`
	Account       string `cbor:"9,keyasint,omitempty"`
	// Spec, when present, lets a new planner rebuild the job.
	Spec *JobSpec `cbor:"10,keyasint,omitempty"`
	// Gang is the gang package's Task, encoded by that package's tags.
	Gang []byte `cbor:"11,keyasint,omitempty"`
}

// Key returns the task's identity.
func (t TaskReport) Key() TaskKey { return TaskKey{Job: t.Job, Attempt: t.Attempt} }

// ResultReport tells the planner how a gang task ended.
type ResultReport struct {
	Agent       string     `cbor:"1,keyasint,omitempty"`
	Incarnation uint64     `cbor:"2,keyasint,omitempty"`
	Service     string     `cbor:"3,keyasint,omitempty"`
	Task        TaskReport `cbor:"4,keyasint,omitzero"`
}

// ResultReportAck answers ResultReport. Accepted false: the receiver does not
// plan the job; Entry names who does, if known.
type ResultReportAck struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Entry    string `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindResultReport, ResultReport{})
	Register(KindResultReportAck, ResultReportAck{})
}
