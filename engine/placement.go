package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// placementState is how far a placement has come.
type placementState int

const (
	// placementUnrecorded: decided, not yet on record; no order has left.
	placementUnrecorded placementState = iota
	// placementOrdered: the order may have left; the answer is not known.
	placementOrdered
	// placementAdopted: taken from the records of a predecessor; the worker has not
	// reported yet.
	placementAdopted
	// placementRunning: the worker confirmed it.
	placementRunning
)

// placement is one run of one task on one worker, until it is certainly over.
type placement struct {
	unit      *unit
	index     int
	worker    *worker
	runNumber int
	state     placementState
	demand    workload.Resources
	rate      progressRate
	load      int  // see RunningRow.Load
	pace      pace // of what fills
	// checkpoint is the last checkpoint seen, savedAt when it was first seen.
	checkpoint   string
	checkpointAt time.Duration
	// adopted: a predecessor ordered it, so began is not when it really did.
	adopted bool
	// startedAt is when the start was ordered, or when an adopted run was first seen; 0 before.
	// movedAt is when its progress last changed.
	startedAt    time.Duration
	progressedAt time.Duration
	// lastSeenAt is when a look last showed it; 0 before.
	lastSeenAt time.Duration
	// stopping: a stop was decided; stopSent is when it was last sent.
	stopping    bool
	stopSentAt  time.Duration
	stopsSent   int // how often it was sent
	missedPolls int // looks in a row that did not show it
}

func (p *placement) taskID() workload.TaskID {
	return workload.TaskID{Job: p.unit.job.spec.ID, Occurrence: p.unit.occurrence, Step: p.unit.step, Index: p.index}
}

func (p *placement) runID() workload.RunID {
	return workload.RunID{Task: p.taskID(), Number: p.runNumber}
}
