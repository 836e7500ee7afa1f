package target

import (
	"net/url"
	"strconv"
)

// Headers that an agent sets on a quick request.
const (
	HeaderRequestID = "Eelgrasshub-Request"
	// HeaderAttempt is the number of the attempt, counted from 1.
	HeaderAttempt = "Eelgrasshub-Attempt"
	HeaderAccount = "Eelgrasshub-Account"
	HeaderClass   = "Eelgrasshub-Class"
	// HeaderDeadline is the remaining time as a Go duration.
	HeaderDeadline = "Eelgrasshub-Deadline"
)

// HeaderRefused is set to "true" by a target that has not run a quick request and will
// not. Without it, any status is the response of the request itself.
const HeaderRefused = "Eelgrasshub-Refused"

// Paths below the target's base URL.
const (
	PathRequests = "/requests/"
	PathTasks    = "/tasks"
	PathCapacity = "/capacity"
	PathUsage    = "/usage"
)

// Query parameters of the calls on tasks.
const (
	// ParamWaitMS bounds how long the response with a task's status is held until the
	// task ends, in milliseconds.
	ParamWaitMS = "wait_ms"
	// ParamCheckpoint set to "true" requests a checkpoint before the stop.
	ParamCheckpoint = "checkpoint"
	// ParamIncarnation is the incarnation of the agent that lists the tasks. Once it is
	// answered, starts of earlier incarnations are refused.
	ParamIncarnation = "incarnation"
)

// TaskID identifies one member's run of an attempt of a job on this worker.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
}

// Path returns the task's path below the base URL.
func (id TaskID) Path() string {
	return PathTasks + "/" + url.PathEscape(id.Job) + "/" + strconv.Itoa(id.Attempt)
}
