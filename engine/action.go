package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Action is an output of Engine.Step.
type Action interface{ isAction() }

// StartOrder starts one run.
type StartOrder struct {
	Run        workload.RunID `cbor:"1,keyasint"`
	Spec       string         `cbor:"2,keyasint,omitempty"`
	Checkpoint string         `cbor:"3,keyasint,omitempty"`
	Ticket     string         `cbor:"4,keyasint,omitempty"` // of the advice service
}

// StartOutcome is what became of a StartOrder.
type StartOutcome int

// Outcomes. All but StartUnknown are certain.
const (
	StartUnknown StartOutcome = iota
	StartOK
	StartNotDelivered // the order did not reach the worker and never will
	StartNoCapacity   // the worker has no room
	StartSuperseded   // the worker knows a run as high
	StartExpired      // the order was too old when it arrived
	StartFenced       // a newer planner gives the orders
	StartUnhealthy
	StartInvalid
	StartDraining
	StartNoTicket // its ticket is not valid there
	StartCordoned // the worker's availability zone is cordoned
)

// StartResult is the outcome of one start.
type StartResult struct {
	Run     workload.RunID `cbor:"1,keyasint"`
	Outcome StartOutcome   `cbor:"2,keyasint"`
}

// Orders go to one worker's agent, all at once.
type Orders struct {
	Worker WorkerID
	Agent  string
	Starts []StartOrder
	Stops  []workload.RunID
	// Paces are carried out after the starts.
	Paces []PaceOrder
	// CordonsAt is the revision of the cordons that the starts were decided on.
	CordonsAt int64
}

// Decision is one decision that touches a job, for the log.
type Decision struct {
	Job    workload.JobID
	Kind   string
	Detail string
	Run    workload.RunID
	Worker WorkerID
}

// JobStarted: the first task of a job runs, Waited after it was accepted.
type JobStarted struct {
	Account string
	Queue   string
	Waited  time.Duration
}

// JobFinished: a job has come to its end, Took after it was accepted.
type JobFinished struct {
	Account string
	Queue   string
	State   workload.State
	Took    time.Duration
}

func (JobStarted) isAction()  {}
func (JobFinished) isAction() {}
func (Orders) isAction()      {}
func (Decision) isAction()    {}
