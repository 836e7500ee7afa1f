package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// JobSubmitted: a job is on record. Order is the revision at which it was accepted.
type JobSubmitted struct {
	Job      workload.Job
	Revision int64
	// Age is how long ago that was, as far as is known.
	Age time.Duration
}

// CancelRequested: a cancellation is on record. Order is its revision, 0 where that is
// not known.
type CancelRequested struct {
	Job      workload.JobID
	Revision int64
}

// JobRestored is a job as a predecessor left it.
type JobRestored struct {
	JobSubmitted
	Progress  *JobProgress // nil where the job was never touched
	Cancelled bool
	// CancelRevision is the revision of the cancellation.
	CancelRevision int64
}

// WorkerRestored is a worker that a predecessor knew.
type WorkerRestored struct{ Info WorkerInfo }

// OrdersCompleted is what became of the orders of one action.
type OrdersCompleted struct {
	Worker WorkerID
	Starts []StartResult
	Paces  []PaceResult
}

// WriteApplied: a write made by Engine.Changes took effect.
type WriteApplied struct{ Write Write }

// CatalogChanged: another version of the configuration is in force.
type CatalogChanged struct{ Catalog *catalog.Catalog }

// Tick lets time pass.
type Tick struct {
	// WallTime is the time of day, by which occurrences are due.
	WallTime time.Time
}

func (JobSubmitted) isEvent()    {}
func (CancelRequested) isEvent() {}
func (JobRestored) isEvent()     {}
func (WorkerRestored) isEvent()  {}
func (OrdersCompleted) isEvent() {}
func (WriteApplied) isEvent()    {}
func (CatalogChanged) isEvent()  {}
func (Tick) isEvent()            {}
