package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// JobSubmitted adds a job that has been stored. Revision is the store revision of its acceptance.
type JobSubmitted struct {
	Job      workload.Job
	Revision int64
	// Age is the time since acceptance, as far as known.
	Age time.Duration
}

// CancelRequested cancels a job. Revision is the store revision of the cancellation, 0 if
// unknown.
type CancelRequested struct {
	Job      workload.JobID
	Revision int64
}

// JobRestored adds a job as a previous planner left it.
type JobRestored struct {
	JobSubmitted
	Progress  *JobProgress // nil if none was stored
	Cancelled bool
	// CancelRevision is the store revision of the cancellation.
	CancelRevision int64
}

// WorkerRestored adds a worker that a previous planner knew.
type WorkerRestored struct{ Info WorkerInfo }

// OrdersCompleted reports the results of one Orders action.
type OrdersCompleted struct {
	Worker WorkerID
	Starts []StartResult
	Paces  []PaceResult
}

// WriteApplied reports that a write returned by Engine.PendingChanges took effect.
type WriteApplied struct{ Write Write }

// CatalogChanged replaces the operators' configuration.
type CatalogChanged struct{ Catalog *catalog.Catalog }

// Tick advances the time.
type Tick struct {
	// WallTime is the wall-clock time that decides which occurrences are due.
	WallTime time.Time
	// StoreUnavailable means that the store has not answered lately.
	StoreUnavailable bool
}

func (JobSubmitted) isEvent()    {}
func (CancelRequested) isEvent() {}
func (JobRestored) isEvent()     {}
func (WorkerRestored) isEvent()  {}
func (OrdersCompleted) isEvent() {}
func (WriteApplied) isEvent()    {}
func (CatalogChanged) isEvent()  {}
func (Tick) isEvent()            {}
