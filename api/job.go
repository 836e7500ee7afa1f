package api

import (
	"encoding/json"
	"strconv"
	"time"
)

// Adjacency says how close to each other the accelerators of a job must be.
type Adjacency string

// Adjacencies, from the closest to none.
const (
	AdjacentWorker Adjacency = "worker"
	AdjacentRack   Adjacency = "rack"
	AdjacentZone   Adjacency = "zone"
	AdjacentAny    Adjacency = "any"
)

// Valid reports whether a is one of the four adjacencies.
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
	// Accelerators is the size of the gang: all of them together or none.
	Accelerators int `json:"accelerators"`
	// Adjacency is AdjacentAny when empty.
	Adjacency Adjacency `json:"adjacency,omitempty"`
	// Estimate is the declared run time; 0 when not declared. It isn't trusted.
	Estimate Duration `json:"estimate,omitempty"`
	// Repeatable and Checkpointable are nil for the class's defaults.
	Repeatable     *bool `json:"repeatable,omitempty"`
	Checkpointable *bool `json:"checkpointable,omitempty"`
	// Cores and MemoryMB are for the whole job; 0 for a share of the worker
	// in proportion to its accelerators.
	Cores    int `json:"cores,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	// Payload is handed to the target as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Validate reports the first field that breaks the contract, or nil.
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

// JobState is the state of a job as its caller sees it.
type JobState string

// States of a job. The last five are final and never change again.
const (
	JobQueued    JobState = "queued"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobStopping  JobState = "stopping"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobRejected: the job provably did not run.
	JobRejected JobState = "rejected"
	// JobUnknown: the job may have run and its outcome is lost.
	JobUnknown JobState = "unknown"
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobFailed, JobCancelled, JobRejected, JobUnknown:
		return true
	}
	return false
}

// JobStatus is what a caller can learn about a job.
type JobStatus struct {
	ID    string   `json:"id"`
	State JobState `json:"state"`
	// Attempt counts starts, from 1; 0 before the first.
	Attempt int `json:"attempt"`
	// Reason explains a state other than done.
	Reason Reason `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Result is the target's own, of a job done or failed.
	Result    json.RawMessage `json:"result,omitempty"`
	Placement []Placement     `json:"placement,omitempty"`
	Submitted time.Time       `json:"submitted,omitzero"`
	// Started is the start of the latest attempt.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
}

// Placement is the part of a gang on one worker.
type Placement struct {
	Agent        string `json:"agent"`
	Accelerators []int  `json:"accelerators"`
}

// CancelRequest cancels many jobs with one call.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// Validate reports what breaks the contract, or nil.
func (r *CancelRequest) Validate() *Problem {
	switch {
	case len(r.IDs) == 0:
		return NewInvalidProblem("ids", "missing")
	case len(r.IDs) > MaxCancelIDs:
		return NewInvalidProblem("ids", "more than "+strconv.Itoa(MaxCancelIDs))
	}
	return nil
}

// CancelResponse lists what became of each id of a CancelRequest.
type CancelResponse struct {
	// AcceptedIDs are being cancelled, or had ended already.
	AcceptedIDs []string `json:"accepted,omitempty"`
	UnknownIDs  []string `json:"unknown,omitempty"`
}
