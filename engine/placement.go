package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// placeState is how far a placement has come.
type placeState int

const (
	// placeRecording: decided, not yet on record; no order has left.
	placeRecording placeState = iota
	// placeOrdered: the order may have left; the answer is not known.
	placeOrdered
	// placeAdopted: taken from the records of a predecessor; the worker has not
	// reported yet.
	placeAdopted
	// placeRunning: the worker confirmed it.
	placeRunning
)

// placement is one run of one task on one worker, until it is certainly over.
type placement struct {
	unit   *unit
	index  int
	worker *worker
	run    int
	state  placeState
	demand workload.Resources
	pulse  pulse
	load   int  // see RunningRow.Load
	pace   pace // of what fills
	// saved is the last checkpoint seen, savedAt when it was first seen.
	saved   string
	savedAt time.Duration
	// adopted: a predecessor ordered it, so began is not when it really did.
	adopted bool
	// began is when the start was ordered, or when an adopted run was first seen; 0 before.
	// movedAt is when its progress last changed.
	began   time.Duration
	movedAt time.Duration
	// shownAt is when a look last showed it; 0 before.
	shownAt time.Duration
	// stopping: a stop was decided; stopSent is when it was last sent.
	stopping bool
	stopSent time.Duration
	stops    int // how often it was sent
	missing  int // looks in a row that did not show it
}

func (p *placement) task() workload.TaskID {
	return workload.TaskID{Job: p.unit.job.spec.ID, Occurrence: p.unit.occurrence, Step: p.unit.step, Index: p.index}
}

func (p *placement) id() workload.RunID {
	return workload.RunID{Task: p.task(), Number: p.run}
}
