package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// EndReason is how a run ended, as its worker lists it.
type EndReason string

// Values of EndReason.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"  // through the task's own fault or the worker's
	EndStopped        EndReason = "stopped" // on an order to stop
	EndLeaseExpired   EndReason = "lapsed"  // the worker's lease expired
	EndGangBroken     EndReason = "broken"  // another member of the gang ended
	EndGangIncomplete EndReason = "alone"   // other members of the gang did not start in time
)

// RunStatus is the state of a run that is present on a worker.
type RunStatus struct {
	Run        workload.RunID `cbor:"1,keyasint"`
	Checkpoint string         `cbor:"2,keyasint,omitempty"`
	Percent    int            `cbor:"3,keyasint,omitempty"`
	// Load is an approximate figure for the last half second: the tail latency in milliseconds
	// of a task with a tail-latency target, the processor time in use of any other.
	Load int `cbor:"4,keyasint,omitempty"`
}

// RunEnd is the end of a run. Sequence numbers the ends of one incarnation of a worker.
type RunEnd struct {
	Sequence   int64          `cbor:"1,keyasint"`
	Run        workload.RunID `cbor:"2,keyasint"`
	Reason     EndReason      `cbor:"3,keyasint"`
	Checkpoint string         `cbor:"4,keyasint,omitempty"`
	// Void means that the worker's lease expired between the end and this report, so that the
	// end does not count.
	Void bool `cbor:"5,keyasint,omitempty"`
}

// Report is what an agent reports about its worker.
type Report struct {
	Worker WorkerInfo `cbor:"1,keyasint"`
	// Epoch is the planner epoch that the worker has seen; it refuses orders of earlier epochs.
	Epoch          uint64        `cbor:"2,keyasint,omitempty"`
	Draining       bool          `cbor:"3,keyasint,omitempty"`
	DrainRemaining time.Duration `cbor:"4,keyasint,omitempty"` // while Draining
	// Unresponsive means that the worker has not answered the agent's last poll. LeaseRemaining
	// is then the time until its lease ends, counting every order that was sent, answered or
	// not; it is negative after the end. It is valid only with LeaseKnown: a restarted agent
	// does not know what its predecessor ordered.
	Unresponsive    bool             `cbor:"5,keyasint,omitempty"`
	LeaseRemaining  time.Duration    `cbor:"6,keyasint,omitempty"`
	Running         []RunStatus      `cbor:"7,keyasint,omitempty"`
	Ended           []RunEnd         `cbor:"8,keyasint,omitempty"`
	ConfirmedAbsent []workload.RunID `cbor:"9,keyasint,omitempty"`  // stopped, and not present in a later poll
	Terminated      bool             `cbor:"10,keyasint,omitempty"` // this incarnation is over
	// Polled means that Running is the worker's own answer and was not sent before the previous
	// report.
	Polled     bool `cbor:"11,keyasint,omitempty"`
	LeaseKnown bool `cbor:"12,keyasint,omitempty"`
	// ExtendingLease means that the worker has been unresponsive for so short a time that polls
	// still extend its lease by what the answer to this report grants.
	ExtendingLease bool `cbor:"13,keyasint,omitempty"`
	// Crashed means that this incarnation ended without notice. With Polled, Running then lists
	// the runs that the agent had seen for StartupCrashWindow, and Ended those that it had seen
	// end.
	Crashed bool `cbor:"14,keyasint,omitempty"`
	// Generation is the generation that the worker has seen; see Fence.
	Generation uint64 `cbor:"15,keyasint,omitempty"`
	// Superseded means that this incarnation is over and another one answers under its name.
	Superseded bool `cbor:"16,keyasint,omitempty"`
	// DownFor is, with Crashed, the time since the worker's connections broke, after which it did
	// not answer again. It is 0 if the agent noticed the crash only by the next incarnation.
	DownFor time.Duration `cbor:"17,keyasint,omitempty"`
	// Origin tells the reports of one agent apart and gives their order.
	Origin ReportOrigin `cbor:"18,keyasint,omitempty"`
	// CapacityUnconfirmed means that Worker.Capacity may be outdated: the worker has failed to answer a
	// poll since its last heartbeat. Nothing may be started there.
	CapacityUnconfirmed bool `cbor:"19,keyasint,omitempty"`
	// UnansweredStarts are the runs that the agent's process has called its worker to start, in this
	// incarnation or an earlier one, with a call that is in progress or got no answer and was sent less
	// than MaxCallDelay ago. ProcessAge is for how long the process has been running. Both are zero for
	// workers that change their names.
	UnansweredStarts []workload.RunID `cbor:"20,keyasint,omitempty"`
	ProcessAge       time.Duration    `cbor:"21,keyasint,omitempty"`
	// EndsOmitted means that the worker may have ended more runs than Ended lists. A run that the report
	// does not list may then be over in any way. The worker lists further ends once those are acknowledged.
	EndsOmitted bool `cbor:"22,keyasint,omitempty"`
	// StartLimit is how long after the decision on a start the agent may still call its worker for it, if
	// the order names the agent's process. 0 means until the end of the lease by which it was decided.
	StartLimit time.Duration `cbor:"23,keyasint,omitempty"`
}

// ReportOrigin identifies a report among those of one agent. It is zero for agents that do not
// number their reports.
type ReportOrigin struct {
	// Process identifies one process of the agent.
	Process uint64 `cbor:"1,keyasint,omitempty"`
	// Sequence rises by one with each report that the process builds.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// BuiltAt is when the report was built, on the agent's clock.
	BuiltAt time.Duration `cbor:"3,keyasint,omitempty"`
	// Epoch is the highest epoch of a planner that has answered the process; 0 if none has. Unlike
	// Report.Epoch it does not depend on the worker.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
}

// ReportAnswer is the answer to a Report.
type ReportAnswer struct {
	// Standing is whether the report was taken into account. The other fields are zero if it was
	// outdated.
	Standing ReportStanding
	// Attached means that the report was made under this engine's epoch and that the answer
	// grants the worker a full lease.
	Attached bool
	// Generation is the lowest generation of orders to this incarnation; see Fence.
	Generation uint64
	// AckedEnds is the highest sequence number of ends that the worker may forget.
	AckedEnds int64
	// EndsPending means that some reported ends are not stored yet.
	EndsPending bool
	// GrantPending means that the answer is to grant a lease once a write has been applied; see
	// Engine.AnswerAfterWrite.
	GrantPending bool
	// PollOften asks the agent to poll frequently, because the worker runs latency-sensitive
	// tasks next to best-effort ones.
	PollOften bool
}

// ListedRuns returns the set of runs that a worker lists as running or ended.
func ListedRuns(running []RunStatus, ended []RunEnd) map[workload.RunID]bool {
	runs := make(map[workload.RunID]bool, len(running)+len(ended))
	for _, run := range running {
		runs[run.Run] = true
	}
	for _, end := range ended {
		runs[end.Run] = true
	}
	return runs
}
