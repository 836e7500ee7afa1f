package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// EndReason is how a run ended at its worker.
type EndReason string

// Reasons.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"  // by its own fault or the worker's
	EndStopped        EndReason = "stopped" // on an order
	EndLeaseExpired   EndReason = "lapsed"  // the worker's lease ran out
	EndGangBroken     EndReason = "broken"  // another member of the gang ended
	EndGangIncomplete EndReason = "alone"   // the other members did not come
)

// RunStatus is a run that is there now.
type RunStatus struct {
	Run        workload.RunID `cbor:"1,keyasint"`
	Checkpoint string         `cbor:"2,keyasint,omitempty"`
	Percent    int            `cbor:"3,keyasint,omitempty"`
	// Load is a rough figure of the last half second: the tail latency in milliseconds
	// of a task that serves users within a target, the processor time in use of others.
	Load int `cbor:"4,keyasint,omitempty"`
}

// RunEnd is a run that has ended. Number counts the ends of one life of a worker.
type RunEnd struct {
	Sequence   int64          `cbor:"1,keyasint"`
	Run        workload.RunID `cbor:"2,keyasint"`
	Reason     EndReason      `cbor:"3,keyasint"`
	Checkpoint string         `cbor:"4,keyasint,omitempty"`
	// Void: the worker's lease ran out between the end and this report, so the end
	// counts as not having been.
	Void bool `cbor:"5,keyasint,omitempty"`
}

// Report is one look of an agent at its worker.
type Report struct {
	Worker WorkerInfo `cbor:"1,keyasint"`
	// Epoch is the planner's epoch that the worker has seen; orders of older ones
	// are refused there.
	Epoch          uint64        `cbor:"2,keyasint,omitempty"`
	Draining       bool          `cbor:"3,keyasint,omitempty"`
	DrainRemaining time.Duration `cbor:"4,keyasint,omitempty"` // while draining
	// Unresponsive: the worker has not answered the agent's last look. LeaseLeft is then the
	// time until the end of its lease, reckoned from every order that left, answered or
	// not; negative once that is past. It says nothing unless LeaseKnown: an agent that
	// was started again does not know what its predecessor ordered.
	Unresponsive    bool             `cbor:"5,keyasint,omitempty"`
	LeaseRemaining  time.Duration    `cbor:"6,keyasint,omitempty"`
	Running         []RunStatus      `cbor:"7,keyasint,omitempty"`
	Ended           []RunEnd         `cbor:"8,keyasint,omitempty"`
	ConfirmedAbsent []workload.RunID `cbor:"9,keyasint,omitempty"`  // stopped before, and not there
	Terminated      bool             `cbor:"10,keyasint,omitempty"` // this life is over
	// Polled: Running is the worker's own answer, not older than this report's
	// predecessor.
	Polled     bool `cbor:"11,keyasint,omitempty"`
	LeaseKnown bool `cbor:"12,keyasint,omitempty"`
	// ExtendingLease: the worker has been silent for so short a time that looks still extend its
	// lease by what the answer to this report grants.
	ExtendingLease bool `cbor:"13,keyasint,omitempty"`
	// Crashed: this life is over, and ended without notice. With Looked, Running are then
	// the runs that had been at work for ProvenAfter, and Ended those that were over, as far
	// as the agent saw.
	Crashed bool `cbor:"14,keyasint,omitempty"`
	// Generation is what the worker has seen of the planner's turn; see Fence.
	Generation uint64 `cbor:"15,keyasint,omitempty"`
	// Superseded: this life is over, and another one answers under its name.
	Superseded bool `cbor:"16,keyasint,omitempty"`
}

// ReportAnswer is the answer to a report.
type ReportAnswer struct {
	// Attached: the report was made under this engine's epoch, and the answer grants the
	// worker's lease its whole time.
	Attached bool
	// Generation is the least that orders to this life carry; see Fence.
	Generation uint64
	// AckedEnds: ends up to it may be forgotten.
	AckedEnds int64
	// EndsPending: ends of this report are not on record yet.
	EndsPending bool
	// PollOften: the agent should look often, since tasks that serve users share the worker
	// with others that fill.
	PollOften bool
}

// ListedRuns returns the runs that a worker shows, running or ended.
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
