package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Action is an output of the engine, returned by Engine.Decide.
type Action interface{ isAction() }

// StartOrder tells an agent to start one run.
type StartOrder struct {
	Run        workload.RunID `cbor:"1,keyasint"`
	Spec       string         `cbor:"2,keyasint,omitempty"`
	Checkpoint string         `cbor:"3,keyasint,omitempty"`
	Ticket     string         `cbor:"4,keyasint,omitempty"` // issued by the advice service
}

// StartOutcome is the result of a StartOrder.
type StartOutcome int

// The possible outcomes of a start. After any but StartUnknown it is certain whether the run
// was started.
const (
	StartUnknown StartOutcome = iota
	StartOK
	StartNotDelivered // the order has not reached the worker and never will
	StartNoCapacity   // the worker has too little free capacity
	StartSuperseded   // the worker knows a run of the task with the same or a higher number
	StartExpired      // the order arrived too late
	StartFenced       // the worker has accepted orders of a newer planner
	StartUnhealthy
	StartInvalid
	StartDraining
	StartNoTicket // the worker does not accept the ticket
	StartCordoned // the worker's availability zone is cordoned
)

// StartResult is the outcome of starting one run.
type StartResult struct {
	Run     workload.RunID `cbor:"1,keyasint"`
	Outcome StartOutcome   `cbor:"2,keyasint"`
	// CallUnanswered means that at least one call to start the run got no answer, whatever Outcome
	// is, and that no further one will be sent. The worker may still carry it out.
	CallUnanswered bool `cbor:"3,keyasint,omitempty"`
	// CallsOver means, whatever Outcome is, that no later incarnation of the worker can carry out a call
	// to start the run: each was answered, or ended with its connection.
	CallsOver bool `cbor:"4,keyasint,omitempty"`
}

// Orders are sent to one worker's agent in a single message.
type Orders struct {
	Worker WorkerID
	Agent  string
	Starts []StartOrder
	Stops  []workload.RunID
	// Paces are applied after the starts.
	Paces []PaceOrder
	// CordonsRevision is the revision of the cordons on which the starts were decided.
	CordonsRevision int64
	// Grant is the report that was last answered with a lease, by which the starts were decided.
	Grant ReportOrigin
	// DecidedAfter is the least time from the arrival of that report until the first start was decided, on
	// any clock.
	DecidedAfter time.Duration
}

// Decision is a log entry about a decision on a job.
type Decision struct {
	Job    workload.JobID
	Kind   string
	Detail string
	Run    workload.RunID
	Worker WorkerID
	// Report is the report that showed a run as lost.
	Report ReportRef
}

// Placed reports that a unit was placed on the workers beside these agents, which get start orders once the
// placement is stored.
type Placed struct{ Agents []string }

// JobStarted reports that the first task of a job runs. Waited is the time since acceptance.
type JobStarted struct {
	Account string
	Queue   string
	Waited  time.Duration
}

// JobFinished reports that a job has reached its final state. Took is the time since
// acceptance.
type JobFinished struct {
	Account string
	Queue   string
	State   workload.State
	Took    time.Duration
}

func (JobStarted) isAction()  {}
func (JobFinished) isAction() {}
func (Orders) isAction()      {}
func (Placed) isAction()      {}
func (Decision) isAction()    {}
