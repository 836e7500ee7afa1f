package wire

import "time"

// JobSpec is what a caller asked for. Accelerators counts them; Adjacency is
// the size of the blocks that must sit next to each other, 0 for any.
type JobSpec struct {
	ID             string        `cbor:"1,keyasint,omitempty"`
	Service        string        `cbor:"2,keyasint,omitempty"`
	Account        string        `cbor:"3,keyasint,omitempty"`
	Class          string        `cbor:"4,keyasint,omitempty"`
	Accelerators   int           `cbor:"5,keyasint,omitempty"`
	Adjacency      int           `cbor:"6,keyasint,omitempty"`
	Estimate       time.Duration `cbor:"7,keyasint,omitempty"`
	Repeatable     bool          `cbor:"8,keyasint,omitempty"`
	Checkpointable bool          `cbor:"9,keyasint,omitempty"`
	Urgent         bool          `cbor:"10,keyasint,omitempty"`
	Cores          int           `cbor:"11,keyasint,omitempty"`
	MemoryMB       int           `cbor:"12,keyasint,omitempty"`
	Payload        []byte        `cbor:"13,keyasint,omitempty"`
	Submitted      time.Time     `cbor:"14,keyasint,omitzero"`
}

// JobPhase is where a job stands.
type JobPhase int

// Job phases.
const (
	JobUnknown JobPhase = iota
	JobQueued
	JobStarting
	JobRunning
	JobSucceeded
	JobFailed
	JobCancelled
	JobNotRun
	JobOutcomeUnknown
)

// JobState is the planner's word on one job.
type JobState struct {
	ID         string        `cbor:"1,keyasint,omitempty"`
	State      JobPhase      `cbor:"2,keyasint,omitempty"`
	Attempt    string        `cbor:"3,keyasint,omitempty"`
	Reason     string        `cbor:"4,keyasint,omitempty"`
	Result     []byte        `cbor:"5,keyasint,omitempty"`
	Detail     string        `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	Position   int           `cbor:"8,keyasint,omitempty"`
	// Status is the job as callers see it, in the JSON of the callers' interface.
	Status []byte `cbor:"9,keyasint,omitempty"`
}

// SubmitJob hands a job to the entry that plans its domain. The job's ID makes
// it idempotent.
type SubmitJob struct {
	Job JobSpec `cbor:"1,keyasint,omitzero"`
}

// SubmitJobReply answers SubmitJob. Entry names the planner when the receiver
// isn't it.
type SubmitJobReply struct {
	Accepted bool     `cbor:"1,keyasint,omitempty"`
	State    JobState `cbor:"2,keyasint,omitzero"`
	Entry    string   `cbor:"3,keyasint,omitempty"`
}

// CancelJobs cancels jobs of one service; jobs that have ended stay as they
// are.
type CancelJobs struct {
	Service string   `cbor:"1,keyasint,omitempty"`
	IDs     []string `cbor:"2,keyasint,omitempty"`
}

// CancelJobsReply answers CancelJobs with the states afterwards.
type CancelJobsReply struct {
	States []JobState `cbor:"1,keyasint,omitempty"`
	Entry  string     `cbor:"2,keyasint,omitempty"`
}

// JobStatus asks for the states of jobs.
type JobStatus struct {
	Service string   `cbor:"1,keyasint,omitempty"`
	IDs     []string `cbor:"2,keyasint,omitempty"`
}

// JobStatusReply answers JobStatus.
type JobStatusReply struct {
	States []JobState `cbor:"1,keyasint,omitempty"`
	Entry  string     `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindSubmitJob, SubmitJob{})
	Register(KindSubmitJobReply, SubmitJobReply{})
	Register(KindCancelJobs, CancelJobs{})
	Register(KindCancelJobsReply, CancelJobsReply{})
	Register(KindJobStatus, JobStatus{})
	Register(KindJobStatusReply, JobStatusReply{})
}
