package api

import (
	"encoding/json"
	"strconv"
	"time"
)

// Adjacency is how close to each other the accelerators of a job must be.
type Adjacency string

// Adjacencies, from the strictest to none.
const (
	AdjacentWorker Adjacency = "worker"
	AdjacentRack   Adjacency = "rack"
	AdjacentZone   Adjacency = "zone"
	AdjacentAny    Adjacency = "any"
)

// Valid reports whether a is one of the defined adjacencies.
func (a Adjacency) Valid() bool {
	switch a {
	case AdjacentWorker, AdjacentRack, AdjacentZone, AdjacentAny:
		return true
	}
	return false
}

// JobRequest submits a gang job.
type JobRequest struct {
	Account string `json:"account"`
	Class   string `json:"class"`
	// Accelerators is the size of the gang, which starts on all of them or not at all.
	Accelerators int `json:"accelerators"`
	// Adjacency defaults to AdjacentAny.
	Adjacency Adjacency `json:"adjacency,omitempty"`
	// Estimate is the run time that the caller expects; 0 if unknown. It is not trusted.
	Estimate Duration `json:"estimate,omitempty"`
	// Repeatable and Checkpointable are nil to select the class's defaults.
	Repeatable     *bool `json:"repeatable,omitempty"`
	Checkpointable *bool `json:"checkpointable,omitempty"`
	// Cores and MemoryMB are totals of the job; 0 selects a share of each worker in
	// proportion to its accelerators.
	Cores    int `json:"cores,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	// Payload is passed to the target unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Validate returns a Problem for the first invalid field, or nil.
func (r *JobRequest) Validate() *Problem {
	if p := validateName("account", r.Account); p != nil {
		return p
	}
	if p := validateName("class", r.Class); p != nil {
		return p
	}
	switch {
	case r.Accelerators < 1:
		return NewInvalidProblem("accelerators", "must be at least 1")
	case r.Adjacency != "" && !r.Adjacency.Valid():
		return NewInvalidProblem("adjacency", `must be "worker", "rack", "zone" or "any"`)
	case r.Estimate < 0:
		return NewInvalidProblem("estimate", "must not be negative")
	case r.Cores < 0:
		return NewInvalidProblem("cores", "must not be negative")
	case r.MemoryMB < 0:
		return NewInvalidProblem("memory_mb", "must not be negative")
	case len(r.Payload) > MaxPayloadLen:
		return &Problem{Reason: ReasonTooLarge, Field: "payload",
			Detail: "longer than " + strconv.Itoa(MaxPayloadLen) + " bytes"}
	}
	return nil
}

// JobState is the state of a job as reported to its caller.
type JobState string

// States of a job. The last five are final.
const (
	JobQueued    JobState = "queued"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobStopping  JobState = "stopping"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobRejected means that the job certainly did not run.
	JobRejected JobState = "rejected"
	// JobUnknown means that the job may have run and its outcome was lost.
	JobUnknown JobState = "unknown"
)

// Final reports whether the state is final.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobFailed, JobCancelled, JobRejected, JobUnknown:
		return true
	}
	return false
}

// JobStatus is the status of a job as reported to its caller.
type JobStatus struct {
	ID    string   `json:"id"`
	State JobState `json:"state"`
	// Attempt is the number of starts so far.
	Attempt int `json:"attempt"`
	// Reason explains a state other than JobDone.
	Reason Reason `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Result is the target's result, set if the job is done or failed.
	Result    json.RawMessage `json:"result,omitempty"`
	Placement []Placement     `json:"placement,omitempty"`
	Submitted time.Time       `json:"submitted,omitzero"`
	// Started is the start time of the latest attempt.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
}

// Placement is the part of a gang that runs on one worker.
type Placement struct {
	Agent        string `json:"agent"`
	Accelerators []int  `json:"accelerators"`
}

// CancelRequest cancels several jobs in one call.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// Validate returns a Problem if the request is invalid, or nil.
func (r *CancelRequest) Validate() *Problem {
	switch {
	case len(r.IDs) == 0:
		return NewInvalidProblem("ids", "missing")
	case len(r.IDs) > MaxCancelIDs:
		return NewInvalidProblem("ids", "more than "+strconv.Itoa(MaxCancelIDs))
	}
	return nil
}

// CancelResponse groups the IDs of a CancelRequest by result.
type CancelResponse struct {
	// AcceptedIDs are being cancelled or had already ended.
	AcceptedIDs []string `json:"accepted,omitempty"`
	UnknownIDs  []string `json:"unknown,omitempty"`
}
