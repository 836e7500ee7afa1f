package target

import (
	"net/url"
	"strconv"
)

// Headers an agent sets on a quick request.
const (
	HeaderRequestID = "Eelgrasshub-Request"
	// HeaderAttempt counts the attempts of the request, from 1.
	HeaderAttempt = "Eelgrasshub-Attempt"
	HeaderAccount = "Eelgrasshub-Account"
	HeaderClass   = "Eelgrasshub-Class"
	// HeaderDeadline is the time that remains, as a Go duration.
	HeaderDeadline = "Eelgrasshub-Deadline"
)

// HeaderRefused is set to "true" by a target that did not run a quick request
// and never will. Without it any status is the target's own answer.
const HeaderRefused = "Eelgrasshub-Refused"

// Paths below the target's base URL.
const (
	PathRequests = "/requests/"
	PathTasks    = "/tasks"
	PathCapacity = "/capacity"
	PathUsage    = "/usage"
)

// Query parameters of tasks.
const (
	// ParamWaitMS bounds how long a task's status is held until it changes.
	ParamWaitMS = "wait_ms"
	// ParamCheckpoint "true" asks for a checkpoint before a stop.
	ParamCheckpoint = "checkpoint"
	// ParamIncarnation names the agent's incarnation when it asks for the list of
	// tasks. From the answer on, starts of earlier ones are refused.
	ParamIncarnation = "incarnation"
)

// TaskID names one member's run of one attempt of a job on this worker.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
}

// Path is the task's path below the base URL.
func (id TaskID) Path() string {
	return PathTasks + "/" + url.PathEscape(id.Job) + "/" + strconv.Itoa(id.Attempt)
}
