package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// placementState is the progress of a placement from decision to confirmed run.
type placementState int

const (
	// placementUnrecorded means that the placement is not stored yet and no order was sent.
	placementUnrecorded placementState = iota
	// placementOrdered means that the start order may have been sent, without a result so far.
	placementOrdered
	// placementAdopted means that a previous planner made the placement and the worker has not
	// reported under this planner's epoch yet.
	placementAdopted
	// placementRunning means that the worker has confirmed the run.
	placementRunning
	// placementAbsent means that the run is over or was never started, but a call to start it may
	// still be carried out by a later incarnation of the worker.
	placementAbsent
)

// placement is one run of one task on one worker. It holds its capacity until the run is over, and
// stays until the run can't be started any more.
type placement struct {
	unit      *unit
	index     int
	worker    *worker
	runNumber int
	state     placementState
	demand    workload.Resources
	rate      progressRate
	meter     speedMeter
	load      int  // see RunStatus.Load
	pace      pace // used for best-effort tasks
	// checkpoint is the last checkpoint reported, checkpointAt when it was first reported.
	checkpoint   string
	checkpointAt time.Duration
	// adopted is set when a previous planner ordered the run, so that startedAt is not the
	// actual start time.
	adopted bool
	// resumed is set if the run was ordered to start from a checkpoint.
	resumed bool
	// startedAt is when the start was ordered, or when an adopted run was first reported; 0
	// before that. progressedAt is when the reported progress last changed.
	startedAt    time.Duration
	progressedAt time.Duration
	// lastSeenAt is when a poll last listed the run; 0 before the first.
	lastSeenAt time.Duration
	// lastCallBy is the time by which the last call to start the run is sent; 0 if the start is settled.
	lastCallBy time.Duration
	// orderedTo is the agent's process that the start order names, which alone carries it out; 0 if the
	// order names none or is of a previous planner.
	orderedTo uint64
	// settledAtVersion is the version of the job in which the start was settled.
	settledAtVersion int
	// stopping is set once a stop was decided; stopSentAt is when it was last sent.
	stopping    bool
	stopSentAt  time.Duration
	stopsSent   int // number of stop orders sent
	missedPolls int // consecutive polls that did not list the run
}

func (p *placement) taskID() workload.TaskID {
	return workload.TaskID{Job: p.unit.job.spec.ID, Occurrence: p.unit.occurrence, Step: p.unit.step, Index: p.index}
}

func (p *placement) runID() workload.RunID {
	return workload.RunID{Task: p.taskID(), Number: p.runNumber}
}
